//! Streams of events, which go on elsewhere where they break off.

use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::timeout;

use super::{Answered, Attempt, Course, Ended, Exchange};
use crate::platform;
use crate::relay::budget::Cause;
use crate::relay::catalog::{Route, RouteKind};
use crate::relay::events::EventBuffer;
use crate::relay::losses::Loss;
use crate::relay::report::Verdict;
use crate::relay::responder::Responder;

/// Silence of a stream after which it goes on elsewhere; clients leave one
/// after some seconds.
const EVENT_GAP: Duration = Duration::from_millis(2_500);

/// How the part of a stream ended that came from one upstream.
enum StreamEnd {
    Whole,
    ClientGone,
    /// It can go on elsewhere, for this reason.
    Broken(&'static str),
}

impl Exchange<'_> {
    pub(super) async fn stream(
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
                    self.traffic.note_loss(&current.upstream, Loss::OfAnswer);
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
                return Err(self.cut(route, course, responder).await);
            }
            let catalog = Arc::clone(&self.admitted.catalog);
            let service = self.service(&catalog);
            let view = self.traffic.view();
            let Some(key) = self.pick(&view, route, course, &course.excluded, service) else {
                return Err(self.cut(route, course, responder).await);
            };
            let is_paid = std::mem::take(&mut course.is_paid);
            if !is_paid && !self.traffic.may_repeat(service, Cause::Failure) {
                self.report.note("repeat budget spent");
                return Err(self.cut(route, course, responder).await);
            }
            course.excluded.push(key);
            let attempt = self
                .attempt(&view, route, course, key, after.as_deref())
                .await;
            match attempt {
                Attempt::Answered(next) if next.is_genuine() => {
                    course.runs += 1;
                    self.note(&next.upstream, course, false, Some(next.first));
                    self.traffic.metrics.resumes.inc();
                    return Ok(next);
                }
                Attempt::Answered(next) => {
                    course.runs += 1;
                    self.failed(next.key);
                    self.note(&next.upstream, course, true, None);
                }
                Attempt::NotSent => {
                    course.unsent += 1;
                    course.is_paid = true;
                }
                Attempt::Displaced => course.unsent += 1,
                Attempt::Refused(_) => course.refused += 1,
                Attempt::Lost | Attempt::Silent => course.runs += 1,
            }
        }
    }

    // Ends a stream that can't go on: visibly, where a part was delivered.
    async fn cut(
        &mut self,
        route: &Route,
        course: &mut Course,
        responder: &mut Responder<'_>,
    ) -> Ended {
        if responder.has_started() {
            self.report.verdict(Verdict::Cut, StatusCode::BAD_GATEWAY);
            return Ended::Cut;
        }
        self.give_up(route, course, responder).await
    }
}
