//! Stand-ins for the platform, its endpoints and its callers, and the scenarios of the review that
//! need them: `standin SCENARIO RECORD`.
//!
//! Exits with 1 if the rule of the scenario was broken, with 0 if it held and with 2 if the scenario
//! could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod crowd;
mod endpoint;
mod http;
mod keys;
mod names;
mod slow;
mod store;
mod system;
mod unsure;
mod weights;

use std::{env, process::ExitCode, sync::Arc};
use system::Record;

/// Result of a scenario.
pub enum Verdict {
    Held(String),
    Broken(String),
    Unable(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, scenario, path] = &arguments[..] else {
        eprintln!("usage: standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record::open(path));
    let verdict = match &**scenario {
        "crowd" => crowd::run(Arc::clone(&record), has_trouble),
        "weights" => weights::run(Arc::clone(&record), has_trouble),
        "slow" => slow::run(Arc::clone(&record), has_trouble),
        "names" => names::run(Arc::clone(&record), has_trouble),
        "unsure" => unsure::run(Arc::clone(&record), has_trouble),
        other => Verdict::Unable(format!("no scenario {other}")),
    };
    let (name, text, code) = match verdict {
        Verdict::Held(text) => ("held", text, 0),
        Verdict::Broken(text) => ("broken", text, 1),
        Verdict::Unable(text) => ("could not run", text, 2),
    };
    record.log(&format!("{name}: {text}"));
    println!("{name}: {text}");
    ExitCode::from(code)
}
