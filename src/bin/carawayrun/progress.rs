//! Waiting until a generation is in force everywhere.

use std::time::{Duration, Instant};

use carawayrun::ops::Client;
use carawayrun::ops::api::{MemberStatus, StatusBody};

use crate::failure::Failure;
use crate::output::Output;
use crate::remote::call_failure;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);

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
    let mut shown = None;
    loop {
        let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_failure)?;
        let live: Vec<&MemberStatus> = status
            .members
            .iter()
            .filter(|member| is_live(member))
            .collect();
        let behind: Vec<&str> = live
            .iter()
            .filter(|member| member.generation < generation)
            .map(|member| member.node.as_str())
            .collect();
        let there = live.len() - behind.len();
        if shown != Some(there) {
            shown = Some(there);
            output.status(
                "Waiting",
                format!(
                    "generation {generation} in force at {there} of {} nodes",
                    live.len()
                ),
            );
        }
        if behind.is_empty() && status.generation >= generation {
            output.status("In force", format!("generation {generation} everywhere"));
            return Ok(());
        }
        if start.elapsed() >= timeout {
            return Err(Failure::failed(format!(
                "generation {generation} is not in force everywhere after {} s; behind: {}",
                timeout.as_secs(),
                behind.join(", ")
            )));
        }
        actix_rt::time::sleep(LOOK).await;
    }
}

fn is_live(member: &MemberStatus) -> bool {
    matches!(member.state.as_str(), "alive" | "suspect")
}
