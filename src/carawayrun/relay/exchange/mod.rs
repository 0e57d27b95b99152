//! The path of one request: attempts, and the answer.

mod answer;
mod attempt;
mod silence;
mod stream;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, timeout_at};

use super::admission::{Admitted, Refusal};
use super::boot_clock;
use super::budget::Cause;
use super::cascade::{self, Prospect, Timing};
use super::catalog::{Catalog, Route, RouteKind};
use super::fleet::Need;
use super::message::{Answer, Ask, Prefix};
use super::report::{Report, Verdict};
use super::responder::Responder;
use super::sessions;
use super::traffic::{Flight, Traffic};
use super::view::{Upstream, UpstreamKey, View};
use super::wire::Wire;
use crate::platform;

/// Attempts to reach an upstream that ended before anything was sent.
const MAX_UNSENT: u32 = 6;

/// Sends of one request that upstreams refused without running it.
const MAX_REFUSED: u32 = 4;

/// Least time left with which a request is sent at all.
const LEAST_LEFT: Duration = Duration::from_millis(10);

/// Time kept for an answer in hand to be delivered when the better one that it
/// waits for does not come: it is mostly written by then.
const HELD_RESERVE: Duration = Duration::from_millis(300);

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
    /// Another upstream has the address now, and did not run it.
    Displaced,
    /// It may have run; no answer came.
    Lost,
    /// Nothing came in time.
    Silent,
}

/// An answer whose head was read and whose body has not.
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

impl Answered {
    /// True for a success that is the upstream's own, as it was asked for.
    fn is_genuine(&self) -> bool {
        self.head.status.is_success() && self.answer.is_sealed && !self.answer.is_encoded
    }
}

/// An upstream's own failure, kept until it is clear that nothing better comes.
struct Failure {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How far a request has come over all its attempts.
#[derive(Default)]
struct Course {
    /// Upstreams that were tried.
    excluded: Vec<UpstreamKey>,
    /// Attempts that reached an upstream.
    sends: u32,
    /// Those that ran or may have run.
    runs: u32,
    /// Attempts that ended before anything was sent.
    unsent: u32,
    /// Attempts that an upstream refused without running them.
    refused: u32,
    may_have_run: bool,
    /// True where the next send was taken from the budget already.
    is_paid: bool,
    /// Model to name, where the route leaves the choice to the gateway.
    model: Option<CompactString>,
    /// Version to keep, once a part of the answer was delivered.
    version: Option<CompactString>,
    failure: Option<Failure>,
    held: Option<Held>,
}

/// A doubtful answer, kept until a better model's begins.
struct Held {
    answered: Box<Answered>,
    /// The model that made it.
    model: Option<CompactString>,
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
            model: self.first_model(route),
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

    fn first_model(&self, route: &Route) -> Option<CompactString> {
        let largest = route.models.last()?;
        let service = self.service(&self.admitted.catalog);
        let outlook = cascade::Outlook {
            headroom: self.traffic.headroom(service, Cause::Cascade),
            timing: self.prospect(route, largest, &[]).timing,
            random: self.traffic.random(),
        };
        cascade::first(&route.models, outlook).cloned()
    }

