//! `rhubarbpick explain`: shows which endpoint owns a key and why.

use crate::ops::command::{
    self,
    Invocation,
    Outcome, //
};

/// Requests the explanation for `--key` of `--service` and prints it.
pub async fn run(invocation: &Invocation) -> Outcome {
    let service = invocation.required("service")?;
    let key = invocation.required("key")?;
    let path = format!("/v1/explain?service={service}&key={key}");
    let bytes = invocation.client()?.get(&path).await?;
    command::print_response(invocation, &bytes)
}
