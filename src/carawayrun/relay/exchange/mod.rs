//! One request: its attempts at upstreams and the delivery of the answer.

mod answer;
mod attempt;
mod choice;
mod engine_report;
mod head_timer;
mod place;
mod stream;
mod subjects;

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, timeout_at};

use self::place::Turn;
pub(super) use self::subjects::Subjects;
use super::admission::{AdmittedRequest, Refusal};
use super::body::Body;
use super::budget::RetryCause;
use super::cascade;
use super::catalog::{Catalog, Route, RouteKind};
use super::connection::UpstreamConnection;
use super::message::{Answer, ClientRequest};
use super::metrics::SendReason;
use super::quarantine::Verdict;
use super::request_log::{RequestLog, RequestOutcome};
use super::responder::{Responder, WriteError};
use super::traffic::{AttemptGuard, MemoryHold, Place, Traffic};
use super::view::{Upstream, UpstreamKey};
use crate::platform;

/// Number of attempts of one request that may end before anything was sent, or at
/// an upstream that no longer has its address, before the request is given up.
const MAX_UNSENT_ATTEMPTS: u32 = 6;

/// Number of refusals, each without a run, after which a request is given up.
const MAX_REFUSED_SENDS: u32 = 4;

/// Shortest time left before the deadline with which a request is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Time before the deadline that is reserved for delivering a fallback answer if
/// no better one comes. By then the upstream has written most of it.
const DELIVERY_RESERVE: Duration = Duration::from_millis(300);

/// Shortest `Retry-After` of a [`Refusal::NoCapacity`]; a request that is
/// given up before its deadline may get up to three times as much, at random.
const MIN_NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest wait for this gateway's share of the upstreams' limits in a
/// `Retry-After`: a repeated request reaches another gateway, which has a share of
/// its own.
const MAX_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One request of a client, after it was read.
pub(super) struct Exchange<'a> {
    pub(super) traffic: &'a Rc<Traffic>,
    pub(super) head: &'a RequestHead,
    pub(super) headers: HeaderMap,
    pub(super) body: Body,
    pub(super) request: ClientRequest,
    pub(super) admitted: AdmittedRequest,
    pub(super) received: Instant,
    pub(super) log: &'a mut RequestLog,
    pub(super) subjects: OnceCell<Subjects>,
}

/// How an attempt ended.
enum AttemptOutcome {
    /// The upstream answered, with success or with its own failure.
    Answered(Box<PendingAnswer>),
    /// Nothing was sent.
    NotSent,
    /// The upstream refused the request without running it.
    Refused(StatusCode),
    /// Another upstream has the address now; it did not run the request.
    Displaced,
    /// The connection ended without an answer; the request may have run.
    Lost,
    /// No head of an answer came in time; the request may have run.
    TimedOut,
}

/// An answer whose head was read, but not its body.
struct PendingAnswer {
    key: UpstreamKey,
    upstream: Upstream,
    connection: UpstreamConnection,
    head: ResponseHead,
    answer: Answer,
    /// Counts the attempt until the answer has ended.
    _guard: AttemptGuard,
    /// Time from the send to the head of the answer.
    head_delay: Duration,
    /// Time of the send.
    sent: Instant,
}

impl PendingAnswer {
    /// True for a success that carries the upstream's seal and is not encoded.
    fn is_genuine(&self) -> bool {
        self.head.status.is_success() && self.answer.is_sealed && !self.answer.is_encoded
    }
}

/// What each part of a stream has in common with the first one, whose head the client
/// has.
struct StreamHead {
    status: StatusCode,
    media_type: CompactString,
    headers: HeaderMap,
    /// Length of the body, if the stream is of one part and its upstream named it.
    length: Option<u64>,
}

impl StreamHead {
    fn new(first: &PendingAnswer, route: &Route) -> Self {
        // The parts of a resumed stream are together of another length than the first
        // upstream's answer, whose head is written by then.
        let is_resumable = route.kind == RouteKind::Stream { resumable: true };
        let length = first.answer.body_length.filter(|_| !is_resumable);
        Self {
            status: first.head.status,
            media_type: first.answer.media_type.clone(),
            headers: platform::answer_headers(&first.head.headers),
            length,
        }
    }

    /// Returns true if the body of `next` may go on where the stream was interrupted.
    fn continues_in(&self, next: &PendingAnswer) -> bool {
        next.is_genuine()
            && next.head.status == self.status
            && next.answer.media_type == self.media_type
    }
}

/// An upstream's failure, delivered if no attempt succeeds.
struct Failure {
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    hold: MemoryHold,
}

