//! The path of one request: admission, attempts, answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, timeout, timeout_at};

use super::admission::{Admitted, Refusal};
use super::boot_clock;
use super::budget::Cause;
use super::cascade;
use super::catalog::{Catalog, Route, RouteKind};
use super::events::EventBuffer;
use super::fleet::Need;
use super::message::{Answer, Ask, Claim, EngineReport, Prefix};
use super::report::{Report, Verdict};
use super::responder::Responder;
use super::sessions;
use super::traffic::{Flight, Outcome, Traffic};
use super::view::{Upstream, UpstreamKey, View};
use super::wire::{Wire, WireError};
use crate::platform::{self, Outbound};

/// Time to open a connection to an upstream: some round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Attempts to reach an upstream that ended before anything was sent.
const MAX_UNSENT: u32 = 6;

/// Sends of one request that upstreams refused without running it.
const MAX_REFUSED: u32 = 4;

/// Pause before work goes again to an upstream that had no room.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Silence of a stream after which it goes on elsewhere; clients leave one
/// after some seconds.
const EVENT_GAP: Duration = Duration::from_millis(2_500);

/// Least time for the first event of a stream before another upstream is tried.
const FIRST_EVENT_FLOOR: Duration = Duration::from_millis(2_500);

/// Time for a plain idempotent answer, in latency objectives, before another
/// upstream is tried.
const REPEAT_AFTER_OBJECTIVES: u32 = 3;

/// Times that an engine is asked whether it has a request in its queue.
const MAX_ASKED: u32 = 3;

/// Time for an engine to tell its load: it needs no slot for that.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Least time left with which a request is sent at all.
const LEAST_LEFT: Duration = Duration::from_millis(10);

/// Longest body of a plain answer that is kept until it is whole.
const MAX_BUFFERED: usize = 8 * 1024 * 1024;

/// Shortest time after which a refused client is told to come back.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(250);

/// One request, from the moment it was read.
pub(super) struct Exchange<'a> {
    pub(super) traffic: &'a Rc<Traffic>,
    pub(super) head: &'a RequestHead,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) ask: Ask,
    pub(super) admitted: Admitted,
    pub(super) received: Instant,
    pub(super) report: &'a mut Report,
}

/// What an attempt came to.
enum Attempt {
    /// An answer with success or with a failure of the upstream's own.
    Answered(Box<Answered>),
    /// Nothing was sent.
    NotSent,
    /// The upstream did not run it.
    Refused(StatusCode),
    /// It may have run; no answer came.
    Lost,
    /// Nothing came in time.
    Silent,
}

struct Answered {
    key: UpstreamKey,
    upstream: Upstream,
    wire: Wire,
    head: ResponseHead,
    answer: Answer,
    /// Counts the attempt until the answer has ended.
    _flight: Flight,
    /// Time from the send to the head of the answer.
    first: Duration,
}

/// An upstream's own failure, kept until it is clear that nothing better comes.
struct Failure {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

#[derive(Default)]
struct Course {
    excluded: Vec<UpstreamKey>,
    sends: u32,
    runs: u32,
    unsent: u32,
    refused: u32,
    may_have_run: bool,
    /// True where the next send was taken from the budget already.
    is_paid: bool,
    model: Option<CompactString>,
    version: Option<CompactString>,
    failure: Option<Failure>,
}

enum Ended {
    /// An answer was written, whole.
    Whole,
    /// The answer can't be finished: the connection must be closed.
    Cut,
}

impl Exchange<'_> {
    /// Serves the request; false where the client's connection must be closed.
    pub(super) async fn run(mut self, responder: &mut Responder<'_>) -> bool {
        let catalog = Arc::clone(&self.admitted.catalog);
        let route = catalog.route(self.admitted.route);
        let mut course = Course {
            model: cascade::first(&route.models).cloned(),
            ..Course::default()
        };
        let limit = self.deadline(route);
        let ended = timeout_at(limit, self.attempts(route, &mut course, responder)).await;
        match ended {
            Ok(Ended::Whole) => true,
            Ok(Ended::Cut) => false,
            Err(_) => self.timed_out(&course, responder).await,
        }
    }

    fn deadline(&self, route: &Route) -> Instant {
        let wait = self.ask.deadline.unwrap_or(route.timeout);
        self.received + wait.min(route.timeout)
    }

