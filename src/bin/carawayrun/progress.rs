//! Waits until a generation is in force on all live nodes.

use std::time::{Duration, Instant};

use carawayrun::ops::Client;
use carawayrun::ops::api::{MemberStatus, StatusBody};

use crate::error::CliError;
use crate::output::Output;
use crate::remote::call_error;

/// Time between two requests for the status.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Time for which the progress must remain unchanged, since a gateway that has
/// just started does not know all nodes yet.
const STABLE_PERIOD: Duration = Duration::from_secs(1);

/// Live nodes, and those that lag behind the generation.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Progress {
    /// Number of live nodes.
    live: usize,
    /// Live nodes that have not reported the generation as in force.
    behind: Vec<String>,
}

/// Waits until all live nodes have `generation` in force, and prints progress.
///
/// # Errors
///
/// [`CliError::Failed`] if `timeout` expires first; the message names the nodes
/// that are behind. Also fails if the status can't be read.
pub(crate) async fn wait_until_in_force(
    client: &Client,
    generation: u64,
    timeout: Duration,
    output: &mut Output,
) -> Result<(), CliError> {
    let start = Instant::now();
    let mut last: Option<Progress> = None;
    let mut unchanged_since = Instant::now();
    loop {
        let progress = poll(client, generation).await?;
        if last.as_ref() != Some(&progress) {
            unchanged_since = Instant::now();
            print_progress(generation, &progress, output);
        }
        if progress.behind.is_empty() && unchanged_since.elapsed() >= STABLE_PERIOD {
            let all = format!(
                "generation {generation} at all {} live nodes",
                progress.live
            );
            output.status("In force", all);
            return Ok(());
        }
        if start.elapsed() >= timeout {
            return Err(timeout_error(generation, timeout, &progress));
        }
        last = Some(progress);
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

async fn poll(client: &Client, generation: u64) -> Result<Progress, CliError> {
    let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_error)?;
    let live = status.members.iter().filter(|member| is_live(member));
    let behind = live.clone().filter(|member| member.generation < generation);
    Ok(Progress {
        live: live.count(),
        behind: behind.map(|member| member.node.to_string()).collect(),
    })
}

fn print_progress(generation: u64, progress: &Progress, output: &mut Output) {
    let in_force = progress.live - progress.behind.len();
    let text = format!(
        "generation {generation} in force at {in_force} of {} nodes",
        progress.live
    );
    output.status("Waiting", text);
}

fn timeout_error(generation: u64, timeout: Duration, progress: &Progress) -> CliError {
    let seconds = timeout.as_secs();
    if progress.behind.is_empty() {
        return CliError::failed(format!(
            "the set of live nodes did not become stable within {seconds} s; increase --timeout-s"
        ));
    }
    CliError::failed(format!(
        "generation {generation} is not in force on all live nodes after {seconds} s; behind: {}",
        progress.behind.join(", ")
    ))
}

fn is_live(member: &MemberStatus) -> bool {
    matches!(member.state.as_str(), "alive" | "suspect")
}
