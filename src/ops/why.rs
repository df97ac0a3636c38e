//! `rhubarbpick why`: tells from log files what became of a request.

use crate::{
    core::log_trace::{
        self,
        Line, //
    },
    kernel::settings::read_file,
    ops::command::{
        Call,
        Error,
        Outcome, //
    },
};

/// Runs the command: the request's id, then the log files of the VMs.
pub fn run(call: &Call) -> Outcome {
    let [_, id, files @ ..] = &call.matches.free[..] else {
        return Err(Error::Operand("the id of a request and log files").into());
    };
    if files.is_empty() {
        return Err(Error::Operand("log files, one a VM").into());
    }
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        lines.extend(text.lines().map(|line| Line {
            source: (**file).into(),
            text: line.into(),
        }));
    }
    let told = log_trace::related_lines(id, &lines);
    if told.is_empty() {
        return Err(Error::Unknown(id.as_str().into()).into());
    }
    for line in told {
        println!("{}: {}", line.source, line.text);
    }
    Ok(())
}
