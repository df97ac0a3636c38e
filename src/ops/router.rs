//! The daemon on a VM of a platform: command line, start and stop.

use crate::{
    kernel::{
        async_log,
        error::{
            format_chain,
            Error, //
        },
        runtime::Context, //
    },
    ops::signal,
    router::{
        self,
        settings::Settings, //
    },
};
use getopts::Options;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{
    env,
    process::ExitCode, //
};

/// Exit code for a wrong command line or wrong settings.
const WRONG: u8 = 2;

/// One thread works: a VM has a part of one core.
const THREADS: usize = 1;

/// Reads settings from a file.
pub type Loader = fn(&str) -> Result<Settings, Error>;

/// Runs a command line; `variable` names the file with the settings unless an
/// option does.
pub fn run(words: &[String], variable: &str, read: Loader) -> ExitCode {
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
        let brief = format!(
            "Usage: rhubarbpick-platform [--settings FILE] [--check]\n\n\
             Without --settings, {variable} names the file."
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
        eprintln!("rhubarbpick-platform: no settings; set {variable} or give --settings FILE");
        return ExitCode::from(WRONG);
    };
    let settings = match read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("check") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    match serve(settings, &path, read) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rhubarbpick-platform: {}", format_chain(error));
    ExitCode::from(WRONG)
}

fn serve(settings: Settings, path: &str, read: Loader) -> Result<(), Error> {
    let _log = async_log::init(&settings.log_level)?;
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let context = Context::spawn(THREADS);
    let router = router::spawn(&context, settings, metrics)?;
    context.detach(router::reload::run(router.state.clone(), path.into(), read));
    async_io::block_on(async {
        if let Err(error) = signal::wait_for_termination().await {
            ::log::error!("event=signal_lost why=\"{error}\"");
        }
        router.drain().await;
    });
    Ok(())
}
