//! Commands of the emulator.

use crate::{
    demo,
    endpoint,
    experiment::{
        self,
        Experiment, //
    },
    forwarder,
    load::{
        self,
        Load, //
    },
    plot,
    store,
    summary,
    support, //
};
use getopts::{
    Matches,
    Options, //
};
use rhubarbpick::{
    kernel::{
        error::format_chain,
        runtime::sleep,
        settings,
        stderr_log, //
    },
    ops::signal,
};
use std::{
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    time::Duration, //
};

const USAGE: &str = "\
Stand-ins for the systems that rhubarbpick is built for.

Commands:
    demo       run the whole system in this process with both users' traffic
    store      run an object store
    endpoint   run an endpoint
    forward    run a bare forwarder, to compare an entry with
    load       send a load described in a YAML file
    experiment run several policies on the same seeded load

emulator COMMAND --help lists the options of a command.";

/// Longest time an endpoint waits to be emptied.
const DRAIN: Duration = Duration::from_secs(30);

type Outcome = Result<ExitCode, Box<dyn std::error::Error>>;

/// Runs a command line.
pub fn run(mut words: Vec<String>) -> ExitCode {
    let _log = stderr_log::init(&std::env::var("EMULATOR_LOG").unwrap_or_else(|_| "warn".into()));
    if words.is_empty() || words[0] == "--help" || words[0] == "-h" {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let command = words.remove(0);
    let outcome = match &*command {
        "--version" => {
            println!("emulator {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        "demo" => run_demo(&words),
        "store" => run_store(&words),
        "endpoint" => run_endpoint(&words),
        "forward" => run_forward(&words),
        "load" => run_load(&words),
        "experiment" => run_experiment(&words),
        _ => Err(format!("there is no command {command}; try --help").into()),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("emulator: {}", format_chain(&*error));
        ExitCode::from(2)
    })
}

/// Parses the options of a command; none if only help was asked for.
fn parse(
    name: &str,
    mut options: Options,
    words: &[String],
) -> Result<Option<Matches>, getopts::Fail> {
    options.optflag("h", "help", "show this help");
    let matches = options.parse(words)?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage(&format!("Usage: emulator {name} [options]"))
        );
        return Ok(None);
    }
    Ok(Some(matches))
}

fn run_demo(words: &[String]) -> Outcome {
    let mut options = Options::new();
    options.optopt("", "seconds", "length of the traffic (default 20)", "N");
    options.optopt("", "seed", "seed of the traffic (default 1)", "N");
    let Some(matches) = parse("demo", options, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let seconds = matches.opt_get_default("seconds", 20u64)?;
    let seed = matches.opt_get_default("seed", 1u64)?;
    let threads = std::thread::available_parallelism().map_or(4, |count| count.get());
    let context = rhubarbpick::kernel::runtime::Context::spawn(threads);
    let good = async_io::block_on(demo::run(&context, seconds * 1000, seed))?;
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_store(words: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on", "ADDRESS");
    let Some(matches) = parse("store", options, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let address: SocketAddr = matches.opt_get("listen")?.ok_or("--listen is missing")?;
    let store = store::bind(&support::context(), address)?;
    println!("listening on {}", store.address);
    async_io::block_on(signal::wait_for_termination())?;
    Ok(ExitCode::SUCCESS)
}

fn run_endpoint(words: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on", "ADDRESS");
    options.reqopt("", "name", "name of the endpoint", "NAME");
    options.optopt("", "slots", "requests that run at a time (default 2)", "N");
    options.optflag("", "keyed", "run only work on shards that are held");
    options.optflag("", "sheds", "refuse all work");
    options.optopt("", "ledger", "file to which the ledger is added", "FILE");
    let Some(matches) = parse("endpoint", options, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let address: SocketAddr = matches.opt_get("listen")?.ok_or("--listen is missing")?;
    let name: String = matches.opt_get("name")?.ok_or("--name is missing")?;
    let ledger = matches.opt_str("ledger");
    let settings = endpoint::Settings {
        name: name.into(),
        slots: matches.opt_get_default("slots", 2)?,
        keyed: matches.opt_present("keyed"),
        sheds: matches.opt_present("sheds"),
    };
    let context = support::context();
    let endpoint = endpoint::bind(
        &context,
        address,
        settings,
        ledger.as_deref().map(Path::new),
    )?;
    println!("listening on {}", endpoint.address);
    async_io::block_on(async {
        signal::wait_for_termination().await?;
        endpoint.drain(DRAIN).await;
        Ok::<(), std::io::Error>(())
    })?;
    Ok(ExitCode::SUCCESS)
}

fn run_forward(words: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on", "ADDRESS");
    options.reqopt("", "to", "address to forward to", "ADDRESS");
    let Some(matches) = parse("forward", options, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let listen: SocketAddr = matches.opt_get("listen")?.ok_or("--listen is missing")?;
    let to: SocketAddr = matches.opt_get("to")?.ok_or("--to is missing")?;
    let listener = forwarder::bind(&support::context(), listen, to)?;
    println!("listening on {}", listener.address);
    async_io::block_on(signal::wait_for_termination())?;
    Ok(ExitCode::SUCCESS)
}

fn run_load(words: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "load", "YAML file that describes the load", "FILE");
    options.reqopt(
        "",
        "entries",
        "addresses of the entries, with commas",
        "LIST",
    );
    options.optopt("", "records", "file for the records, as JSON", "FILE");
    let Some(matches) = parse("load", options, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let path = matches.opt_str("load").ok_or("--load is missing")?;
    let load: Load = serde_norway::from_str(&settings::read_file(&path)?)?;
    let list = matches.opt_str("entries").ok_or("--entries is missing")?;
    let entries: Result<Vec<SocketAddr>, _> = list.split(',').map(str::parse).collect();
    let context = support::context();
    let running = load::spawn(&context, load.clone(), entries?);
    let records = async_io::block_on(async {
        sleep(Duration::from_millis(load.span_ms)).await;
        running.finish(DRAIN).await
    });
    print!("{}", summary::table(&summary::summarize(&load, &records)));
    if let Some(path) = matches.opt_str("records") {
        std::fs::write(path, serde_json::to_vec(&records)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn run_experiment(words: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt(
        "",
        "file",
        "YAML file that describes the experiment",
        "FILE",
    );
    options.optopt("", "json", "file for the results as JSON", "FILE");
    options.optopt("", "svg", "file for a plot of the first stream", "FILE");
    let Some(matches) = parse("experiment", options, words)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let path = matches.opt_str("file").ok_or("--file is missing")?;
    let plan: Experiment = serde_norway::from_str(&settings::read_file(&path)?)?;
    let results = experiment::run(&plan)?;
    print!("{}", experiment::table(&results));
    if let Some(path) = matches.opt_str("json") {
        std::fs::write(path, serde_json::to_vec_pretty(&results)?)?;
    }
    if let Some(path) = matches.opt_str("svg") {
        plot::write(Path::new(&path), &results)?;
    }
    Ok(ExitCode::SUCCESS)
}