    /// What is expected of a model's answer, if it were asked for now at an
    /// upstream that is not `excluded`.
    fn prospect(&self, route: &Route, model: &str, excluded: &[UpstreamKey]) -> Prospect {
        let catalog = &self.admitted.catalog;
        let service = self.service(catalog);
        let view = self.traffic.view();
        let course = Course {
            model: Some(model.into()),
            ..Course::default()
        };
        let Some((_, wait_ms)) = self.choose(&view, route, &course, excluded, service) else {
            return Prospect {
                timing: Timing::Hopeless,
                wait: 0.0,
            };
        };
        let tokens = f64::from(self.ask.prompt_tokens);
        let wait = Duration::from_secs_f64(wait_ms / 1_000.0);
        let reading_ms = self.traffic.reading_ms(service, model, tokens);
        let reading = Duration::from_secs_f64(reading_ms / 1_000.0);
        let first = self.received.elapsed() + wait + reading;
        let limit = self
            .deadline(route)
            .saturating_duration_since(self.received);
        let shortest = catalog.shortest_objective(self.admitted.service);
        Prospect {
            timing: Timing::of(first, route.objective, limit),
            wait: shortest.map_or(0.0, |shortest| wait.div_duration_f64(shortest)),
        }
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
            if limit.saturating_duration_since(Instant::now()) < LEAST_LEFT
                || self.must_deliver(route, course)
            {
                return self.give_up(route, course, responder).await;
            }
            let view = self.traffic.view();
            let chosen = self.choose(&view, route, course, &course.excluded, service);
            let Some((key, wait_ms)) = chosen else {
                return self.give_up(route, course, responder).await;
            };
            self.report.expected(wait_ms);
            let is_paid = course.sends == 0 || std::mem::take(&mut course.is_paid);
            if !is_paid && !self.traffic.may_repeat(service, Cause::Failure) {
                self.report.note("repeat budget spent");
                return self.give_up(route, course, responder).await;
            }
            match self.attempt(&view, route, course, key, None).await {
                Attempt::Answered(answered) => {
                    let done = self.answered(route, course, *answered, responder).await;
                    if let Some(ended) = done {
                        return ended;
                    }
                }
                Attempt::NotSent => {
                    course.unsent += 1;
                    course.is_paid = true;
                }
                Attempt::Displaced => course.unsent += 1,
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
                return self.give_up(route, course, responder).await;
            }
        }
    }

    // True where a doubtful answer is in hand and there is no more time to wait
    // for a better one.
    fn must_deliver(&self, route: &Route, course: &Course) -> bool {
        let until = self.deadline(route).checked_sub(HELD_RESERVE);
        course.held.is_some() && until.is_none_or(|until| Instant::now() >= until)
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
        excluded: &[UpstreamKey],
        service: &str,
    ) -> Option<UpstreamKey> {
        let chosen = self.choose(view, route, course, excluded, service);
        chosen.map(|(key, _)| key)
    }

    // Also tells the time until the request would begin to be read there, in
    // milliseconds.
    fn choose(
        &self,
        view: &View,
        route: &Route,
        course: &Course,
        excluded: &[UpstreamKey],
        service: &str,
    ) -> Option<(UpstreamKey, f64)> {
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
            gap: self.traffic.settings().session_gap,
        };
        let need = Need {
            service,
            claim,
            version: course.version.as_deref(),
            part,
            shared_ms,
            excluded,
            may_be_paused: route.kind != RouteKind::Once || course.sends == 0,
        };
        let now = self.traffic.now();
        let settings = self.traffic.settings();
        let near = settings.data_centre.as_str();
        self.traffic.fleet(view, |fleet, rng| {
            fleet.pick(&need, &view.rollouts, near, now, rng)
        })
    }

    // Answers a request that no upstream answered with success, or that waited
    // for a better answer in vain.
    async fn give_up(
        &mut self,
        route: &Route,
        course: &mut Course,
        responder: &mut Responder<'_>,
    ) -> Ended {
        if let Some(held) = course.held.take() {
            self.report
                .note("no better answer; the doubtful one is delivered");
            course.model = held.model;
            let answered = *held.answered;
            let ended = if route.kind.is_stream() {
                Some(Box::pin(self.stream(route, course, answered, responder)).await)
            } else {
                self.plain(route, course, answered, responder).await
            };
            if let Some(ended) = ended {
                return ended;
            }
        }
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
        let is_over = Instant::now() + LEAST_LEFT >= self.deadline(route);
        let refusal = if course.may_have_run && is_over {
            Refusal::TimedOut
        } else if course.may_have_run {
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
