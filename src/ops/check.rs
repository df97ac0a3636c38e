//! `rhubarbpick check`: validates an intent file locally.
//!
//! Nothing is sent to the administration API.

use crate::{
    core::intent::Intent,
    kernel::settings,
    ops::command::{
        Invocation,
        Outcome, //
    },
};

/// Parses and checks the intent in the file that `--intent` names.
pub fn run(invocation: &Invocation) -> Outcome {
    let text = settings::read_file(&invocation.required("intent")?)?;
    let intent = Intent::parse(&text)?;
    println!("the intent of service {} is valid", intent.service);
    Ok(())
}
