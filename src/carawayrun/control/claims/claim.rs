//! One key that this life has claimed or wants to.

use compact_str::CompactString;

use super::batch::Write;
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
    pub(super) doubtful: bool,
    pub(super) step: Step,
}

/// How far a claim has come.
#[derive(Debug)]
pub(super) enum Step {
    /// The claim has to be written, and its request waits.
    Wanted,
    /// The claim is held, and its request may run.
    Held,
    /// The request has ended, and the end has to be written.
    Ended(ClaimState),
}

impl Claim {
    /// True where the row has to be written.
    pub(super) fn is_due(&self) -> bool {
        !matches!(self.step, Step::Held)
    }

    pub(super) fn write(&self, key: &CompactString, owner: &CompactString) -> Option<Write> {
        let state = match &self.step {
            Step::Wanted => ClaimState::Running,
            Step::Held => return None,
            Step::Ended(state) => state.clone(),
        };
        let row = ClaimRow {
            owner: owner.clone(),
            request: self.request.clone(),
            fingerprint: self.fingerprint.clone(),
            state,
        };
        Some(Write {
            key: key.clone(),
            version: self.version,
            row,
        })
    }

    /// Answers a second request with the key from memory.
    pub(super) fn answer_again(&self, fingerprint: &str) -> ClaimAnswer {
        if self.fingerprint != fingerprint {
            return ClaimAnswer::Reused;
        }
        match &self.step {
            Step::Ended(ClaimState::Finished { answer }) => answer
                .clone()
                .map_or(ClaimAnswer::Finished, ClaimAnswer::Replay),
            Step::Ended(ClaimState::Unknown) => ClaimAnswer::UnknownOutcome,
            Step::Ended(ClaimState::Released) => ClaimAnswer::Unavailable,
            _ => ClaimAnswer::InProgress,
        }
    }

    pub(super) fn give_up(&mut self, context: &mut Context) {
        self.step = Step::Ended(ClaimState::Released);
        let answer = ClaimAnswer::Unavailable;
        context
            .effects
            .push(Effect::AnswerClaim(self.ticket, answer));
    }
}
