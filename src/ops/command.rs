//! `rhubarbpick`: the operators' command.

use crate::{
    kernel::{
        error::format_chain,
        runtime::Context,
        settings, //
    },
    ops::{
        audit,
        check,
        client::Client,
        confirm,
        explain,
        plan,
        services,
        status,
        why, //
    },
};
use displaydoc::Display;
use getopts::{
    Matches,
    Options, //
};
use std::{
    net::SocketAddr,
    process::ExitCode, //
};

const USAGE: &str = "\
Usage: rhubarbpick COMMAND [options]

Commands:
    check     check an intent without sending it
    plan      show what an intent would change
    confirm   put a plan into force
    services  show the intents in force
    status    show members, services and endpoints
    explain   show why a key is owned where it is
    audit     show what changed, when and why
    why       tell from log files what became of a request: why ID FILE...";

/// Exit code for a wrong command line or a refusal.
const WRONG: u8 = 2;

/// Why a command failed before the API was called.
#[derive(Debug, Display)]
pub enum Error {
    /// option --{0} is missing; try --help
    Missing(&'static str),
    /// option --{option} is {found}; allowed is {allowed}
    Option {
        /// Option.
        option: &'static str,
        /// What was found.
        found: Box<str>,
        /// What is allowed.
        allowed: &'static str,
    },
    /// there is no command {0}; try --help
    Command(Box<str>),
    /// {0} are missing; try --help
    Operand(&'static str),
    /// no line has the id {0}; successes are logged one in 256, and a line may have been dropped
    Unknown(Box<str>),
}

impl std::error::Error for Error {}

/// What every command gets.
pub struct Call {
    /// Options.
    pub matches: Matches,
    context: Context,
}

/// Result of a command.
pub type Outcome = Result<(), Box<dyn std::error::Error>>;

impl Call {
    /// Returns a required option.
    pub fn need(&self, option: &'static str) -> Result<String, Error> {
        self.matches.opt_str(option).ok_or(Error::Missing(option))
    }

    /// Opens the client that the options describe.
    pub fn client(&self) -> Result<Client, Box<dyn std::error::Error>> {
        let text = self.need("admin")?;
        let address: Result<SocketAddr, _> = text.parse();
        let address = address.map_err(|_| Error::Option {
            option: "admin",
            found: text.into(),
            allowed: "an IP number and a port, such as 127.0.0.1:7003",
        })?;
        let token = settings::read_file(&self.need("token-file")?)?;
        Ok(Client::open(&self.context, address, token.trim()))
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "admin", "address of the administration API", "ADDRESS");
    options.optopt("", "token-file", "file with the operator's token", "FILE");
    options.optopt("", "intent", "YAML file with the intent", "FILE");
    options.optopt("", "plan", "identity of the plan to confirm", "ID");
    options.optopt("", "base", "version that the plan was drawn on", "N");
    options.optopt("", "service", "service", "NAME");
    options.optopt("", "key", "key", "KEY");
    options.optopt("", "after", "number of the first trail entry to show", "N");
    options.optopt("o", "output", "text or json (default text)", "FORM");
    options.optflag("V", "version", "show the version");
    options.optflag("h", "help", "show this help");
    options
}

/// Runs a command line.
pub fn run(words: &[String]) -> ExitCode {
    match try_run(words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rhubarbpick: {}", format_chain(&*error));
            ExitCode::from(WRONG)
        }
    }
}

fn try_run(words: &[String]) -> Outcome {
    let options = options();
    let matches = options.parse(words)?;
    if matches.opt_present("version") {
        println!("rhubarbpick {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if matches.opt_present("help") || matches.free.is_empty() {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let command = matches.free[0].clone();
    let call = Call {
        matches,
        context: Context::spawn(1),
    };
    async_io::block_on(async {
        match &*command {
            "check" => check::run(&call),
            "plan" => plan::run(&call).await,
            "confirm" => confirm::run(&call).await,
            "services" => services::run(&call).await,
            "status" => status::run(&call).await,
            "explain" => explain::run(&call).await,
            "audit" => audit::run(&call).await,
            "why" => why::run(&call),
            _ => Err(Error::Command(command.clone().into()).into()),
        }
    })
}

/// Prints an answer of the API as the user asked for it.
pub fn print(call: &Call, bytes: &[u8]) -> Outcome {
    let form = call
        .matches
        .opt_str("output")
        .unwrap_or_else(|| "text".into());
    match &*form {
        "json" => println!("{}", String::from_utf8_lossy(bytes)),
        "text" => {
            let value: serde_json::Value = serde_json::from_slice(bytes)?;
            print!("{}", serde_norway::to_string(&value)?);
        }
        _ => {
            return Err(Error::Option {
                option: "output",
                found: form.into(),
                allowed: "text or json",
            }
            .into())
        }
    }
    Ok(())
}