/// Progress of a request over all its attempts.
#[derive(Default)]
struct RequestProgress {
    /// Upstreams that were tried already.
    excluded: Vec<UpstreamKey>,
    /// Attempts with a connection to an upstream; counted before the send, and also
    /// if nothing could be written.
    sends: u32,
    /// Sends that ran or may have run.
    runs: u32,
    /// Attempts that ended before anything was sent, or at an upstream that no
    /// longer has its address.
    unsent: u32,
    /// Sends that an upstream refused without running them.
    refused: u32,
    /// True once any send may have run.
    may_have_run: bool,
    /// Sends whose connection ended without a whole answer.
    losses: u32,
    /// Time at which it was admitted to see whether a quarantine can end.
    trial_at: Option<Duration>,
    /// Time that it waited for the allowances of upstreams.
    held: Duration,
    /// True if the next send is the first one, or was already taken from the budget.
    is_prepaid: bool,
    /// Why the next send is made.
    reason: SendReason,
    /// Model to request, if the route leaves the choice to the gateway.
    model: Option<CompactString>,
    /// Version to stay on, once a part of the answer was delivered.
    version: Option<CompactString>,
    /// Last failure of an upstream.
    failure: Option<Failure>,
    /// Low-confidence answer to deliver if no better one comes.
    fallback: Option<Fallback>,
    /// Place for the next attempt.
    place: Option<Place>,
    /// `Retry-After` of a request that got no place in time.
    retry_after: Option<Duration>,
}

impl RequestProgress {
    // Records how an attempt ended.
    fn record_attempt(&mut self, attempt: &AttemptOutcome) {
        match attempt {
            AttemptOutcome::NotSent => {
                self.unsent += 1;
                self.is_prepaid = true;
            }
            AttemptOutcome::Displaced => {
                self.unsent += 1;
                self.reason = SendReason::Displaced;
            }
            AttemptOutcome::Refused(_) => {
                self.refused += 1;
                self.reason = SendReason::Refused;
            }
            AttemptOutcome::Answered(_) => self.record_run(SendReason::Failed),
            AttemptOutcome::TimedOut => self.record_run(SendReason::TimedOut),
            AttemptOutcome::Lost => {
                self.losses += 1;
                self.record_run(SendReason::Lost);
            }
        }
    }

    // Records a send that ran or may have run, and why another one would be made.
    fn record_run(&mut self, reason: SendReason) {
        self.runs += 1;
        self.may_have_run = true;
        self.reason = reason;
    }
}

/// A low-confidence answer, kept until a better model's answer begins.
struct Fallback {
    pending: Box<PendingAnswer>,
    /// Model that gave it.
    model: Option<CompactString>,
}

/// How the delivery of an answer to the client ended.
enum Delivery {
    /// The whole answer was written.
    Complete,
    /// The answer can't be finished; the connection must be closed.
    Interrupted,
}

