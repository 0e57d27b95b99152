//! Claims of runs' idempotency keys.

use std::time::Duration;

use actix_rt::time::Instant;
use tokio::time::timeout_at;

use super::frames::Failure;
use super::ledger::RunKey;
use super::refusal::Refusal;
use crate::control::{ClaimAnswer, ClaimEnd, ClaimRequest, ClaimTicket, Millis, StoredAnswer};
use crate::node::Handle;
use crate::peer::message::{Ran, Run};
use crate::traffic::Code;

/// Retry delay while another request with the key runs, in milliseconds.
const IN_PROGRESS_RETRY_MS: u32 = 1_000;

/// Retry delay while the table service is unavailable, in milliseconds.
const OUTAGE_RETRY_MS: u32 = 2_000;

/// Time before the deadline at which a claim without a result is abandoned.
const CLAIM_MARGIN: Duration = Duration::from_millis(20);

/// Why the key of a run was not claimed.
#[derive(Debug)]
pub(crate) enum NotClaimed {
    /// This attempt was not executed and never will be.
    Refused(Refusal),
    /// An earlier request with the key ran or may have run.
    Failed(Failure),
    /// An earlier request with the key ran; holds its stored answer.
    Replay(StoredAnswer),
}

/// Holds the claim of a key and ends it when dropped.
///
/// If dropped before [`ClaimGuard::mark_sent`], it releases the key; if dropped
/// after, it records that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct ClaimGuard {
    handle: Handle,
    ticket: ClaimTicket,
    end: Option<ClaimEnd>,
}

impl ClaimGuard {
    /// Marks the run as sent: from now on a drop leaves its outcome unknown.
    pub(crate) fn mark_sent(&mut self) {
        self.end = Some(ClaimEnd::Unknown);
    }

    /// Ends the claim with the outcome of the run.
    pub(crate) fn finish(mut self, end: ClaimEnd) {
        self.end = Some(end);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            self.handle.end_claim(self.ticket, end);
        }
    }
}

/// Claims the key of a run; returns `None` if the run has no key.
pub(crate) async fn claim_key(
    handle: &Handle,
    run: &Run,
    key: &RunKey,
    deadline: Instant,
) -> Result<Option<ClaimGuard>, NotClaimed> {
    if run.idempotency_key.is_empty() {
        return Ok(None);
    }
    let request = claim_request(run, key, deadline);
    let claimed = match timeout_at(deadline, handle.claim(request)).await {
        Ok(Some(claimed)) => claimed,
        Ok(None) => return Err(claim_refusal(Code::Draining, "the process is stopping")),
        Err(_) => {
            return Err(claim_refusal(
                Code::StoreUnavailable,
                "the key was not claimed in time",
            ));
        }
    };
    match claimed.answer {
        ClaimAnswer::Run => Ok(Some(ClaimGuard {
            handle: handle.clone(),
            ticket: claimed.ticket,
            end: Some(ClaimEnd::NotRun),
        })),
        answer => Err(into_not_claimed(answer)),
    }
}

fn claim_request(run: &Run, key: &RunKey, deadline: Instant) -> ClaimRequest {
    let remaining = deadline.saturating_duration_since(Instant::now());
    ClaimRequest {
        request: key.request.clone(),
        step: key.step,
        team: run.team.as_str().into(),
        service: run.service.as_str().into(),
        key: run.idempotency_key.as_str().into(),
        fingerprint: run.fingerprint.clone(),
        time_left: Millis(remaining.saturating_sub(CLAIM_MARGIN).as_millis() as u64),
    }
}

fn into_not_claimed(answer: ClaimAnswer) -> NotClaimed {
    let failed = |code, ran, message: &str| Failure::new(code, ran, message);
    match answer {
        ClaimAnswer::Replay(stored) => NotClaimed::Replay(stored),
        ClaimAnswer::Finished => NotClaimed::Failed(failed(
            Code::KeyFinished,
            Ran::Yes,
            "the request with this key has run; its answer was too long to be stored",
        )),
        ClaimAnswer::InProgress => {
            let message = "a request with this key is being run";
            let failure = failed(Code::KeyInProgress, Ran::Unknown, message);
            NotClaimed::Failed(failure.retry_after(IN_PROGRESS_RETRY_MS))
        }
        ClaimAnswer::UnknownOutcome => NotClaimed::Failed(failed(
            Code::KeyUnknownOutcome,
            Ran::Unknown,
            "a request with this key may have run; look at its effect before sending another key",
        )),
        ClaimAnswer::Reused => {
            claim_refusal(Code::KeyReused, "the key was used for another request")
        }
        ClaimAnswer::Unavailable | ClaimAnswer::Run => {
            let message = "the table service is out, so the key can't be claimed";
            let refusal = Refusal::new(Code::StoreUnavailable, message);
            NotClaimed::Refused(refusal.retry_after(OUTAGE_RETRY_MS))
        }
    }
}

fn claim_refusal(code: Code, message: &str) -> NotClaimed {
    NotClaimed::Refused(Refusal::new(code, message))
}
