//! Tracking of one request, reported to the control state when it ends.

use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use jiff::Timestamp;

use super::clock::Clock;
use super::limits::TeamPermit;
use super::refusal::{Refusal, ran_text};
use super::shared::Shared;
use crate::control::{AwaitedStep, Bill, BillStep, Event, RequestOutcome};
use crate::ops::why::{Attempt, Decision};
use crate::peer::RequestId;
use crate::peer::message::{Ran, Usage};

/// Tracks the usage, attempts and outcome of one request.
///
/// Dropping it posts the bill and the outcome, so a request whose caller
/// disconnects at any point is billed for what it used, exactly once.
#[derive(Debug)]
pub(super) struct RequestTracker {
    pub(super) id: RequestId,
    /// The id as sent to the caller.
    pub(super) id_text: CompactString,
    pub(super) clock: Clock,
    pub(super) team: CompactString,
    pub(super) service: CompactString,
    pub(super) task: CompactString,
    pub(super) version: CompactString,
    /// Whether the outcome counts for a roll-out's comparison of two versions.
    pub(super) compared: bool,
    /// Added to a rating before the estimates record it, see `policy::Step`.
    pub(super) rating_shift: f64,
    /// Whether the request failed because of this system or the upstream.
    pub(super) failed: bool,
    /// Whether the request got an error without having run.
    pub(super) refused: bool,
    /// Why the request got no complete answer.
    pub(super) error: Option<Refusal>,
    /// Configuration generation that the plan is based on.
    pub(super) generation: u64,
    /// The policy's explanation of the plan.
    pub(super) explanation: Vec<CompactString>,
    shared: Arc<Shared>,
    first_ms: Option<u64>,
    steps: Vec<BillStep>,
    awaited: Vec<AwaitedStep>,
    attempts: Vec<Attempt>,
    arrival: Timestamp,
    _permit: TeamPermit,
}

impl RequestTracker {
    /// Starts tracking an admitted request.
    pub(super) fn start(
        shared: &Arc<Shared>,
        permit: TeamPermit,
        team: CompactString,
        clock: Clock,
    ) -> Self {
        shared.begin_request();
        let id = shared.next_request_id();
        Self {
            id_text: id.to_compact_string(),
            id,
            clock,
            team,
            service: CompactString::default(),
            task: CompactString::default(),
            version: CompactString::default(),
            compared: false,
            rating_shift: 0.0,
            failed: false,
            refused: false,
            error: None,
            generation: 0,
            explanation: Vec::new(),
            shared: Arc::clone(shared),
            first_ms: None,
            steps: Vec::new(),
            awaited: Vec::new(),
            attempts: Vec::new(),
            arrival: Timestamp::now(),
            _permit: permit,
        }
    }

    /// Records that an attempt was sent, whose usage is not known yet.
    pub(super) fn record_sent(&mut self, step: u32, upstream: &CompactString) {
        self.awaited.push(AwaitedStep {
            step,
            upstream: upstream.clone(),
        });
    }

    /// Stops awaiting the usage of a step's attempts at `upstream`, because it
    /// is known now or the attempt did not run.
    pub(super) fn remove_awaited(&mut self, step: u32, upstream: &CompactString) {
        self.awaited
            .retain(|awaited| awaited.step != step || awaited.upstream != *upstream);
    }

    /// Returns true if an attempt ran or may have run.
    pub(super) fn may_have_run(&self) -> bool {
        !self.awaited.is_empty() || !self.steps.is_empty()
    }

    /// Records the usage of an attempt.
    pub(super) fn record_usage(&mut self, step: u32, upstream: &CompactString, usage: &Usage) {
        self.remove_awaited(step, upstream);
        self.steps.push(BillStep::from(usage));
    }

    /// Records the time of the answer's first byte.
    pub(super) fn record_first_byte(&mut self) {
        let elapsed_ms = self.clock.elapsed_ms();
        self.first_ms.get_or_insert(elapsed_ms);
    }

    /// Records an attempt for the request's decision.
    pub(super) fn record_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Records that the request gets no answer, or only a part of it.
    pub(super) fn record_error(&mut self, refusal: &Refusal) {
        self.refused = refusal.ran == Ran::No;
        self.failed = refusal.code.status().is_server_error();
        self.error = Some(refusal.clone());
    }

    fn decision(&mut self, bill: &Bill) -> Decision {
        let error = self.error.as_ref();
        Decision {
            request: self.id_text.clone(),
            time: self.arrival.to_compact_string(),
            team: self.team.clone(),
            service: self.service.clone(),
            task: self.task.clone(),
            generation: self.generation,
            explanation: std::mem::take(&mut self.explanation),
            attempts: std::mem::take(&mut self.attempts),
            code: error.map_or("", |error| error.code.as_str()).into(),
            ran: error.map_or("yes", |error| ran_text(error.ran)).into(),
            version: self.version.clone(),
            total_ms: self.clock.elapsed_ms(),
            cost_micros: bill.cost_micros,
        }
    }

    fn bill(&mut self) -> Bill {
        Bill {
            sequence: self.id.sequence,
            team: self.team.clone(),
            service: self.service.clone(),
            cost_micros: self.steps.iter().map(|step| step.cost_micros).sum(),
            steps: std::mem::take(&mut self.steps),
            awaited: std::mem::take(&mut self.awaited),
        }
    }

    fn outcome(&self, completion_tokens: u64) -> RequestOutcome {
        let total_ms = self.clock.elapsed_ms();
        RequestOutcome {
            id: self.id.clone(),
            team: self.team.clone(),
            service: self.service.clone(),
            task: self.task.clone(),
            version: self.version.clone(),
            compared: self.compared,
            failed: self.failed,
            refused: self.refused,
            first_ms: self.first_ms.unwrap_or(total_ms),
            total_ms,
            completion_tokens,
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        let bill = self.bill();
        let completion_tokens = bill.steps.last().map_or(0, |step| step.completion_tokens);
        let outcome = self.outcome(completion_tokens);
        let decision = self.decision(&bill);
        self.shared.decisions.push(decision);
        self.shared.handle.post(Event::BillDue(Box::new(bill)));
        self.shared
            .handle
            .post(Event::RequestEnded(Box::new(outcome)));
        self.shared.end_request();
    }
}
