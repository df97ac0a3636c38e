//! `rhubarbpick why`: shows the log lines that explain the outcome of a request.
//!
//! Works on log files alone; the administration API is not called.

use crate::{
    core::log_trace::{
        self,
        Line, //
    },
    kernel::settings::read_file,
    ops::command::{
        Error,
        Invocation,
        Outcome, //
    },
};

/// Searches the log files for the request; the operands are its ID and the files.
pub fn run(invocation: &Invocation) -> Outcome {
    let [_, id, files @ ..] = &invocation.matches.free[..] else {
        return Err(Error::MissingOperands("the request ID and the log files").into());
    };
    if files.is_empty() {
        return Err(Error::MissingOperands("the log files, one per VM").into());
    }
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        lines.extend(text.lines().map(|line| Line {
            source: (**file).into(),
            text: line.into(),
        }));
    }
    let related = log_trace::related_lines(id, &lines);
    if related.is_empty() {
        return Err(Error::UnknownRequest(id.as_str().into()).into());
    }
    for line in related {
        println!("{}: {}", line.source, line.text);
    }
    Ok(())
}
