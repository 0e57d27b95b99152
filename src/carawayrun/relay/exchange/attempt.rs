//! One attempt of a request at one upstream.

use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use tokio::time::Instant;

use super::head_timer::HeadTimer;
use super::{AttemptOutcome, Exchange, PendingAnswer, RequestProgress};
use crate::platform::{self, OutboundHeaders};
use crate::relay::budget::RetryCause;
use crate::relay::catalog::{Route, RouteKind};
use crate::relay::connection::{ConnectionError, UpstreamConnection};
use crate::relay::losses::Loss;
use crate::relay::message::Execution;
use crate::relay::tally::RouteDigest;
use crate::relay::traffic::{AttemptGuard, AttemptSample};
use crate::relay::view::{Upstream, UpstreamKey, View};

/// Time limit for connecting to an upstream: some round trips within a region.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Ejection of an upstream after an answer that says it did not run the request,
/// for whatever reason.
const REFUSAL_EJECTION: Duration = Duration::from_millis(150);

/// Shortest timeout for the head of a resumable stream's answer before another
/// upstream is tried.
const MIN_STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout for the head of an idempotent route's answer before another upstream
/// is tried, in latency objectives. The last attempt, and a route without an objective,
/// have all the time left.
const HEAD_TIMEOUT_OBJECTIVES: u32 = 3;

/// Maximum number of polls of a silent engine's load report per attempt.
const MAX_POLLS: u32 = 3;

