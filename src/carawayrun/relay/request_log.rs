//! Log line and metrics of a request.

use std::time::Duration;

use actix_http::StatusCode;
use compact_str::CompactString;
use tokio::time::Instant;

use super::fleet::Expectation;
use super::metrics::{DrainEnd, Metrics};
use super::view::Upstream;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// An upstream's answer was delivered completely.
    Answered,
    /// The gateway refused the request itself.
    Refused,
    /// The gateway closed the client's connection within an answer that it could
    /// not complete.
    Interrupted,
    /// The client closed its connection, or did not take a stream's data in time,
    /// before the end of the answer.
    ClientDisconnected,
}

impl RequestOutcome {
    /// Value of the log field and the metric label `outcome`.
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Interrupted => "cut",
            Self::ClientDisconnected => "client gone",
        }
    }
}

/// What a drain knew of a request when it was read.
#[derive(Debug, Clone, Copy)]
pub(super) struct DrainRead {
    /// Time since the drain began.
    pub(super) age: Duration,
    /// Time until the last moment for an answer.
    pub(super) left: Duration,
    /// Time that the answer was expected to take; `None` if nothing was known of the route.
    pub(super) expected: Option<Duration>,
    /// The request's own time limit.
    pub(super) limit: Duration,
}

/// Use of a client's connection when a request was read from it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionUse {
    pub(super) age: Duration,
    /// Number of requests before this one.
    pub(super) requests: u32,
}

/// Log record of one request, collected while it is served.
#[derive(Debug)]
pub(super) struct RequestLog {
    pub(super) id: CompactString,
    pub(super) route: CompactString,
    pub(super) session: CompactString,
    pub(super) catalog_version: u64,
    pub(super) confirmed_age: Duration,
    received: Instant,
    sends: u32,
    upstream: CompactString,
    upstream_status: Option<StatusCode>,
    /// What was expected at the upstream that was chosen last.
    expected: Option<Expectation>,
    /// Time that it waited for places.
    pub(super) queued: Duration,
    /// Requests that waited before it when it began to.
    behind: u32,
    /// Time from the request to the first event of its answer.
    first_event: Option<Duration>,
    note: &'static str,
    connection: ConnectionUse,
    drain: Option<DrainRead>,
    outcome: RequestOutcome,
    status: StatusCode,
}

impl RequestLog {
    pub(super) fn new(id: CompactString, received: Instant, connection: ConnectionUse) -> Self {
        Self {
            id,
            route: CompactString::default(),
            session: CompactString::default(),
            catalog_version: 0,
            confirmed_age: Duration::ZERO,
            received,
            sends: 0,
            upstream: CompactString::default(),
            upstream_status: None,
            expected: None,
            queued: Duration::ZERO,
            behind: 0,
            first_event: None,
            note: "",
            connection,
            drain: None,
            // Remains if the request is dropped in flight.
            outcome: RequestOutcome::ClientDisconnected,
            status: StatusCode::OK,
        }
    }

    /// Counts a send and records its upstream, whose status is not known yet.
    pub(super) fn record_send(&mut self, upstream: &Upstream) {
        self.sends += 1;
        self.upstream.clone_from(&upstream.name);
        self.upstream_status = None;
    }

    /// Records the status of the last answer or refusal of an upstream.
    pub(super) fn record_upstream_status(&mut self, status: StatusCode) {
        self.upstream_status = Some(status);
    }

    /// Records what is expected at the upstream that was chosen last.
    pub(super) fn record_expectation(&mut self, expected: &Expectation) {
        self.expected = Some(*expected);
    }

    /// Records a wait for a place, behind this many others.
    pub(super) fn record_queued(&mut self, queued: Duration, behind: usize) {
        self.queued += queued;
        self.behind = behind as u32;
    }

    /// Records the time from the request to the first event of its answer.
    pub(super) fn record_first_event(&mut self, after: Duration) {
        self.first_event = Some(after);
    }

    /// Sets the explanation on the request's log line; it replaces an earlier one.
    pub(super) fn set_note(&mut self, note: &'static str) {
        self.note = note;
    }

    /// Records that the request was read within a drain.
    pub(super) fn record_drain(&mut self, read: DrainRead) {
        self.drain = Some(read);
    }

    /// Sets the outcome and the logged status; they replace earlier ones.
    pub(super) fn set_outcome(&mut self, outcome: RequestOutcome, status: StatusCode) {
        self.outcome = outcome;
        self.status = status;
    }

    /// Returns true if an upstream's answer was delivered completely.
    pub(super) fn has_answer(&self) -> bool {
        self.outcome == RequestOutcome::Answered
    }

    /// Counts the request and logs it: failures and requests that end within a drain
    /// first, others as far as the rate limit of log lines allows.
    pub(super) fn finish(&self, metrics: &Metrics, is_draining: bool) {
        let took = self.received.elapsed();
        metrics.record_request(self.outcome.name(), self.status, took, self.first_event);
        if is_draining {
            metrics.record_drained(DrainEnd::new(self.outcome, self.status));
        }
        let is_single_answer = self.outcome == RequestOutcome::Answered && self.sends <= 1;
        let has_failed = !is_single_answer || self.status.is_server_error();
        if !metrics.log_limiter.take_line(has_failed || is_draining) {
            return;
        }
        let millis = |time: Duration| time.as_millis() as u64;
        let (drain, expected) = (self.drain, self.expected);
        tracing::info!(
            request = %self.id, session = %self.session,
            route = %self.route,
            config = self.catalog_version,
            config_age_ms = self.confirmed_age.as_millis() as u64,
            outcome = self.outcome.name(),
            status = self.status.as_u16(),
            upstream = %self.upstream,
            upstream_status = self.upstream_status.map_or(0, |status| status.as_u16()),
            sends = self.sends,
            wait_ms = expected.map_or(0, |expected| expected.wait_ms as u64),
            expected_first_ms = expected.map(|expected| expected.expected_first_ms as u64),
            pace = expected.map(|expected| expected.pace),
            kept_tokens = expected.map(|expected| expected.kept_tokens as u64),
            queued_ms = millis(self.queued),
            behind = self.behind,
            first_ms = self.first_event.map_or(0, |first| first.as_millis() as u64),
            took_ms = took.as_millis() as u64,
            note = self.note,
            connection_ms = millis(self.connection.age),
            connection_requests = self.connection.requests,
            is_draining,
            drain_ms = drain.map(|read| millis(read.age)),
            left_ms = drain.map(|read| millis(read.left)),
            expected_ms = drain.and_then(|read| read.expected).map(millis),
            limit_ms = drain.map(|read| millis(read.limit)),
            "request"
        );
    }
}
