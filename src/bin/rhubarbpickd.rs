//! The daemon on an entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    rhubarbpick::ops::serve::run(&args)
}
