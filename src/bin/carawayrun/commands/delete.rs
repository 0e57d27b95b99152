//! `carawayrun delete`.

use std::time::Duration;

use awc::http::Method;
use bpaf::Bpaf;
use carawayrun::ops::api::DeleteBody;
use carawayrun::resource::Kind;
use serde_json::Value;

use crate::error::CliError;
use crate::output::Output;
use crate::progress;
use crate::remote::{Remote, block_on, call_error, remote};

/// Deletes a resource
///
///
/// Fails if another resource refers to it.
///
///
/// Example:
///    carawayrun delete rollout scene-large-3 --wait
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("delete"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    /// Waits until the change is in force on all live nodes
    wait: bool,
    /// Maximum time to wait, in seconds
    #[bpaf(argument("SECONDS"), fallback(60), display_fallback)]
    timeout_s: u64,
    /// Reason, recorded in the audit trail
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    reason: String,
    /// Kind of the resource
    #[bpaf(positional("KIND"))]
    kind: Kind,
    /// Name of the resource
    #[bpaf(positional("NAME"))]
    name: String,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?.with_reason(&options.reason);
    let Options { kind, name, .. } = options;
    block_on(async {
        let path = format!("/apis/v1/{kind}/{name}");
        let deleted: Result<DeleteBody, _> = client.send(Method::DELETE, &path, &Value::Null).await;
        let generation = deleted.map_err(call_error)?.generation;
        output.status("Deleted", format!("{kind}/{name}, generation {generation}"));
        if options.wait {
            let timeout = Duration::from_secs(options.timeout_s);
            progress::wait_until_in_force(&client, generation, timeout, output).await?;
        }
        Ok(())
    })
}
