//! Stand-ins for the cases of the review, one process for a case.
//!
//! Usage: `standin-3 CASE RECORD`, in the repository. `TROUBLE=0` leaves the disruption out.

mod again;
mod backend;
mod behind;
mod client;
mod http;
mod json;
mod leaving;
mod load;
mod proxy;
mod record;
mod silence;
mod store;
mod system;

use record::Record;
use std::{process::ExitCode, sync::Arc};

/// Returns the path of the record.
pub fn record_path() -> String {
    std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned())
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record::create(&record_path()));
    let code = match case.as_str() {
        "again" => again::run(&record, has_trouble),
        "behind" => behind::run(&record, has_trouble),
        "leaving" => leaving::run(&record, has_trouble),
        "silence" => silence::run(&record, has_trouble),
        _ => {
            eprintln!("no case is called `{case}`");
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
