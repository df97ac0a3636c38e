//! `rhubarbpick status`: shows the state of members, services and endpoints.

use crate::ops::command::{
    self,
    Invocation,
    Outcome, //
};

/// Requests the status and prints it.
pub async fn run(invocation: &Invocation) -> Outcome {
    let bytes = invocation.client()?.get("/v1/status").await?;
    command::print_response(invocation, &bytes)
}
