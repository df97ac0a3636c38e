//! Command line of the emulators and the load generator.

use emulator::command;
use std::process::ExitCode;

fn main() -> ExitCode {
    command::run(std::env::args().skip(1).collect())
}
