//! `rhubarbpick audit`: shows the audit trail of a service: what changed, when and why.

use crate::ops::command::{
    self,
    Invocation,
    Outcome, //
};

/// Requests the latest page of the trail, or the first that starts at entry `--after` or
/// later, and prints it.
pub async fn run(invocation: &Invocation) -> Outcome {
    let service = invocation.required("service")?;
    let mut path = format!("/v1/audit?service={service}");
    if let Some(after) = invocation.matches.opt_str("after") {
        path.push_str("&after=");
        path.push_str(&after);
    }
    let bytes = invocation.client()?.get(&path).await?;
    command::print_response(invocation, &bytes)
}
