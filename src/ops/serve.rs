//! `rhubarbpickd`: the daemon on an entry VM.

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
    ops::signal,
};
use getopts::Options;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::process::ExitCode;

/// Exit code for a wrong command line or wrong settings.
const WRONG: u8 = 2;

/// Runs a command line.
pub fn run(words: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("s", "settings", "file with the settings", "FILE");
    options.optflag("", "check", "check the settings and stop");
    options.optflag("V", "version", "show the version");
    options.optflag("h", "help", "show this help");
    let matches = match options.parse(words) {
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
        eprintln!("rhubarbpickd: --settings FILE is missing; try --help");
        return ExitCode::from(WRONG);
    };
    let settings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("check") {
        return check(&settings);
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rhubarbpickd: {}", format_chain(error));
    ExitCode::from(WRONG)
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

fn serve(settings: Settings) -> Result<(), Error> {
    let _log = stderr_log::init(&settings.log)?;
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let context = Context::spawn(settings.threads);
    let daemon = daemon::spawn(&context, settings, metrics)?;
    async_io::block_on(async {
        if let Err(error) = signal::wait_for_termination().await {
            ::log::error!("event=signal_lost why=\"{error}\"");
        }
        daemon.drain().await;
    });
    Ok(())
}
