//! `rhubarbpick services`: lists the intents in force.

use crate::ops::command::{
    self,
    Invocation,
    Outcome, //
};

/// Requests the list and prints it.
pub async fn run(invocation: &Invocation) -> Outcome {
    let bytes = invocation.client()?.get("/v1/services").await?;
    command::print_response(invocation, &bytes)
}
