//! What another's row means for a request with its key.

use super::row::{ClaimAnswer, ClaimRow, ClaimState};
use crate::control::context::Context;
use crate::control::time::Millis;
use crate::peer::NodeId;

/// Time from the start of a process in which a life that it has not heard of
/// may still be running.
pub(super) const MEMBERSHIP_LEARNING_TIME: Millis = Millis(10_000);

/// Judges by the row of another request, or of another agent's life.
pub(super) fn answer_conflict(
    existing: &ClaimRow,
    fingerprint: &str,
    context: &Context,
) -> ClaimAnswer {
    if existing.fingerprint != fingerprint {
        return ClaimAnswer::Reused;
    }
    match &existing.state {
        ClaimState::Finished {
            answer: Some(answer),
        } => ClaimAnswer::Replay(answer.clone()),
        ClaimState::Finished { answer: None } => ClaimAnswer::Finished,
        ClaimState::Running if may_be_running(&existing.owner, context) => ClaimAnswer::InProgress,
        ClaimState::Running | ClaimState::Unknown | ClaimState::Released => {
            ClaimAnswer::UnknownOutcome
        }
    }
}

// False where the life is over, or was not heard of for long.
fn may_be_running(owner: &str, context: &Context) -> bool {
    let Ok(owner) = owner.parse::<NodeId>() else {
        return false;
    };
    let key = context.members.key(&owner.name);
    match key.and_then(|key| context.members.get(key)) {
        Some(member) => member.node.incarnation == owner.incarnation && member.is_present(),
        None => context.now < MEMBERSHIP_LEARNING_TIME,
    }
}
