//! One attempt of a request at one upstream.

use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use tokio::time::{Instant, timeout};

use super::{Answered, Attempt, Course, Exchange, HELD_RESERVE};
use crate::platform::{self, Outbound};
use crate::relay::catalog::{Route, RouteKind};
use crate::relay::losses::Loss;
use crate::relay::message::Claim;
use crate::relay::traffic::{Flight, Outcome};
use crate::relay::view::{Upstream, UpstreamKey, View};
use crate::relay::wire::{Wire, WireError};

/// Time to open a connection to an upstream: some round trips within a region.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before work goes again to an upstream that had no room.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Least time for the first event of a stream before another upstream is tried.
const FIRST_EVENT_FLOOR: Duration = Duration::from_millis(2_500);

/// Time for a plain idempotent answer, in latency objectives, before another
/// upstream is tried.
const REPEAT_AFTER_OBJECTIVES: u32 = 3;

/// Times that an engine is asked whether it has a request in its queue.
const MAX_ASKED: u32 = 3;

impl Exchange<'_> {
    pub(super) async fn attempt(
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
        self.judge_attempt(key, &upstream, &attempt);
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
            tracing::info!(upstream = %upstream.name, %error, "upstream not reached");
            self.traffic.note_unreachable(key, upstream);
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
        let mut asked = 0;
        let answered = loop {
            match timeout(self.patience(route, course), wire.head()).await {
                Ok(answered) => break Some(answered),
                Err(_) if self.must_deliver(route, course) => break None,
                Err(_) if !self.has_alternative(route, course, key, upstream) => {}
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
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            tracing::info!(request = %self.ask.id, upstream = %upstream.name, "another upstream has the address");
            return Attempt::Displaced;
        }
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

    // Without another upstream to try, a late answer is better than none.
    fn has_alternative(
        &self,
        route: &Route,
        course: &Course,
        key: UpstreamKey,
        upstream: &Upstream,
    ) -> bool {
        let mut excluded = course.excluded.clone();
        excluded.push(key);
        let view = self.traffic.view();
        let next = self.pick(&view, route, course, &excluded, &upstream.service);
        next.is_some()
    }

    // How long the head of an answer may take before another upstream is tried;
    // the whole time where it can't be tried again.
    fn patience(&self, route: &Route, course: &Course) -> Duration {
        let left = self
            .deadline(route)
            .saturating_duration_since(Instant::now());
        let left = if course.held.is_some() {
            left.saturating_sub(HELD_RESERVE)
        } else {
            left
        };
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

    fn judge_attempt(&self, key: UpstreamKey, upstream: &Upstream, attempt: &Attempt) {
        let now = self.traffic.now();
        self.traffic.note_health(key, |health| match attempt {
            Attempt::Lost | Attempt::Silent => health.unreachable(now),
            Attempt::Displaced => health.displaced(now),
            Attempt::Refused(_) => health.full(now, FULL_PAUSE),
            Attempt::Answered(_) | Attempt::NotSent => {}
        });
        if matches!(attempt, Attempt::Lost | Attempt::Silent) {
            self.traffic.note_loss(upstream, Loss::OfRequest);
        }
    }

    pub(super) fn note(
        &self,
        upstream: &Upstream,
        course: &Course,
        failed: bool,
        first: Option<Duration>,
    ) {
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
}
