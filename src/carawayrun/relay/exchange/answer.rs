//! What becomes of an upstream's answer.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

use super::{Answered, Course, Ended, Exchange, Failure, Held};
use crate::platform;
use crate::relay::budget::Cause;
use crate::relay::cascade;
use crate::relay::catalog::Route;
use crate::relay::losses::Loss;
use crate::relay::report::Verdict;
use crate::relay::responder::Responder;
use crate::relay::view::UpstreamKey;
use crate::relay::wire::{Wire, WireError};

/// Longest body of a plain answer that is kept until it is whole.
const MAX_BUFFERED: usize = 8 * 1024 * 1024;

impl Exchange<'_> {
    // None where another attempt is to be made.
    pub(super) async fn answered(
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
        if is_success && !answered.is_genuine() {
            self.note(&answered.upstream, course, true, None);
            self.report.note("answer is not the upstream's own");
            return None;
        }
        if is_success && let Some(model) = self.better_model(route, course, &answered) {
            self.note(&answered.upstream, course, false, Some(answered.first));
            self.succeeded(&answered);
            self.traffic.metrics.cascades.inc();
            course.held = Some(Held {
                answered: Box::new(answered),
                model: course.model.replace(model),
            });
            course.is_paid = true;
            return None;
        }
        if is_success {
            course.held = None;
        }
        if is_success && route.kind.is_stream() {
            // A failure shows at once, and a good stream ends seconds later:
            // counted at its end, a new version would seem to fail at first.
            self.note(&answered.upstream, course, false, Some(answered.first));
            return Some(self.stream(route, course, answered, responder).await);
        }
        self.plain(route, course, answered, responder).await
    }

    fn better_model(
        &mut self,
        route: &Route,
        course: &Course,
        answered: &Answered,
    ) -> Option<CompactString> {
        let model = course.model.as_ref()?;
        let largest = route.models.last()?;
        let doubt = cascade::Doubt {
            confidence: answered.answer.confidence,
            largest: self.prospect(route, largest, &course.excluded),
        };
        let next = cascade::next(&route.models, model, doubt)?;
        if course.runs >= route.max_attempts {
            self.report.note("doubtful answer kept: no attempt left");
            return None;
        }
        let service = &answered.upstream.service;
        if !self.traffic.may_repeat(service, Cause::Cascade) {
            self.report
                .note("doubtful answer kept: repeat budget spent");
            return None;
        }
        Some(next.clone())
    }

    pub(super) fn succeeded(&self, answered: &Answered) {
        let (key, now) = (answered.key, self.traffic.now());
        self.traffic
            .note_health(key, |health| health.answered(now, false));
    }

    pub(super) fn failed(&self, key: UpstreamKey) {
        let now = self.traffic.now();
        self.traffic
            .note_health(key, |health| health.answered(now, true));
    }

    pub(super) async fn plain(
        &mut self,
        route: &Route,
        course: &mut Course,
        mut answered: Answered,
        responder: &mut Responder<'_>,
    ) -> Option<Ended> {
        let Ok(body) = read_whole(&mut answered.wire).await else {
            self.failed(answered.key);
            self.traffic.note_loss(&answered.upstream, Loss::OfRequest);
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
        let now = self.traffic.now();
        self.traffic
            .note_health(key, |health| health.answered(now, is_failure));
        let view = self.traffic.view();
        self.traffic.fleet(&view, |fleet, _| fleet.keep(key, wire));
        let headers = platform::answer_headers(&head.headers);
        let may_repeat = route.kind.is_repeatable() && course.runs < route.max_attempts;
        if is_failure && (may_repeat || course.held.is_some()) {
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
}

/// Reads a body that is short enough to be kept.
pub(super) async fn read_whole(wire: &mut Wire) -> Result<Bytes, WireError> {
    let mut whole = BytesMut::new();
    while let Some(piece) = wire.chunk().await? {
        if whole.len() + piece.len() > MAX_BUFFERED {
            return Err(WireError::Closed);
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}
