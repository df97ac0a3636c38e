//! Structured log on standard error: one line of `key=value` pairs per event.
//!
//! Events are logged with the macros of the [`log`] crate; the message
//! is `event=NAME key=value ...`. Events never contain secrets or the bodies
//! of callers' requests.

use crate::kernel::{
    clock,
    error::Error, //
};
use flexi_logger::{
    DeferredNow,
    Logger,
    LoggerHandle, //
};
use log::Record;
use std::io::{
    self,
    Write, //
};

/// Starts the log on standard error; it runs until the handle is dropped.
pub fn init(level: &str) -> Result<LoggerHandle, Error> {
    Logger::try_with_str(level)
        .and_then(|logger| logger.format(write_line).log_to_stderr().start())
        .map_err(|source| Error::Log { source })
}

fn write_line(out: &mut dyn Write, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    let time = clock::wall_millis();
    write!(out, "time_ms={time} level={level} {}", record.args())
}
