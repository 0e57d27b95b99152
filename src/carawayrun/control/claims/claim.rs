//! The state of one claim in memory.

use compact_str::CompactString;

use super::batch::RowWrite;
use super::row::{ClaimAnswer, ClaimRow, ClaimState, ClaimTicket};
use crate::control::context::Context;
use crate::control::effect::Effect;
use crate::control::time::Millis;

/// A claim of one idempotency key by this incarnation.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) ticket: ClaimTicket,
    pub(super) request: CompactString,
    pub(super) fingerprint: CompactString,
    pub(super) deadline: Millis,
    /// Version that the row is expected to have; zero if it has no row.
    pub(super) version: u64,
    /// True if a write whose answer was lost may have stored the claim.
    pub(super) maybe_written: bool,
    pub(super) stage: ClaimStage,
}

/// Stage of a claim.
#[derive(Debug)]
pub(super) enum ClaimStage {
    /// The claim is not stored yet, and its request waits.
    Pending,
    /// The claim is stored, and its request may run.
    Granted,
    /// The request has ended, and the end is not stored yet.
    Ended(ClaimState),
}

impl Claim {
    /// True if the row has to be written.
    pub(super) fn needs_write(&self) -> bool {
        !matches!(self.stage, ClaimStage::Granted)
    }

    /// The write that the claim needs at its stage; `None` once it is granted.
    pub(super) fn next_write(
        &self,
        key: &CompactString,
        owner: &CompactString,
    ) -> Option<RowWrite> {
        let state = match &self.stage {
            ClaimStage::Pending => ClaimState::Running,
            ClaimStage::Granted => return None,
            ClaimStage::Ended(state) => state.clone(),
        };
        let row = ClaimRow {
            owner: owner.clone(),
            request: self.request.clone(),
            fingerprint: self.fingerprint.clone(),
            state,
        };
        Some(RowWrite {
            key: key.clone(),
            version: self.version,
            row,
        })
    }

    /// Answers another request with the same key from memory.
    pub(super) fn answer_duplicate(&self, fingerprint: &str) -> ClaimAnswer {
        if self.fingerprint != fingerprint {
            return ClaimAnswer::Reused;
        }
        match &self.stage {
            ClaimStage::Ended(ClaimState::Finished { answer }) => answer
                .clone()
                .map_or(ClaimAnswer::Finished, ClaimAnswer::Replay),
            ClaimStage::Ended(ClaimState::Unknown) => ClaimAnswer::UnknownOutcome,
            ClaimStage::Ended(ClaimState::Released) => ClaimAnswer::Unavailable,
            _ => ClaimAnswer::InProgress,
        }
    }

    /// Answers the request as unavailable and marks the row for release.
    pub(super) fn refuse(&mut self, context: &mut Context) {
        self.stage = ClaimStage::Ended(ClaimState::Released);
        let answer = ClaimAnswer::Unavailable;
        context
            .effects
            .push(Effect::AnswerClaim(self.ticket, answer));
    }
}
