//! Command line of the emulator: one function per subcommand.

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
Emulators of the systems around rhubarbpick, and a load generator.

Commands:
    demo       run a whole system in this process with the traffic of both users
    store      run an object store with a list of VMs
    endpoint   run an endpoint that owns keys
    forward    run a plain HTTP forwarder as a baseline for an entry
    load       send the load described in a YAML file
    experiment run the same seeded load under several policies

emulator COMMAND --help lists the options of a command.";

/// Longest wait for an endpoint to drain, and for the last responses to a load.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

type Outcome = Result<ExitCode, Box<dyn std::error::Error>>;

/// Runs a command line and reports an error on standard error.
pub fn run(mut args: Vec<String>) -> ExitCode {
    let _log = stderr_log::init(&std::env::var("EMULATOR_LOG").unwrap_or_else(|_| "warn".into()));
    if args.is_empty() || args[0] == "--help" || args[0] == "-h" {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let command = args.remove(0);
    let outcome = match &*command {
        "--version" => {
            println!("emulator {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        "demo" => run_demo(&args),
        "store" => run_store(&args),
        "endpoint" => run_endpoint(&args),
        "forward" => run_forward(&args),
        "load" => run_load(&args),
        "experiment" => run_experiment(&args),
        _ => Err(format!("unknown command {command}; try --help").into()),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("emulator: {}", format_chain(&*error));
        ExitCode::from(2)
    })
}

/// Parses the options of a subcommand; prints the help and returns `None` on `--help`.
fn parse(
    name: &str,
    mut options: Options,
    args: &[String],
) -> Result<Option<Matches>, getopts::Fail> {
    options.optflag("h", "help", "show this help");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage(&format!("Usage: emulator {name} [options]"))
        );
        return Ok(None);
    }
    Ok(Some(matches))
}

fn run_demo(args: &[String]) -> Outcome {
    let mut options = Options::new();
    options.optopt("", "seconds", "duration of the traffic (default 20)", "N");
    options.optopt("", "seed", "seed of the traffic (default 1)", "N");
    let Some(matches) = parse("demo", options, args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let seconds = matches.opt_get_default("seconds", 20u64)?;
    let seed = matches.opt_get_default("seed", 1u64)?;
    let threads = std::thread::available_parallelism().map_or(4, |count| count.get());
    let context = rhubarbpick::kernel::runtime::Context::spawn(threads);
    let passed = async_io::block_on(demo::run(&context, seconds * 1000, seed))?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_store(args: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on", "ADDRESS");
    let Some(matches) = parse("store", options, args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let address: SocketAddr = matches
        .opt_get("listen")?
        .ok_or("option --listen is missing; try --help")?;
    let store = store::bind(&support::worker_context(), address)?;
    println!("listening on {}", store.address);
    async_io::block_on(signal::wait_for_termination())?;
    Ok(ExitCode::SUCCESS)
}

fn run_endpoint(args: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on", "ADDRESS");
    options.reqopt("", "name", "name of the endpoint", "NAME");
    options.optopt(
        "",
        "slots",
        "number of concurrent requests (default 2)",
        "N",
    );
    options.optflag(
        "",
        "keyed",
        "run only requests for shards that the endpoint holds",
    );
    options.optflag("", "sheds", "refuse all requests with status 503");
    options.optopt("", "ledger", "file to append the ledger to", "FILE");
    let Some(matches) = parse("endpoint", options, args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let address: SocketAddr = matches
        .opt_get("listen")?
        .ok_or("option --listen is missing; try --help")?;
    let name: String = matches
        .opt_get("name")?
        .ok_or("option --name is missing; try --help")?;
    let ledger = matches.opt_str("ledger");
    let settings = endpoint::Settings {
        name: name.into(),
        slots: matches.opt_get_default("slots", 2)?,
        keyed: matches.opt_present("keyed"),
        sheds: matches.opt_present("sheds"),
    };
    let context = support::worker_context();
    let endpoint = endpoint::bind(
        &context,
        address,
        settings,
        ledger.as_deref().map(Path::new),
    )?;
    println!("listening on {}", endpoint.address);
    async_io::block_on(async {
        signal::wait_for_termination().await?;
        endpoint.drain(DRAIN_TIMEOUT).await;
        Ok::<(), std::io::Error>(())
    })?;
    Ok(ExitCode::SUCCESS)
}

fn run_forward(args: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on", "ADDRESS");
    options.reqopt("", "to", "address to forward to", "ADDRESS");
    let Some(matches) = parse("forward", options, args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let listen: SocketAddr = matches
        .opt_get("listen")?
        .ok_or("option --listen is missing; try --help")?;
    let to: SocketAddr = matches
        .opt_get("to")?
        .ok_or("option --to is missing; try --help")?;
    let listener = forwarder::bind(&support::worker_context(), listen, to)?;
    println!("listening on {}", listener.address);
    async_io::block_on(signal::wait_for_termination())?;
    Ok(ExitCode::SUCCESS)
}

fn run_load(args: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt("", "load", "YAML file that describes the load", "FILE");
    options.reqopt(
        "",
        "entries",
        "comma-separated addresses of the entries",
        "LIST",
    );
    options.optopt(
        "",
        "records",
        "file to write one record per request to, as JSON",
        "FILE",
    );
    let Some(matches) = parse("load", options, args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let path = matches
        .opt_str("load")
        .ok_or("option --load is missing; try --help")?;
    let load: Load = serde_norway::from_str(&settings::read_file(&path)?)?;
    let list = matches
        .opt_str("entries")
        .ok_or("option --entries is missing; try --help")?;
    let entries: Result<Vec<SocketAddr>, _> = list.split(',').map(str::parse).collect();
    let context = support::worker_context();
    let running = load::spawn(&context, load.clone(), entries?);
    let records = async_io::block_on(async {
        sleep(Duration::from_millis(load.span_ms)).await;
        running.finish(DRAIN_TIMEOUT).await
    });
    print!("{}", summary::table(&summary::summarize(&load, &records)));
    if let Some(path) = matches.opt_str("records") {
        std::fs::write(path, serde_json::to_vec(&records)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn run_experiment(args: &[String]) -> Outcome {
    let mut options = Options::new();
    options.reqopt(
        "",
        "file",
        "YAML file that describes the experiment",
        "FILE",
    );
    options.optopt("", "json", "file to write the results to, as JSON", "FILE");
    options.optopt(
        "",
        "svg",
        "file to write a plot of the first stream to",
        "FILE",
    );
    let Some(matches) = parse("experiment", options, args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let path = matches
        .opt_str("file")
        .ok_or("option --file is missing; try --help")?;
    let experiment: Experiment = serde_norway::from_str(&settings::read_file(&path)?)?;
    let results = experiment::run(&experiment)?;
    print!("{}", experiment::table(&results));
    if let Some(path) = matches.opt_str("json") {
        std::fs::write(path, serde_json::to_vec_pretty(&results)?)?;
    }
    if let Some(path) = matches.opt_str("svg") {
        plot::write(Path::new(&path), &results)?;
    }
    Ok(ExitCode::SUCCESS)
}
