//! `carawayrun rollout`.

use awc::http::Method;
use bpaf::Bpaf;
use carawayrun::ops::Client;
use carawayrun::ops::api::{ApplyBody, ResourceView};
use carawayrun::resource::{Phase, Resource, Rollout, Spec};

use super::get::variant_name;
use crate::error::CliError;
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};

/// Shows or controls a roll-out
///
///
/// Examples:
///    carawayrun rollout status scene-large-3
///    carawayrun rollout --reason "odd colours" undo scene-large-3
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("rollout"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    /// Reason, recorded in the audit trail
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    reason: String,
    #[bpaf(external)]
    steering: Steering,
}

/// Actions on a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Bpaf)]
enum Steering {
    /// Shows the state of a roll-out
    #[bpaf(command("status"))]
    Status {
        /// Name of the roll-out
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Pauses a roll-out at its current share
    #[bpaf(command("pause"))]
    Pause {
        /// Name of the roll-out
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Resumes a paused roll-out
    #[bpaf(command("resume"))]
    Resume {
        /// Name of the roll-out
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Withdraws the new version, so that the old one serves all traffic
    #[bpaf(command("undo"))]
    Undo {
        /// Name of the roll-out
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?.with_reason(&options.reason);
    block_on(async {
        match &options.steering {
            Steering::Status { name } => status(&client, name, output).await,
            Steering::Pause { name } => set_paused(&client, name, true, output).await,
            Steering::Resume { name } => set_paused(&client, name, false, output).await,
            Steering::Undo { name } => undo(&client, name, output).await,
        }
    })
}

async fn status(client: &Client, name: &str, output: &mut Output) -> Result<(), CliError> {
    let (found, rollout) = read_rollout(client, name).await?;
    output.print_line(&format!(
        "{name}: {} from {} to {}, steps {:?}",
        rollout.model, rollout.from, rollout.to, rollout.steps
    ));
    match &found.status.rollout {
        Some(state) => output.print_line(&format!(
            "{} at {:.1}% of traffic on {}",
            variant_name(&state.phase),
            state.share * 100.0,
            rollout.to
        )),
        None => output.print_line("not started yet"),
    }
    Ok(())
}

async fn set_paused(
    client: &Client,
    name: &str,
    paused: bool,
    output: &mut Output,
) -> Result<(), CliError> {
    let (found, rollout) = read_rollout(client, name).await?;
    let mut resource = found.resource;
    resource.spec = Spec::Rollout(Rollout { paused, ..rollout });
    let path = format!("/apis/v1/Rollout/{name}");
    let put: Result<ResourceView, _> = client.send(Method::PUT, &path, &resource).await;
    put.map_err(call_error)?;
    let verb = if paused { "Paused" } else { "Resumed" };
    output.status(verb, format!("Rollout/{name}"));
    Ok(())
}

/// Withdraws the new version, provided that its resource version is still the one
/// read here, so that a concurrent change is not overwritten.
async fn undo(client: &Client, name: &str, output: &mut Output) -> Result<(), CliError> {
    let (_, rollout) = read_rollout(client, name).await?;
    let path = format!("/apis/v1/Version/{}", rollout.to);
    let found: ResourceView = client.get(&path).await.map_err(call_error)?;
    let mut version: Resource = found.resource;
    if let Spec::Version(spec) = &mut version.spec {
        spec.phase = Phase::Withdrawn;
    }
    let applied: Result<ApplyBody, _> = client
        .send(Method::POST, "/apis/v1/apply", &[version])
        .await;
    let generation = applied.map_err(call_error)?.generation;
    output.status(
        "Withdrew",
        format!("Version/{}, generation {generation}", rollout.to),
    );
    Ok(())
}

async fn read_rollout(client: &Client, name: &str) -> Result<(ResourceView, Rollout), CliError> {
    let path = format!("/apis/v1/Rollout/{name}");
    let found: ResourceView = client.get(&path).await.map_err(call_error)?;
    match found.resource.spec.clone() {
        Spec::Rollout(rollout) => Ok((found, rollout)),
        _ => Err(CliError::failed(format!(
            "Rollout/{name} is not a roll-out"
        ))),
    }
}
