//! Command line, start-up and shutdown of `rhubarbpickd`, the daemon on an entry VM.

use crate::{
    daemon,
    kernel::{
        error::{
            format_chain,
            Error, //
        },
        runtime::Context,
        settings::{
            self,
            Settings, //
        },
        stderr_log,
    },
    ops::signal::{
        self,
        Termination, //
    },
};
use getopts::Options;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::process::ExitCode;

/// Exit code for an invalid command line, invalid settings or a failed start.
const EXIT_ERROR: u8 = 2;

/// Runs a command line; serves until SIGTERM or SIGINT, then drains.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag("", "check", "validate the settings and exit");
    options.optflag("V", "version", "show the version");
    options.optflag("h", "help", "show this help");
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: rhubarbpickd --settings FILE [--check]")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("rhubarbpickd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("settings") else {
        eprintln!("rhubarbpickd: option --settings is missing; try --help");
        return ExitCode::from(EXIT_ERROR);
    };
    let termination = match signal::termination() {
        Ok(termination) => termination,
        Err(error) => return fail(&error),
    };
    let settings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("check") {
        return check(&settings);
    }
    match serve(settings, termination) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rhubarbpickd: {}", format_chain(error));
    ExitCode::from(EXIT_ERROR)
}

fn check(settings: &Settings) -> ExitCode {
    let secret = settings::read_secret(&settings.secret_file).map(drop);
    let operators = daemon::operator::read(&settings.operators_file).map(drop);
    match secret.and(operators) {
        Ok(()) => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn serve(settings: Settings, termination: Termination) -> Result<(), Error> {
    let _log = stderr_log::init(&settings.log)?;
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let context = Context::spawn(settings.threads);
    let daemon = daemon::spawn(&context, settings, metrics)?;
    async_io::block_on(async {
        if let Err(error) = termination.wait().await {
            ::log::error!("event=signal_lost why=\"{error}\"");
        }
        daemon.drain().await;
    });
    Ok(())
}
