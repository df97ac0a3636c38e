//! Stand-ins for the cases of the review: the platform's store, backends and clients. They run in
//! this process; the routers are the project's own program, started as separate processes.
//!
//! `standin CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod cluster;
mod http;
mod json;
mod record;
mod server;
mod store;

use record::Record;
use std::{path::Path, process::exit, thread, time::Duration};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        cluster::end_all();
        eprintln!("the case takes too long");
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    let result = match case.as_str() {
        "late-copy" => cases::late_copy(record.clone(), has_trouble),
        "endless" => cases::endless(record.clone(), has_trouble),
        "flood" => cases::flood(record.clone(), has_trouble),
        "upload" => cases::upload(record.clone(), has_trouble),
        "entry" => cases::entry(record.clone(), has_trouble),
        "weights" => cases::weights(record.clone(), has_trouble),
        _ => Err(format!("no case is called {case}")),
    };
    cluster::end_all();
    match result {
        Ok(violations) => {
            for violation in &violations {
                record.line(&format!("BROKEN {violation}"));
                println!("{violation}");
            }
            let verdict = if violations.is_empty() {
                "the rule held"
            } else {
                "the rule was broken"
            };
            record.line(verdict);
            println!("{verdict}");
            exit(i32::from(!violations.is_empty()));
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("{error}");
            exit(2);
        }
    }
}