impl Exchange<'_> {
    /// Serves the request; returns false if the client's connection must be closed.
    pub(super) async fn run(mut self, responder: &mut Responder<'_>) -> bool {
        let catalog = Arc::clone(&self.admitted.catalog);
        let route = catalog.route(self.admitted.route);
        let mut progress = RequestProgress {
            model: self.initial_model(route),
            is_prepaid: true,
            ..RequestProgress::default()
        };
        let deadline = self.deadline(route);
        let traffic = Rc::clone(self.traffic);
        let attempts = self.run_attempts(route, &mut progress, responder);
        let delivery = tokio::select! {
            biased;
            delivery = timeout_at(deadline, attempts) => delivery.ok(),
            () = traffic.phases.answer_due() => None,
        };
        self.end_trial(&progress, delivery.is_some());
        match delivery {
            Some(Delivery::Complete) => true,
            Some(Delivery::Interrupted) => false,
            None => self.finish_timed_out(&progress, responder).await,
        }
    }

    // Time by which the answer must be delivered: the client's deadline, but at most
    // the route's timeout after the request was received, and before the relay stops.
    fn deadline(&self, route: &Route) -> Instant {
        let own = self.received + self.request.time_limit(route.timeout);
        let drain = self.traffic.phases.get().drain();
        drain.map_or(own, |drain| own.min(drain.answer_by))
    }

    // True unless the relay is stopping before an attempt that begins now would end.
    fn has_time(&self, route: &Route) -> bool {
        let limit = self.request.time_limit(route.timeout);
        let left = limit.saturating_sub(self.received.elapsed());
        self.traffic.has_time_for(route, left)
    }

    // Chooses the model to request first; `None` if the route names no models.
    fn initial_model(&self, route: &Route) -> Option<CompactString> {
        let largest = route.models.last()?;
        let service = self.service_name(&self.admitted.catalog);
        let input = cascade::FirstModelInput {
            headroom: self.traffic.retry_headroom(service, RetryCause::Cascade),
            timing: self.estimate(route, largest, &[]).timing,
            random: self.traffic.random(),
        };
        cascade::choose_first_model(&route.models, input).cloned()
    }

    fn service_name<'c>(&self, catalog: &'c Catalog) -> &'c str {
        &catalog.service(self.admitted.service).name
    }

    // Sends the request to one upstream after another until an answer is delivered
    // or the request is given up.
    async fn run_attempts(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        responder: &mut Responder<'_>,
    ) -> Delivery {
        let deadline = self.deadline(route);
        let catalog = Arc::clone(&self.admitted.catalog);
        let service = self.service_name(&catalog);
        loop {
            if let Verdict::Quarantined(wait) = self.verdict(progress, false).await {
                return self.hold_back(wait, route, progress, responder).await;
            }
            if deadline.saturating_duration_since(Instant::now()) < MIN_TIME_LEFT
                || self.must_deliver_fallback(route, progress)
                || !self.has_time(route)
            {
                return self.give_up(route, progress, responder).await;
            }
            match self.take_place(route, progress, service).await {
                Turn::Ready => {}
                Turn::Waited => continue,
                Turn::Refused => return self.give_up(route, progress, responder).await,
            }
            let view = self.traffic.view();
            let chosen =
                self.choose_with_expectation(&view, route, progress, &progress.excluded, service);
            let Some(expected) = chosen else {
                if self.wait_for_room(&view, route, progress).await {
                    continue;
                }
                return self.give_up(route, progress, responder).await;
            };
            let key = expected.key;
            self.log.record_expectation(&expected);
            if !self.pay_for_send(progress, service) {
                return self.give_up(route, progress, responder).await;
            }
            let attempt = self.make_attempt(&view, route, progress, key, None).await;
            progress.record_attempt(&attempt);
            self.record_first_ratio(expected.expected_first_ms, &attempt);
            match attempt {
                AttemptOutcome::Answered(pending) => {
                    let delivered = self
                        .handle_answer(route, progress, *pending, responder)
                        .await;
                    if let Some(delivery) = delivered {
                        return delivery;
                    }
                }
                AttemptOutcome::Refused(status) => self.log.record_upstream_status(status),
                AttemptOutcome::NotSent
                | AttemptOutcome::Displaced
                | AttemptOutcome::Lost
                | AttemptOutcome::TimedOut => {}
            }
            progress.excluded.push(key);
            if !Self::may_retry(route, progress) {
                return self.give_up(route, progress, responder).await;
            }
        }
    }

    // Takes the next send from the service's retry budget, unless it is paid for;
    // returns false if the budget is spent.
    fn pay_for_send(&mut self, progress: &mut RequestProgress, service: &str) -> bool {
        let is_prepaid = std::mem::take(&mut progress.is_prepaid);
        let is_paid = is_prepaid || self.traffic.take_retry(service, RetryCause::Failure);
        if !is_paid {
            self.log.set_note("retry budget spent");
        }
        is_paid
    }

    // Time left for attempts: that to deliver a fallback answer is reserved.
    fn time_left(&self, route: &Route, progress: &RequestProgress) -> Duration {
        let left = self
            .deadline(route)
            .saturating_duration_since(Instant::now());
        if progress.fallback.is_some() {
            left.saturating_sub(DELIVERY_RESERVE)
        } else {
            left
        }
    }

    // True if there is a fallback answer and no time left to wait for a better one.
    fn must_deliver_fallback(&self, route: &Route, progress: &RequestProgress) -> bool {
        progress.fallback.is_some() && self.time_left(route, progress).is_zero()
    }

    // True if the upstreams of the request's service are model engines.
    fn has_engines(&self) -> bool {
        let catalog = &self.admitted.catalog;
        catalog.service(self.admitted.service).has_engines
    }

    // Model that the gateway chose, or else the one that the client requested; empty
    // if neither is known.
    fn model_name<'c>(&'c self, progress: &'c RequestProgress) -> &'c str {
        let model = progress.model.as_ref().or(self.request.model.as_ref());
        model.map_or("", |model| model.as_str())
    }

    // Records when an attempt's answer began, against the expectation.
    fn record_first_ratio(&self, expected_first_ms: f64, attempt: &AttemptOutcome) {
        if let AttemptOutcome::Answered(pending) = attempt
            && self.has_engines()
        {
            let seen_ms = pending.head_delay.as_secs_f64() * 1_000.0;
            self.traffic
                .metrics
                .record_first_ratio(expected_first_ms, seen_ms);
        }
    }

    // True if the request may be sent again: it has not run or may run more than
    // once, and no limit on its attempts is reached.
    fn may_retry(route: &Route, progress: &RequestProgress) -> bool {
        let is_retryable = !progress.may_have_run || route.kind.is_retryable();
        is_retryable
            && progress.runs < route.max_attempts
            && progress.unsent < MAX_UNSENT_ATTEMPTS
            && progress.refused < MAX_REFUSED_SENDS
    }

    // Ends a request without a further attempt: delivers the fallback answer or
    // the last failure of an upstream, or else refuses the request.
    async fn give_up(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        responder: &mut Responder<'_>,
    ) -> Delivery {
        if let Some(fallback) = progress.fallback.take() {
            self.log
                .set_note("no better answer; low-confidence answer delivered");
            progress.model = fallback.model;
            let pending = *fallback.pending;
            let delivery = if route.kind.is_stream() {
                Some(Box::pin(self.deliver_stream(route, progress, pending, responder)).await)
            } else {
                self.deliver_whole(route, progress, pending, responder)
                    .await
            };
            if let Some(delivery) = delivery {
                return delivery;
            }
        }
        if let Some(failure) = &progress.failure {
            self.log
                .set_outcome(RequestOutcome::Answered, failure.status);
            let headers = failure.headers.clone();
            let hold = Some(&failure.hold);
            let written = responder
                .write_whole(failure.status, headers, &failure.body, hold)
                .await;
            return self.end_delivery(&written);
        }
        let is_expired = Instant::now() + MIN_TIME_LEFT >= self.deadline(route);
        let refusal = if progress.may_have_run && is_expired {
            Refusal::TimedOut
        } else if progress.may_have_run {
            Refusal::UpstreamFailed
        } else if !self.has_time(route) {
            Refusal::Stopping(self.traffic.stop_retry_after())
        } else {
            let wait = progress.retry_after;
            Refusal::NoCapacity(wait.unwrap_or_else(|| self.capacity_retry_after()))
        };
        self.refuse(refusal, responder).await
    }

    // Time after which a request that found no capacity may find some. It is spread,
    // so that clients do not return together.
    fn capacity_retry_after(&self) -> Duration {
        let service = self.service_name(&self.admitted.catalog);
        let wait = self.traffic.time_to_send(service).unwrap_or_default();
        let wait = wait.clamp(MIN_NO_CAPACITY_RETRY_AFTER, MAX_LIMIT_RETRY_AFTER);
        let rest = self.traffic.time_to_end_of_rest(service);
        rest.unwrap_or_default() + wait.mul_f64(1.0 + 2.0 * self.traffic.random())
    }

    // Ends a request whose deadline has passed; returns false if the client's
    // connection must be closed.
    async fn finish_timed_out(
        &mut self,
        progress: &RequestProgress,
        responder: &mut Responder<'_>,
    ) -> bool {
        let drain = self.traffic.phases.get().drain();
        if drain.is_some_and(|drain| drain.time_left().is_zero()) {
            self.log.set_note("last moment of the drain");
        }
        if responder.has_started() {
            self.log
                .set_outcome(RequestOutcome::Interrupted, StatusCode::GATEWAY_TIMEOUT);
            return false;
        }
        let is_stopping = drain.is_some();
        let refusal = if progress.sends > 0 {
            Refusal::TimedOut
        } else if is_stopping {
            Refusal::Stopping(self.traffic.stop_retry_after())
        } else {
            Refusal::NoCapacity(MIN_NO_CAPACITY_RETRY_AFTER)
        };
        matches!(self.refuse(refusal, responder).await, Delivery::Complete)
    }

    // Answers the request with the gateway's own refusal.
    async fn refuse(&mut self, refusal: Refusal, responder: &mut Responder<'_>) -> Delivery {
        self.log
            .set_outcome(RequestOutcome::Refused, refusal.status());
        let headers = platform::refusal_headers(&self.request.id, refusal.retry_after());
        let body = Bytes::from_static(refusal.text().as_bytes()).into();
        let written = responder.write_own(refusal.status(), headers, &body).await;
        self.end_delivery(&written)
    }

    // Ends a request whose answer was written, or could not be.
    fn end_delivery(&mut self, written: &Result<(), WriteError>) -> Delivery {
        match written {
            Ok(()) => Delivery::Complete,
            Err(WriteError::Displaced) => {
                self.traffic.metrics.displaced_answers.inc();
                self.log
                    .set_note("cut: the client reads slowly and memory is short");
                Delivery::Interrupted
            }
            Err(WriteError::Io { .. } | WriteError::TooSlow) => Delivery::Interrupted,
        }
    }
}
