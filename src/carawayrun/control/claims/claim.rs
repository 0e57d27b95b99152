//! One key that this life has claimed or wants to.

use compact_str::CompactString;

use super::batch::RowWrite;
use super::row::{ClaimAnswer, ClaimRow, ClaimState, ClaimTicket};
use crate::control::context::Context;
use crate::control::effect::Effect;
use crate::control::time::Millis;

/// What this life knows of one key that it has claimed or wants to.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) ticket: ClaimTicket,
    pub(super) request: CompactString,
    pub(super) fingerprint: CompactString,
    pub(super) deadline: Millis,
    /// Version that the row is known or believed to have; zero for none.
    pub(super) version: u64,
    /// True where a lost write may have put it into the row.
    pub(super) maybe_written: bool,
    pub(super) stage: ClaimStage,
}

/// How far a claim has come.
#[derive(Debug)]
pub(super) enum ClaimStage {
    /// The claim has to be written, and its request waits.
    Pending,
    /// The claim is held, and its request may run.
    Granted,
    /// The request has ended, and the end has to be written.
    Ended(ClaimState),
}

impl Claim {
    /// True where the row has to be written.
    pub(super) fn needs_write(&self) -> bool {
        !matches!(self.stage, ClaimStage::Granted)
    }

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

    /// Answers a second request with the key from memory.
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

    pub(super) fn refuse(&mut self, context: &mut Context) {
        self.stage = ClaimStage::Ended(ClaimState::Released);
        let answer = ClaimAnswer::Unavailable;
        context
            .effects
            .push(Effect::AnswerClaim(self.ticket, answer));
    }
}
