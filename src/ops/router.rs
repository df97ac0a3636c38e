//! Command line, start-up and shutdown of the router process.
//!
//! The platform's crate passes in the function that loads its settings, so that the
//! settings file keeps the platform's own format.

use crate::{
    kernel::{
        async_log,
        error::{
            format_chain,
            Error, //
        },
        runtime::Context, //
    },
    ops::signal::{
        self,
        Hangups,
        Termination, //
    },
    router::{
        self,
        settings::Settings, //
    },
};
use getopts::Options;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{
    env,
    io,
    process::ExitCode, //
};

/// Exit code for an invalid command line, invalid settings or a failed start.
const EXIT_ERROR: u8 = 2;

/// One thread is enough, as a VM has only a share of one core.
const WORKER_THREADS: usize = 1;

/// Function that loads the settings from the file at the given path.
pub type Loader = fn(&str) -> Result<Settings, Error>;

/// Runs a command line.
///
/// Without `--settings`, the environment variable `variable` names the
/// settings file.
pub fn run(args: &[String], variable: &str, load: Loader) -> ExitCode {
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
        let brief = format!(
            "Usage: rhubarbpick-platform [--settings FILE] [--check]\n\n\
             Without --settings, the environment variable {variable} names the settings file."
        );
        print!("{}", options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("rhubarbpick-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = matches
        .opt_str("settings")
        .or_else(|| env::var(variable).ok());
    let Some(path) = path else {
        eprintln!("rhubarbpick-platform: no settings file; set {variable} or pass --settings FILE");
        return ExitCode::from(EXIT_ERROR);
    };
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(error) => return fail(&error),
    };
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("check") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    match serve(settings, &path, load, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rhubarbpick-platform: {}", format_chain(error));
    ExitCode::from(EXIT_ERROR)
}

/// Signals to the process, from its start on.
struct Signals {
    termination: Termination,
    hangups: Hangups,
}

impl Signals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            termination: signal::termination()?,
            hangups: signal::hangups()?,
        })
    }
}

fn serve(settings: Settings, path: &str, load: Loader, signals: Signals) -> Result<(), Error> {
    let _log = async_log::init(&settings.log_level)?;
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let context = Context::spawn(WORKER_THREADS);
    let router = router::spawn(&context, settings, metrics)?;
    let reload = router::reload::run(router.state.clone(), path.into(), load, signals.hangups);
    context.detach(reload);
    async_io::block_on(async {
        if let Err(error) = signals.termination.wait().await {
            ::log::error!("event=signal_lost why=\"{error}\"");
        }
        router.drain().await;
    });
    Ok(())
}
