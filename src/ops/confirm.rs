//! `rhubarbpick confirm`: puts a plan into force.
//!
//! The command is idempotent: it can be repeated when the response is lost.

use crate::{
    kernel::settings,
    ops::{
        client,
        command::{
            self,
            Error,
            Invocation,
            Outcome, //
        },
    },
};

/// Confirms the plan with the ID `--plan`, which was computed on version `--base`.
pub async fn run(invocation: &Invocation) -> Outcome {
    let text = settings::read_file(&invocation.required("intent")?)?;
    let id = invocation.required("plan")?;
    let base = invocation.required("base")?;
    let base = base.parse().map_err(|_| Error::InvalidOption {
        option: "base",
        found: base.into(),
        allowed: "the base version that the plan shows",
    })?;
    let bytes = client::confirm(&invocation.client()?, &text, &id, base).await?;
    command::print_response(invocation, &bytes)
}
