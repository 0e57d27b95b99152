//! Answers to requests whose key another request has claimed.

use super::row::{ClaimAnswer, ClaimRow, ClaimState};
use crate::control::context::Context;
use crate::control::time::Millis;
use crate::peer::NodeId;

/// Time after the start of a process in which an owner missing from its member
/// list still counts as running, because the list may be incomplete.
pub(super) const MEMBERSHIP_LEARNING_TIME: Millis = Millis(10_000);

/// Answers a claim from the row of another request or another incarnation.
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

// False if the owner's incarnation has ended, or is still not a known member
// after `MEMBERSHIP_LEARNING_TIME`.
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
