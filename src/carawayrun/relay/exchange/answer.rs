//! Handling and delivery of an upstream's answer.

use compact_str::CompactString;

use super::{Delivery, Exchange, Failure, Fallback, PendingAnswer, RequestProgress};
use crate::platform;
use crate::relay::body::{Body, BodyBuffer, MAX_BLOCK_BYTES};
use crate::relay::budget::RetryCause;
use crate::relay::cascade;
use crate::relay::catalog::Route;
use crate::relay::connection::{ConnectionError, UpstreamConnection};
use crate::relay::losses::Loss;
use crate::relay::memory::MemoryUse;
use crate::relay::metrics::SendReason;
use crate::relay::request_log::RequestOutcome;
use crate::relay::responder::Responder;
use crate::relay::tally::RouteDigest;
use crate::relay::traffic::MemoryHold;
use crate::relay::view::UpstreamKey;

/// Longest body of an answer that is buffered until it is whole, in bytes. A longer
/// one fails as if the upstream had closed the connection.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

impl Exchange<'_> {
    // Delivers an answer, or keeps it as a fallback or failure. Returns `None` if
    // another attempt is to be made.
    pub(super) async fn handle_answer(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        pending: PendingAnswer,
        responder: &mut Responder<'_>,
    ) -> Option<Delivery> {
        self.log.record_upstream_status(pending.head.status);
        let is_success = pending.head.status.is_success();
        if is_success && !pending.is_genuine() {
            self.record_outcome(route, &pending.upstream, progress, true, None);
            self.log.set_note("answer unsealed or content-encoded");
            return None;
        }
        if is_success && let Some(model) = self.next_model(route, progress, &pending) {
            self.record_outcome(
                route,
                &pending.upstream,
                progress,
                false,
                Some(pending.head_delay),
            );
            self.record_answer_success(&pending);
            self.traffic.metrics.cascades.inc();
            progress.fallback = Some(Fallback {
                pending: Box::new(pending),
                model: progress.model.replace(model),
            });
            progress.is_prepaid = true;
            progress.reason = SendReason::Cascade;
            return None;
        }
        if is_success {
            progress.fallback = None;
        }
        if is_success && route.kind.is_stream() {
            // A failure is known at once, while a good stream ends seconds later.
            // If streams were counted at their end, a new version would seem to
            // fail at first.
            self.record_outcome(
                route,
                &pending.upstream,
                progress,
                false,
                Some(pending.head_delay),
            );
            return Some(
                self.deliver_stream(route, progress, pending, responder)
                    .await,
            );
        }
        self.deliver_whole(route, progress, pending, responder)
            .await
    }

    // The better model to request because of the answer's low confidence; `None`
    // if the answer is to be delivered.
    fn next_model(
        &mut self,
        route: &Route,
        progress: &RequestProgress,
        pending: &PendingAnswer,
    ) -> Option<CompactString> {
        let model = progress.model.as_ref()?;
        let largest = route.models.last()?;
        let input = cascade::NextModelInput {
            confidence: pending.answer.confidence,
            largest: self.estimate(route, largest, &progress.excluded),
        };
        let next = cascade::choose_next_model(&route.models, model, input)?;
        if progress.runs >= route.max_attempts {
            self.log
                .set_note("low-confidence answer kept: no attempt left");
            return None;
        }
        if !self.has_time(route) {
            self.log
                .set_note("low-confidence answer kept: relay stopping");
            return None;
        }
        let service = &pending.upstream.service;
        if !self.traffic.take_retry(service, RetryCause::Cascade) {
            self.log
                .set_note("low-confidence answer kept: retry budget spent");
            return None;
        }
        Some(next.clone())
    }

    // Records a successful answer in the upstream's health.
    pub(super) fn record_answer_success(&self, pending: &PendingAnswer) {
        let (key, now) = (pending.key, self.traffic.now());
        self.traffic
            .update_health(key, |health| health.record_answer(now, false));
    }

    // Records a failed, interrupted or unusable answer in the upstream's health.
    pub(super) fn record_answer_failure(&self, key: UpstreamKey) {
        let now = self.traffic.now();
        self.traffic
            .update_health(key, |health| health.record_answer(now, true));
    }

    // Length of the body that follows the head, if its upstream named one that is kept.
    fn announced_length(pending: &PendingAnswer) -> Option<usize> {
        let length = pending.answer.body_length;
        let length = length.filter(|_| pending.connection.has_body())?;
        let length = usize::try_from(length).ok()?;
        (length <= MAX_BUFFERED_BYTES).then_some(length)
    }

    // Reads the whole body and delivers it. Returns `None` if another attempt is
    // to be made.
    pub(super) async fn deliver_whole(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        mut pending: PendingAnswer,
        responder: &mut Responder<'_>,
    ) -> Option<Delivery> {
        let hold = MemoryHold::open(self.traffic, MemoryUse::Answer);
        if let Some(length) = Self::announced_length(&pending) {
            // All at once: answers that each hold a part would wait for each other.
            hold.reserve_in_turn(length + MAX_BLOCK_BYTES).await;
        }
        let body = read_held(&mut pending.connection, MAX_BUFFERED_BYTES, Some(&hold)).await;
        let body = body.inspect_err(|error| {
            self.count_stopped(error);
            let (upstream, fingerprint) = (&pending.upstream.name, self.fingerprint());
            tracing::info!(request = %self.request.id, %upstream, %error, has_begun = true, %fingerprint, "connection failed within an answer");
        });
        let Ok(body) = body else {
            self.record_answer_failure(pending.key);
            self.record_crash(pending.key, &pending.upstream, pending.sent, true);
            progress.losses += 1;
            self.traffic.record_loss(
                &pending.upstream,
                RouteDigest::of(&route.name),
                Loss::Unanswered,
            );
            self.log.set_note("answer interrupted");
            progress.reason = SendReason::Lost;
            return None;
        };
        let PendingAnswer {
            key,
            upstream,
            connection,
            head,
            head_delay,
            _guard: guard,
            ..
        } = pending;
        // The upstream is done, however slowly the client reads.
        drop(guard);
        self.count_unframed(&connection);
        let is_failure = head.status.is_server_error();
        self.record_whole();
        self.record_outcome(route, &upstream, progress, is_failure, Some(head_delay));
        let now = self.traffic.now();
        self.traffic
            .update_health(key, |health| health.record_answer(now, is_failure));
        let view = self.traffic.view();
        self.traffic
            .fleet(&view, |fleet, _| fleet.put_idle(key, connection));
        let headers = platform::answer_headers(&head.headers);
        let may_retry = route.kind.is_retryable() && progress.runs < route.max_attempts;
        if is_failure && (may_retry || progress.fallback.is_some()) {
            progress.failure = Some(Failure {
                status: head.status,
                headers,
                body,
                hold,
            });
            return None;
        }
        self.log.set_outcome(RequestOutcome::Answered, head.status);
        let written = responder
            .write_whole(head.status, headers, &body, Some(&hold))
            .await;
        Some(self.end_delivery(&written))
    }
}

/// Reads a whole body. One of more than `limit` bytes fails with
/// [`ConnectionError::Closed`].
pub(super) async fn read_whole(
    connection: &mut UpstreamConnection,
    limit: usize,
) -> Result<Body, ConnectionError> {
    read_held(connection, limit, None).await
}

// As `read_whole`; the upstream waits while the memory for its answer is not there.
async fn read_held(
    connection: &mut UpstreamConnection,
    limit: usize,
    hold: Option<&MemoryHold>,
) -> Result<Body, ConnectionError> {
    let mut whole = BodyBuffer::default();
    while let Some(piece) = connection.read_chunk().await? {
        let length = whole.len() + piece.len();
        if length > limit {
            return Err(ConnectionError::Closed);
        }
        if let Some(hold) = hold {
            hold.reserve_in_turn(whole.cost_with(piece.len())).await;
        }
        whole.push(&piece);
    }
    Ok(whole.freeze())
}