impl Exchange<'_> {
    // Sends the request to one upstream once and waits for the head of its answer.
    pub(super) async fn make_attempt(
        &mut self,
        view: &View,
        route: &Route,
        progress: &mut RequestProgress,
        key: UpstreamKey,
        resume_after: Option<&str>,
    ) -> AttemptOutcome {
        let Some(upstream) = self
            .traffic
            .fleet(view, |fleet, _| fleet.upstream(key).cloned())
        else {
            return AttemptOutcome::NotSent;
        };
        let Some(taken) = self.traffic.take_send(key) else {
            return AttemptOutcome::NotSent;
        };
        let Ok(connection) = self.acquire_connection(view, route, key, &upstream).await else {
            return AttemptOutcome::NotSent;
        };
        // It may have asked for rest, its data centre may have been evacuated, or its allowance
        // may have been spent, while this request waited for a connection.
        if !self.traffic.renew_send(key, taken) {
            return AttemptOutcome::NotSent;
        }
        let catalog = Arc::clone(&self.admitted.catalog);
        let service = self.service_name(&catalog);
        if progress.sends == 0 {
            self.traffic.record_first_send(service);
        }
        self.traffic.metrics.record_send(service, progress.reason);
        progress.sends += 1;
        self.log.record_send(&upstream);
        if let Some(session) = &self.request.session {
            let service = &upstream.service;
            self.traffic.pin_session(
                service,
                session,
                &upstream.version,
                self.admitted.hash_point,
            );
        }
        let sent = Instant::now();
        let attempt = self
            .send(route, progress, key, &upstream, connection, resume_after)
            .await;
        self.record_health(route, key, &upstream, &attempt);
        if matches!(attempt, AttemptOutcome::Lost) {
            self.record_crash(key, &upstream, sent, false);
        }
        attempt
    }

    // Takes an idle connection to the upstream or opens a new one.
    async fn acquire_connection(
        &self,
        view: &View,
        route: &Route,
        key: UpstreamKey,
        upstream: &Upstream,
    ) -> Result<UpstreamConnection, ConnectionError> {
        let is_once = route.kind == RouteKind::Once;
        // The answer to a request without an ID can't be told from a repeated one.
        let idle = (!self.request.id.is_empty()).then(|| {
            self.traffic
                .fleet(view, |fleet, _| fleet.take_idle(key, is_once))
        });
        if let Some(connection) = idle.flatten() {
            return Ok(connection);
        }
        let opened = self.traffic.connect(upstream.addr, CONNECT_TIMEOUT).await;
        // Failed connects count too.
        self.traffic.metrics.connections.inc();
        if let Err(error) = &opened {
            tracing::info!(upstream = %upstream.name, %error, "connection to upstream failed");
            self.traffic.record_unreachable(key, upstream);
        }
        opened
    }

    // Sends the request on `connection` and waits for the head of its answer.
    async fn send(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        key: UpstreamKey,
        upstream: &Upstream,
        mut connection: UpstreamConnection,
        resume_after: Option<&str>,
    ) -> AttemptOutcome {
        let deadline = self.deadline(route);
        let catalog = Arc::clone(&self.admitted.catalog);
        let sent = Instant::now();
        let head = platform::upstream_request(
            self.head,
            &self.headers,
            &OutboundHeaders {
                upstream: &upstream.name,
                team: self
                    .admitted
                    .team
                    .map(|team| catalog.team(team).name.as_str()),
                time_left: deadline.saturating_duration_since(sent),
                model: progress.model.as_deref(),
                urgency: self.has_engines().then_some(self.admitted.urgency),
                resume_after,
            },
        );
        if connection.start_request(head, &self.body).is_err() {
            return AttemptOutcome::NotSent;
        }
        let tokens = f64::from(self.request.prompt_tokens);
        let place = progress.place.take();
        let model = self.model_name(progress);
        let backlog = self.traffic.prefill_ms(&upstream.service, model, tokens);
        self.record_prompt(key, &upstream.service, model);
        let mut guard = AttemptGuard::start(self.traffic, key, backlog, self.kv_tokens(), place);
        let mut timer = self.start_timer(route, progress, upstream);
        let mut asked = 0;
        let result = loop {
            let limit = self.head_timeout(route, progress);
            match timer.read_head(&mut connection, limit).await {
                Ok(result) => break Some(result),
                Err(_) if self.must_deliver_fallback(route, progress) => break None,
                Err(_) if !self.has_alternative(route, progress, key, upstream) => {}
                Err(_) if asked < MAX_POLLS && self.is_queued(key, upstream, route).await => {
                    asked += 1;
                }
                Err(_) => break None,
            }
        };
        let head = match result {
            Some(Ok(head)) => head,
            Some(Err(error)) => {
                self.count_stopped(&error);
                let has_written = connection.has_written();
                let fingerprint = self.fingerprint();
                tracing::info!(request = %self.request.id, upstream = %upstream.name, %error, has_written, %fingerprint, "connection failed before an answer");
                return if has_written {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::NotSent
                };
            }
            None => {
                tracing::info!(request = %self.request.id, upstream = %upstream.name, waited_ms = sent.elapsed().as_millis() as u64, asked, "no answer from upstream in time");
                return AttemptOutcome::TimedOut;
            }
        };
        let answer = platform::parse_answer(&head);
        if !answer.belongs_to(&self.request.id, connection.is_first_request()) {
            tracing::warn!(request = %self.request.id, upstream = %upstream.name, status = head.status.as_u16(), answered = ?answer.id, "upstream answered another request; connection dropped");
            self.traffic.metrics.foreign_answers.inc();
            return AttemptOutcome::Lost;
        }
        guard.finish_prefill();
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            tracing::info!(request = %self.request.id, upstream = %upstream.name, "another upstream has this address now");
            if let Some(name) = answer.instance.filter(|_| answer.is_leaving) {
                self.traffic.record_departure_of(&name, upstream.addr);
            }
            return AttemptOutcome::Displaced;
        }
        self.traffic.record_limit(key, upstream, answer.rate_limit);
        self.traffic.record_word(key, upstream, &answer);
        if answer.execution == Execution::NotRun {
            return AttemptOutcome::Refused(head.status);
        }
        if head.status.is_server_error() {
            timer.record_failure();
        } else {
            timer.record_answer();
        }
        if let Some(limit) = answer.idle_limit {
            connection.set_idle_limit(limit);
        }
        AttemptOutcome::Answered(Box::new(PendingAnswer {
            key,
            upstream: upstream.clone(),
            connection,
            head,
            answer,
            _guard: guard,
            head_delay: sent.elapsed(),
            sent,
        }))
    }

    // Times an attempt that is sent now. Times of engines depend on the prompt, so that
    // they are not compared by route.
    fn start_timer<'a>(
        &'a self,
        route: &Route,
        progress: &RequestProgress,
        upstream: &'a Upstream,
    ) -> HeadTimer<'a> {
        let model = self.model_name(progress);
        let prompt_tokens = self.request.prompt_tokens;
        let mut timer = HeadTimer::start(self.traffic, upstream, model, prompt_tokens);
        if !self.has_engines() {
            timer.count_time_of(RouteDigest::of(&route.name));
        }
        timer
    }

    // Records what is sent to an engine, which may keep it.
    fn record_prompt(&self, key: UpstreamKey, service: &str, model: &str) {
        let catalog = &self.admitted.catalog;
        if let Some(capacity) = catalog.service(self.admitted.service).kv_capacity {
            let parts = self.prompt_parts(service, model);
            let tokens = self.kv_tokens();
            self.traffic.record_prompt(key, &parts, tokens, capacity);
        }
    }

    // Counts an answer that was stopped for bytes without progress, or that was reset at its
    // end.
    pub(super) fn count_stopped(&self, error: &ConnectionError) {
        match error {
            ConnectionError::NoProgress { part } => {
                self.traffic.metrics.record_stopped_answer(*part);
            }
            ConnectionError::Reset { .. } => {
                self.traffic.metrics.reset_answers.inc();
            }
            _ => {}
        }
    }

    // Counts a whole answer that had no length.
    pub(super) fn count_unframed(&self, connection: &UpstreamConnection) {
        if connection.is_unframed() {
            self.traffic.metrics.unframed_answers.inc();
        }
    }

    // True if another attempt would be made: there is an upstream, a retry in the budget
    // and time before the relay stops. If not, this one goes on waiting, as a late answer
    // is better than none.
    fn has_alternative(
        &self,
        route: &Route,
        progress: &RequestProgress,
        key: UpstreamKey,
        upstream: &Upstream,
    ) -> bool {
        if !self.has_time(route) {
            return false;
        }
        // It would wait behind those that can still be on time.
        if !self.has_place(route, progress, &upstream.service) {
            return false;
        }
        let mut excluded = progress.excluded.clone();
        excluded.push(key);
        let view = self.traffic.view();
        let service = &upstream.service;
        let next = self.choose_upstream(&view, route, progress, &excluded, service);
        next.is_some() && self.traffic.has_retry(service, RetryCause::Failure)
    }

    // Timeout for the head of an answer before another upstream is tried; all the
    // time left if the request can't be sent again.
    fn head_timeout(&self, route: &Route, progress: &RequestProgress) -> Duration {
        let left = self.time_left(route, progress);
        let is_last = progress.runs + 1 >= route.max_attempts;
        let head_timeout = match route.kind {
            RouteKind::Stream { resumable: true } if !is_last => {
                (route.objective * 2).max(MIN_STREAM_HEAD_TIMEOUT)
            }
            RouteKind::Idempotent if !is_last && !route.objective.is_zero() => {
                route.objective * HEAD_TIMEOUT_OBJECTIVES
            }
            _ => left,
        };
        head_timeout.min(left)
    }

    // Ejects an upstream that gave no answer, refused the request or has lost its
    // address. A request without an answer is also recorded as a loss, which is
    // attributed to a version later. Answers are recorded where they are handled.
    fn record_health(
        &self,
        route: &Route,
        key: UpstreamKey,
        upstream: &Upstream,
        attempt: &AttemptOutcome,
    ) {
        let now = self.traffic.now();
        self.traffic.update_health(key, |health| match attempt {
            AttemptOutcome::Lost | AttemptOutcome::TimedOut => health.record_unreachable(now),
            AttemptOutcome::Displaced => health.record_displaced(now),
            AttemptOutcome::Refused(_) => health.record_refusal(now, REFUSAL_EJECTION),
            AttemptOutcome::Answered(_) | AttemptOutcome::NotSent => {}
        });
        if matches!(attempt, AttemptOutcome::Lost | AttemptOutcome::TimedOut) {
            let route = RouteDigest::of(&route.name);
            self.traffic.record_loss(upstream, route, Loss::Unanswered);
        }
    }

    // Records an answer's outcome and, where `first` is given, its time to the first
    // byte, for the evaluation of roll-outs and the latency estimate.
    pub(super) fn record_outcome(
        &self,
        route: &Route,
        upstream: &Upstream,
        progress: &RequestProgress,
        failed: bool,
        first: Option<Duration>,
    ) {
        self.traffic.record_outcome(&AttemptSample {
            service: &upstream.service,
            model: self.model_name(progress),
            version: &upstream.version,
            // What fails a request once fails it again, so its repeats tell nothing new.
            route: (progress.runs <= 1).then(|| RouteDigest::of(&route.name)),
            failed,
            first_byte: first,
            prompt_tokens: self.request.prompt_tokens,
            uncached_tokens: self.request.prefixes.last().map_or(0, |part| part.tokens),
        });
    }
}
