//! `rhubarbpick plan`: shows what an intent would change.

use crate::{
    kernel::settings,
    ops::{
        client,
        command::{
            self,
            Invocation,
            Outcome, //
        },
    },
};

/// Requests the plan for the intent in the file that `--intent` names and prints it.
pub async fn run(invocation: &Invocation) -> Outcome {
    let text = settings::read_file(&invocation.required("intent")?)?;
    let plan = client::plan(&invocation.client()?, &text).await?;
    command::print_response(invocation, &serde_json::to_vec(&plan)?)
}
