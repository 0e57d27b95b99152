//! Waiting until a generation is in force everywhere.

use std::time::{Duration, Instant};

use carawayrun::ops::Client;
use carawayrun::ops::api::{MemberStatus, StatusBody};

use crate::failure::Failure;
use crate::output::Output;
use crate::remote::call_failure;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);

/// Time for which the live nodes must stay the same, as a gateway that has just
/// started does not know all of them.
const SETTLE: Duration = Duration::from_secs(1);

/// What one look saw.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Look {
    /// Number of live nodes.
    live: usize,
    /// Live nodes that are not known to have the generation in force.
    behind: Vec<String>,
}

/// Waits until all live nodes have `generation` in force, and shows progress.
///
/// # Errors
///
/// [`Failure::Failed`] where `timeout` passes first; it names the nodes that
/// are behind.
pub(crate) async fn wait(
    client: &Client,
    generation: u64,
    timeout: Duration,
    output: &mut Output,
) -> Result<(), Failure> {
    let start = Instant::now();
    let mut last: Option<Look> = None;
    let mut same_since = Instant::now();
    loop {
        let look = look(client, generation).await?;
        if last.as_ref() != Some(&look) {
            same_since = Instant::now();
            show(generation, &look, output);
        }
        if look.behind.is_empty() && same_since.elapsed() >= SETTLE {
            let all = format!("generation {generation} at all {} live nodes", look.live);
            output.status("In force", all);
            return Ok(());
        }
        if start.elapsed() >= timeout {
            return Err(late(generation, timeout, &look));
        }
        last = Some(look);
        actix_rt::time::sleep(LOOK).await;
    }
}

async fn look(client: &Client, generation: u64) -> Result<Look, Failure> {
    let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_failure)?;
    let live = status.members.iter().filter(|member| is_live(member));
    let behind = live.clone().filter(|member| member.generation < generation);
    Ok(Look {
        live: live.count(),
        behind: behind.map(|member| member.node.to_string()).collect(),
    })
}

fn show(generation: u64, look: &Look, output: &mut Output) {
    let there = look.live - look.behind.len();
    let text = format!(
        "generation {generation} in force at {there} of {} nodes",
        look.live
    );
    output.status("Waiting", text);
}

fn late(generation: u64, timeout: Duration, look: &Look) -> Failure {
    let seconds = timeout.as_secs();
    if look.behind.is_empty() {
        return Failure::failed(format!(
            "the live nodes did not stay the same for a while within {seconds} s; raise --timeout-s"
        ));
    }
    Failure::failed(format!(
        "generation {generation} is not in force everywhere after {seconds} s; behind: {}",
        look.behind.join(", ")
    ))
}

fn is_live(member: &MemberStatus) -> bool {
    matches!(member.state.as_str(), "alive" | "suspect")
}
