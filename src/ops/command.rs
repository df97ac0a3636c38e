//! Command line of `rhubarbpick`, the operators' tool.
//!
//! All subcommands share one set of options. Each one asks its
//! [`Invocation`] for the options it requires.

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
    check     validate an intent file without sending it
    plan      show what an intent would change
    confirm   put a plan into force
    services  list the intents in force
    status    show members, services and endpoints
    explain   show which endpoint owns a key and why
    audit     show the audit trail: what changed, when and why
    why       show the log lines that explain the outcome of a request: why ID FILE...";

/// Exit code for an invalid command line, a failed call or a refusal.
const EXIT_ERROR: u8 = 2;

/// Invalid command line, or a search without a result.
#[derive(Debug, Display)]
pub enum Error {
    /// option --{0} is missing; try --help
    MissingOption(&'static str),
    /// invalid value {found} for option --{option}; expected {allowed}
    InvalidOption {
        /// Name of the option.
        option: &'static str,
        /// Value that was given.
        found: Box<str>,
        /// Description of the valid values.
        allowed: &'static str,
    },
    /// unknown command {0}; try --help
    UnknownCommand(Box<str>),
    /// {0} are missing; try --help
    MissingOperands(&'static str),
    /// no log line has the ID {0}; one in 256 successes is logged, and lines can be dropped
    UnknownRequest(Box<str>),
}

impl std::error::Error for Error {}

/// Parsed command line of one subcommand.
pub struct Invocation {
    /// Options, and the operands with the name of the subcommand first.
    pub matches: Matches,
    context: Context,
}

/// Result of a subcommand.
pub type Outcome = Result<(), Box<dyn std::error::Error>>;

impl Invocation {
    /// Returns the value of an option that the subcommand requires.
    pub fn required(&self, option: &'static str) -> Result<String, Error> {
        self.matches
            .opt_str(option)
            .ok_or(Error::MissingOption(option))
    }

    /// Creates the API client from `--admin` and `--token-file`.
    pub fn client(&self) -> Result<Client, Box<dyn std::error::Error>> {
        let text = self.required("admin")?;
        let address: Result<SocketAddr, _> = text.parse();
        let address = address.map_err(|_| Error::InvalidOption {
            option: "admin",
            found: text.into(),
            allowed: "an IP address and a port, such as 127.0.0.1:7003",
        })?;
        let token = settings::read_file(&self.required("token-file")?)?;
        Ok(Client::open(&self.context, address, token.trim()))
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "admin", "address of the administration API", "ADDRESS");
    options.optopt("", "token-file", "file with the operator's token", "FILE");
    options.optopt("", "intent", "YAML file with the intent", "FILE");
    options.optopt("", "plan", "ID of the plan to confirm", "ID");
    options.optopt(
        "",
        "base",
        "version of the intent that the plan is based on",
        "N",
    );
    options.optopt("", "service", "name of the service", "NAME");
    options.optopt("", "key", "key to look up", "KEY");
    options.optopt("", "after", "number of the audit entry to start from", "N");
    options.optopt(
        "o",
        "output",
        "output format, text or json (default text)",
        "FORM",
    );
    options.optflag("V", "version", "show the version");
    options.optflag("h", "help", "show this help");
    options
}

/// Runs a command line and reports an error on standard error.
pub fn run(args: &[String]) -> ExitCode {
    match try_run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rhubarbpick: {}", format_chain(&*error));
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn try_run(args: &[String]) -> Outcome {
    let options = options();
    let matches = options.parse(args)?;
    if matches.opt_present("version") {
        println!("rhubarbpick {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if matches.opt_present("help") || matches.free.is_empty() {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let command = matches.free[0].clone();
    let invocation = Invocation {
        matches,
        context: Context::spawn(1),
    };
    async_io::block_on(async {
        match &*command {
            "check" => check::run(&invocation),
            "plan" => plan::run(&invocation).await,
            "confirm" => confirm::run(&invocation).await,
            "services" => services::run(&invocation).await,
            "status" => status::run(&invocation).await,
            "explain" => explain::run(&invocation).await,
            "audit" => audit::run(&invocation).await,
            "why" => why::run(&invocation),
            _ => Err(Error::UnknownCommand(command.clone().into()).into()),
        }
    })
}

/// Prints a response of the API in the format that `--output` selects.
pub fn print_response(invocation: &Invocation, bytes: &[u8]) -> Outcome {
    let format = invocation
        .matches
        .opt_str("output")
        .unwrap_or_else(|| "text".into());
    match &*format {
        "json" => println!("{}", String::from_utf8_lossy(bytes)),
        "text" => {
            let value: serde_json::Value = serde_json::from_slice(bytes)?;
            print!("{}", serde_norway::to_string(&value)?);
        }
        _ => {
            return Err(Error::InvalidOption {
                option: "output",
                found: format.into(),
                allowed: "text or json",
            }
            .into())
        }
    }
    Ok(())
}