    fn service<'c>(&self, catalog: &'c Catalog) -> &'c str {
        &catalog.service(self.admitted.service).name
    }

    async fn attempts(
        &mut self,
        route: &Route,
        course: &mut Course,
        responder: &mut Responder<'_>,
    ) -> Ended {
        let limit = self.deadline(route);
        let catalog = Arc::clone(&self.admitted.catalog);
        let service = self.service(&catalog);
        loop {
            if limit.saturating_duration_since(Instant::now()) < LEAST_LEFT {
                return self.give_up(course, responder).await;
            }
            let view = self.traffic.view();
            let Some(key) = self.pick(&view, route, course, service) else {
                return self.give_up(course, responder).await;
            };
            let is_paid = course.sends == 0 || std::mem::take(&mut course.is_paid);
            if !is_paid && !self.traffic.may_repeat(service, Cause::Failure) {
                self.report.note("repeat budget spent");
                return self.give_up(course, responder).await;
            }
            match self.attempt(&view, route, course, key, None).await {
                Attempt::Answered(answered) => {
                    let done = self.answered(route, course, *answered, responder).await;
                    if let Some(ended) = done {
                        return ended;
                    }
                }
                Attempt::NotSent => course.unsent += 1,
                Attempt::Refused(status) => {
                    course.refused += 1;
                    self.report.upstream_status(status);
                }
                Attempt::Lost | Attempt::Silent => {
                    course.runs += 1;
                    course.may_have_run = true;
                }
            }
            course.excluded.push(key);
            if !Self::may_go_on(route, course) {
                return self.give_up(course, responder).await;
            }
        }
    }

    fn model<'c>(&'c self, course: &'c Course) -> &'c str {
        let model = course.model.as_ref().or(self.ask.model.as_ref());
        model.map_or("", |model| model.as_str())
    }

    // Parts of the prompt that other requests may have in common with it.
    fn shared_parts(&self) -> &[Prefix] {
        let parts = &self.ask.prefixes;
        &parts[..parts.len().saturating_sub(1)]
    }

    fn may_go_on(route: &Route, course: &Course) -> bool {
        let repeatable = !course.may_have_run || route.kind.is_repeatable();
        repeatable
            && course.runs < route.max_attempts
            && course.unsent < MAX_UNSENT
            && course.refused < MAX_REFUSED
    }

    fn pick(
        &self,
        view: &View,
        route: &Route,
        course: &Course,
        service: &str,
    ) -> Option<UpstreamKey> {
        let model = self.model(course);
        let shared_parts = self.shared_parts();
        let shared: u32 = shared_parts.iter().map(|part| part.tokens).sum();
        let shared_ms = self.traffic.reading_ms(service, model, f64::from(shared));
        let part = shared_parts.last();
        let part = part.map(|part| CompactString::from(format!("{} {model}", part.id)));
        let session = self.ask.session.as_deref();
        let pinned = session.and_then(|session| self.traffic.session_version(service, session));
        let claim = sessions::Claim {
            point: self.admitted.point,
            has_session: session.is_some(),
            pinned: pinned.as_deref(),
            is_kept: session.is_some_and(|session| self.traffic.is_session_kept(service, session)),
            now: boot_clock::now(),
            gap: self.traffic.settings.session_gap,
        };
        let need = Need {
            service,
            claim,
            version: course.version.as_deref(),
            part,
            shared_ms,
            excluded: &course.excluded,
            may_be_paused: route.kind != RouteKind::Once || course.sends == 0,
        };
        let now = self.traffic.now();
        let near = self.traffic.settings.data_centre.as_str();
        self.traffic.fleet(view, |fleet, rng| {
            fleet.pick(&need, &view.rollouts, near, now, rng)
        })
    }

    async fn attempt(
        &mut self,
        view: &View,
        route: &Route,
        course: &mut Course,
        key: UpstreamKey,
        resume_after: Option<&str>,
    ) -> Attempt {
        let Some(upstream) = self
            .traffic
            .fleet(view, |fleet, _| fleet.upstream(key).cloned())
        else {
            return Attempt::NotSent;
        };
        let Ok(wire) = self.connection(view, route, key, &upstream).await else {
            return Attempt::NotSent;
        };
        let catalog = Arc::clone(&self.admitted.catalog);
        if course.sends == 0 {
            self.traffic.first_send(self.service(&catalog));
        }
        course.sends += 1;
        self.report.sent(&upstream);
        if let Some(session) = &self.ask.session {
            let service = &upstream.service;
            self.traffic
                .session_used(service, session, &upstream.version, self.admitted.point);
        }
        let attempt = self
            .send(route, course, key, &upstream, wire, resume_after)
            .await;
        self.judge_attempt(view, key, &upstream, course, &attempt);
        attempt
    }

    async fn connection(
        &self,
        view: &View,
        route: &Route,
        key: UpstreamKey,
        upstream: &Upstream,
    ) -> Result<Wire, WireError> {
        let is_once = route.kind == RouteKind::Once;
        let kept = self
            .traffic
            .fleet(view, |fleet, _| fleet.connection(key, is_once));
        if let Some(wire) = kept {
            return Ok(wire);
        }
        let config = &self.traffic.config;
        let opened = Wire::connect(upstream.addr, CONNECT_TIMEOUT, config).await;
        self.traffic.metrics.connections.inc();
        if let Err(error) = &opened {
            let now = self.traffic.now();
            tracing::info!(upstream = %upstream.name, %error, "upstream not reached");
            self.traffic.fleet(view, |fleet, _| {
                if let Some(health) = fleet.health(key) {
                    health.unreachable(now);
                }
            });
        }
        opened
    }

    async fn send(
        &mut self,
        route: &Route,
        course: &Course,
        key: UpstreamKey,
        upstream: &Upstream,
        mut wire: Wire,
        resume_after: Option<&str>,
    ) -> Attempt {
        let limit = self.deadline(route);
        let catalog = Arc::clone(&self.admitted.catalog);
        let sent = Instant::now();
        let head = platform::outbound(
            self.head,
            &self.headers,
            &Outbound {
                upstream: &upstream.name,
                team: self
                    .admitted
                    .team
                    .map(|team| catalog.team(team).name.as_str()),
                left: limit.saturating_duration_since(sent),
                model: course.model.as_deref(),
                urgency: self.admitted.urgency,
                resume_after,
            },
        );
        if wire.start(head, &self.body).is_err() {
            return Attempt::NotSent;
        }
        let tokens = f64::from(self.ask.prompt_tokens);
        let model = self.model(course);
        let backlog = self.traffic.reading_ms(&upstream.service, model, tokens);
        let mut flight = Flight::start(self.traffic, key, backlog);
        let patience = self.patience(route, course);
        let mut asked = 0;
        let answered = loop {
            match timeout(patience, wire.head()).await {
                Ok(answered) => break Some(answered),
                Err(_) if asked < MAX_ASKED && self.still_has(upstream, route).await => asked += 1,
                Err(_) => break None,
            }
        };
        let head = match answered {
            Some(Ok(head)) => head,
            Some(Err(error)) => {
                let has_written = wire.has_written();
                tracing::info!(request = %self.ask.id, upstream = %upstream.name, %error, has_written, "no answer");
                return if has_written {
                    Attempt::Lost
                } else {
                    Attempt::NotSent
                };
            }
            None => {
                tracing::info!(request = %self.ask.id, upstream = %upstream.name, waited_ms = sent.elapsed().as_millis() as u64, asked, "upstream silent");
                return Attempt::Silent;
            }
        };
        flight.was_read();
        let answer = platform::answer(&head);
        if answer.claim == Claim::NotRun {
            return Attempt::Refused(head.status);
        }
        if answer.id.as_ref().is_some_and(|id| *id != self.ask.id) {
            tracing::warn!(request = %self.ask.id, upstream = %upstream.name, "answer to another request; connection dropped");
            return Attempt::Lost;
        }
        if let Some(limit) = answer.keeps_idle {
            wire.keep_for(limit);
        }
        Attempt::Answered(Box::new(Answered {
            key,
            upstream: upstream.clone(),
            wire,
            head,
            answer,
            _flight: flight,
            first: sent.elapsed(),
        }))
    }

    // Asks an engine that is silent whether it has the request in its queue. To
    // send it elsewhere then would only add to the load, at the end of another one.
    async fn still_has(&self, upstream: &Upstream, route: &Route) -> bool {
        if !route.kind.is_stream() {
            return false;
        }
        let config = &self.traffic.config;
        let report = timeout(REPORT_TIMEOUT, ask_report(upstream, config)).await;
        self.traffic.metrics.reports.inc();
        let has = matches!(&report, Ok(Ok(report)) if report.may_have(&self.ask.id));
        tracing::info!(request = %self.ask.id, upstream = %upstream.name, has, ?report, "silent upstream asked");
        has
    }

    // How long the head of an answer may take before another upstream is tried;
    // the whole time where it can't be tried again.
    fn patience(&self, route: &Route, course: &Course) -> Duration {
        let left = self
            .deadline(route)
            .saturating_duration_since(Instant::now());
        let is_last = course.runs + 1 >= route.max_attempts;
        let patience = match route.kind {
            RouteKind::Stream { resumable: true } if !is_last => {
                (route.objective * 2).max(FIRST_EVENT_FLOOR)
            }
            RouteKind::Idempotent if !is_last => route.objective * REPEAT_AFTER_OBJECTIVES,
            _ => left,
        };
        patience.min(left)
    }

    fn judge_attempt(
        &self,
        view: &View,
        key: UpstreamKey,
        upstream: &Upstream,
        course: &Course,
        attempt: &Attempt,
    ) {
        let now = self.traffic.now();
        self.traffic.fleet(view, |fleet, _| {
            let Some(health) = fleet.health(key) else {
                return;
            };
            match attempt {
                Attempt::Lost | Attempt::Silent => health.unreachable(now),
                Attempt::Refused(_) => health.full(now, FULL_PAUSE),
                Attempt::Answered(_) | Attempt::NotSent => {}
            }
        });
        if matches!(attempt, Attempt::Lost | Attempt::Silent) {
            self.note(upstream, course, true, None);
        }
    }

    fn note(&self, upstream: &Upstream, course: &Course, failed: bool, first: Option<Duration>) {
        self.traffic.note_outcome(&Outcome {
            service: &upstream.service,
            model: self.model(course),
            version: &upstream.version,
            failed,
            first,
            tokens: self.ask.prompt_tokens,
            unread: self.ask.prefixes.last().map_or(0, |part| part.tokens),
        });
    }

    // None where another attempt is to be made.
    async fn answered(
        &mut self,
        route: &Route,
        course: &mut Course,
        answered: Answered,
        responder: &mut Responder<'_>,
    ) -> Option<Ended> {
        course.runs += 1;
        course.may_have_run = true;
        self.report.upstream_status(answered.head.status);
        let is_success = answered.head.status.is_success();
        if is_success && (!answered.answer.is_sealed || answered.answer.is_encoded) {
            self.note(&answered.upstream, course, true, None);
            self.report.note("answer is not the upstream's own");
            return None;
        }
        if is_success && let Some(model) = self.better_model(route, course, &answered) {
            self.note(&answered.upstream, course, false, Some(answered.first));
            self.succeeded(&answered);
            self.traffic.metrics.cascades.inc();
            course.model = Some(model);
            course.is_paid = true;
            return None;
        }
        if is_success && route.kind.is_stream() {
            return Some(self.stream(route, course, answered, responder).await);
        }
        self.plain(route, course, answered, responder).await
    }

    fn better_model(
        &self,
        route: &Route,
        course: &Course,
        answered: &Answered,
    ) -> Option<CompactString> {
        let model = course.model.as_ref()?;
        let largest = route.models.last()?;
        let expected = self.traffic.expected_first(
            &answered.upstream.service,
            largest,
            self.ask.prompt_tokens,
        );
        let doubt = cascade::Doubt {
            confidence: answered.answer.confidence,
            is_timely: self.received.elapsed() + expected <= route.objective,
        };
        let next = cascade::next(&route.models, model, doubt)?;
        if course.runs >= route.max_attempts {
            return None;
        }
        let service = &answered.upstream.service;
        self.traffic
            .may_repeat(service, Cause::Cascade)
            .then(|| next.clone())
    }

    fn succeeded(&self, answered: &Answered) {
        let view = self.traffic.view();
        self.traffic.fleet(&view, |fleet, _| {
            if let Some(health) = fleet.health(answered.key) {
                health.answered(false);
            }
        });
    }

    fn failed(&self, key: UpstreamKey) {
        let view = self.traffic.view();
        self.traffic.fleet(&view, |fleet, _| {
            if let Some(health) = fleet.health(key) {
                health.answered(true);
            }
        });
    }

    async fn plain(
        &mut self,
        route: &Route,
        course: &mut Course,
        mut answered: Answered,
        responder: &mut Responder<'_>,
    ) -> Option<Ended> {
        let Ok(body) = read_whole(&mut answered.wire).await else {
            self.failed(answered.key);
            self.note(&answered.upstream, course, true, None);
            self.report.note("answer broke off");
            return None;
        };
        let Answered {
            key,
            upstream,
            wire,
            head,
            first,
            ..
        } = answered;
        let is_failure = head.status.is_server_error();
        self.note(&upstream, course, is_failure, Some(first));
        let view = self.traffic.view();
        self.traffic.fleet(&view, |fleet, _| {
            if let Some(health) = fleet.health(key) {
                health.answered(is_failure);
            }
            fleet.keep(key, wire);
        });
        let headers = platform::answer_headers(&head.headers);
        if is_failure && route.kind.is_repeatable() && course.runs < route.max_attempts {
            course.failure = Some(Failure {
                status: head.status,
                headers,
                body,
            });
            return None;
        }
        self.report.verdict(Verdict::Answered, head.status);
        let written = responder.whole(head.status, headers, &body).await;
        Some(if written.is_ok() {
            Ended::Whole
        } else {
            Ended::Cut
        })
    }

    async fn stream(
        &mut self,
        route: &Route,
        course: &mut Course,
        first: Answered,
        responder: &mut Responder<'_>,
    ) -> Ended {
        let status = first.head.status;
        let length = first.answer.body_length;
        let headers = platform::answer_headers(&first.head.headers);
        course.version = Some(first.upstream.version.clone());
        self.report.first(self.received.elapsed());
        let mut events = EventBuffer::default();
        let mut current = Box::new(first);
        loop {
            let end = self
                .pass_events(
                    &mut current,
                    &mut events,
                    responder,
                    status,
                    &headers,
                    length,
                )
                .await;
            match end {
                StreamEnd::Whole => {
                    self.note(&current.upstream, course, false, Some(current.first));
                    let written = if responder.has_started() {
                        responder.end().await
                    } else {
                        responder.whole(status, headers, &Bytes::new()).await
                    };
                    self.succeeded(&current);
                    let Answered { key, wire, .. } = *current;
                    let view = self.traffic.view();
                    self.traffic.fleet(&view, |fleet, _| fleet.keep(key, wire));
                    self.report.verdict(Verdict::Answered, status);
                    return if written.is_ok() {
                        Ended::Whole
                    } else {
                        Ended::Cut
                    };
                }
                StreamEnd::ClientGone => {
                    self.report.verdict(Verdict::ClientGone, status);
                    return Ended::Cut;
                }
                StreamEnd::Broken(reason) => {
                    self.report.note(reason);
                    self.failed(current.key);
                    self.note(&current.upstream, course, true, None);
                }
            }
            events.forget_partial();
            course.excluded.push(current.key);
            drop(current);
            match self.resume(route, course, &events, responder).await {
                Ok(next) => current = next,
                Err(ended) => return ended,
            }
        }
    }

    async fn pass_events(
        &mut self,
        current: &mut Answered,
        events: &mut EventBuffer,
        responder: &mut Responder<'_>,
        status: StatusCode,
        headers: &HeaderMap,
        length: Option<u64>,
    ) -> StreamEnd {
        loop {
            let piece = match timeout(EVENT_GAP, current.wire.chunk()).await {
                Err(_) => return StreamEnd::Broken("stream went silent"),
                Ok(Err(_)) => return StreamEnd::Broken("stream broke off"),
                Ok(Ok(None)) if events.is_within_event() => {
                    return StreamEnd::Broken("stream ended within an event");
                }
                Ok(Ok(None)) => return StreamEnd::Whole,
                Ok(Ok(Some(piece))) => piece,
            };
            let Some(whole) = events.push(&piece) else {
                continue;
            };
            let written = if responder.has_started() {
                responder.more(whole).await
            } else {
                responder
                    .begin(status, headers.clone(), length, &whole)
                    .await
            };
            if written.is_err() {
                return StreamEnd::ClientGone;
            }
        }
    }

    // Goes on after the last whole event at another upstream.
    async fn resume(
        &mut self,
        route: &Route,
        course: &mut Course,
        events: &EventBuffer,
        responder: &mut Responder<'_>,
    ) -> Result<Box<Answered>, Ended> {
        let asked = self.ask.resume_after.clone();
        let after = events.last_id().map(CompactString::from).or(asked);
        loop {
            let may_resume = route.kind == RouteKind::Stream { resumable: true };
            if !may_resume || !Self::may_go_on(route, course) {
                return Err(self.cut(course, responder).await);
            }
            let catalog = Arc::clone(&self.admitted.catalog);
            let service = self.service(&catalog);
            let view = self.traffic.view();
            let Some(key) = self.pick(&view, route, course, service) else {
                return Err(self.cut(course, responder).await);
            };
            if !self.traffic.may_repeat(service, Cause::Failure) {
                self.report.note("repeat budget spent");
                return Err(self.cut(course, responder).await);
            }
            course.excluded.push(key);
            let attempt = self
                .attempt(&view, route, course, key, after.as_deref())
                .await;
            match attempt {
                Attempt::Answered(next) if next.head.status.is_success() => {
                    course.runs += 1;
                    self.traffic.metrics.resumes.inc();
                    return Ok(next);
                }
                Attempt::Answered(next) => {
                    course.runs += 1;
                    self.failed(next.key);
                    self.note(&next.upstream, course, true, None);
                }
                Attempt::NotSent => course.unsent += 1,
                Attempt::Refused(_) => course.refused += 1,
                Attempt::Lost | Attempt::Silent => course.runs += 1,
            }
        }
    }

    // Ends a stream that can't go on: visibly, where a part was delivered.
    async fn cut(&mut self, course: &Course, responder: &mut Responder<'_>) -> Ended {
        if responder.has_started() {
            self.report.verdict(Verdict::Cut, StatusCode::BAD_GATEWAY);
            return Ended::Cut;
        }
        self.give_up(course, responder).await
    }

    // Answers a request that no upstream answered with success.
    async fn give_up(&mut self, course: &Course, responder: &mut Responder<'_>) -> Ended {
        if let Some(failure) = &course.failure {
            self.report.verdict(Verdict::Answered, failure.status);
            let headers = failure.headers.clone();
            let written = responder
                .whole(failure.status, headers, &failure.body)
                .await;
            return if written.is_ok() {
                Ended::Whole
            } else {
                Ended::Cut
            };
        }
        let refusal = if course.may_have_run {
            Refusal::Failed
        } else {
            let spread = 1.0 + 2.0 * self.traffic.random();
            Refusal::NoRoom(RETRY_AFTER_FLOOR.mul_f64(spread))
        };
        self.refuse(refusal, responder).await
    }

    async fn timed_out(&mut self, course: &Course, responder: &mut Responder<'_>) -> bool {
        if responder.has_started() {
            self.report
                .verdict(Verdict::Cut, StatusCode::GATEWAY_TIMEOUT);
            return false;
        }
        let refusal = if course.sends > 0 {
            Refusal::TimedOut
        } else {
            Refusal::NoRoom(RETRY_AFTER_FLOOR)
        };
        matches!(self.refuse(refusal, responder).await, Ended::Whole)
    }

    async fn refuse(&mut self, refusal: Refusal, responder: &mut Responder<'_>) -> Ended {
        self.report.verdict(Verdict::Refused, refusal.status());
        let headers = platform::refusal_headers(&self.ask.id, refusal.retry_after());
        let body = Bytes::from_static(refusal.text().as_bytes());
        let written = responder.whole(refusal.status(), headers, &body).await;
        if written.is_ok() {
            Ended::Whole
        } else {
            Ended::Cut
        }
    }
}

/// An upstream's report that was not to be had.
#[derive(Debug)]
#[derive(Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Wire { source: WireError },
    #[snafu(display("report not readable: {source}"))]
    Unreadable { source: serde_json::Error },
}

enum StreamEnd {
    Whole,
    ClientGone,
    Broken(&'static str),
}

async fn ask_report(
    upstream: &Upstream,
    config: &ServiceConfig,
) -> Result<EngineReport, ReportError> {
    let mut wire = Wire::connect(upstream.addr, CONNECT_TIMEOUT, config)
        .await
        .context(WireSnafu)?;
    let head = platform::report_request(upstream);
    wire.start(head, b"").context(WireSnafu)?;
    wire.head().await.context(WireSnafu)?;
    let body = read_whole(&mut wire).await.context(WireSnafu)?;
    platform::read_report(&body).context(UnreadableSnafu)
}

async fn read_whole(wire: &mut Wire) -> Result<Bytes, WireError> {
    let mut whole = BytesMut::new();
    while let Some(piece) = wire.chunk().await? {
        if whole.len() + piece.len() > MAX_BUFFERED {
            return Err(WireError::Closed);
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}
