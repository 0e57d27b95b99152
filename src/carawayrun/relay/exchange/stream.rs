//! Delivery of event streams, which are resumed at another upstream when
//! interrupted.

use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use compact_str::CompactString;
use tokio::time::{Instant, timeout_at};

use super::subjects::HELD_BACK_NOTE;
use super::{AttemptOutcome, Delivery, Exchange, PendingAnswer, RequestProgress, StreamHead};
use crate::relay::budget::RetryCause;
use crate::relay::catalog::{Route, RouteKind};
use crate::relay::events::EventBuffer;
use crate::relay::losses::Loss;
use crate::relay::memory::{MemoryFull, MemoryUse};
use crate::relay::metrics::SendReason;
use crate::relay::pace::StreamGaps;
use crate::relay::progress::MessagePart;
use crate::relay::quarantine::Verdict;
use crate::relay::request_log::RequestOutcome;
use crate::relay::responder::{Responder, WriteError};
use crate::relay::tally::RouteDigest;
use crate::relay::traffic::{MemoryHold, StreamTimes};
use crate::relay::view::UpstreamKey;

/// Time without a complete event after which a stream is resumed at another upstream;
/// clients disconnect after some seconds. Bytes that complete no event don't count, nor
/// do comments: an upstream in trouble may send some now and then.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which a silent stream that can't be resumed is checked again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Buffers of a stream up to which it needs no memory of the account, in bytes.
const MAX_UNCOUNTED_BYTES: usize = 16 * 1024;

/// How the part of a stream that came from one upstream ended.
enum StreamEnd {
    Complete,
    /// No more can be written to the client.
    Unwritable(WriteError),
    /// The upstream's stream was interrupted, for this reason; it may be resumed.
    Interrupted(&'static str),
}

/// What is kept of a stream that is being delivered.
struct StreamBuffers {
    events: EventBuffer,
    hold: MemoryHold,
    /// Bytes held in the account.
    held: usize,
}

impl StreamBuffers {
    // Adapts the memory held to the buffers; fails if there is none.
    fn update(&mut self, responder: &Responder<'_>) -> Result<(), MemoryFull> {
        let bytes = Self::counted_bytes(responder);
        if bytes > self.held {
            let is_new = self.held == 0;
            self.hold.reserve(bytes)?;
            if is_new && responder.has_unwritten() {
                self.hold.record_delivery();
            }
        } else if bytes < self.held {
            self.hold.release(bytes);
        }
        self.held = bytes;
        Ok(())
    }

    // Records that the client took a part of the stream.
    fn record_delivery(&mut self, responder: &Responder<'_>) {
        self.hold.record_delivery();
        let bytes = Self::counted_bytes(responder).min(self.held);
        self.hold.release(bytes);
        self.held = bytes;
    }

    fn counted_bytes(responder: &Responder<'_>) -> usize {
        let bytes = responder.capacity();
        if bytes > MAX_UNCOUNTED_BYTES {
            bytes
        } else {
            0
        }
    }
}

impl Exchange<'_> {
    // Delivers an event stream to the client, resumed at other upstreams where it is
    // interrupted.
    pub(super) async fn deliver_stream(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        first: PendingAnswer,
        responder: &mut Responder<'_>,
    ) -> Delivery {
        let head = StreamHead::new(&first, route);
        let status = head.status;
        progress.version = Some(first.upstream.version.clone());
        self.log.record_first_event(self.received.elapsed());
        let is_resumable = route.kind == RouteKind::Stream { resumable: true };
        let requested = self.request.resume_after.as_deref();
        let mut buffers = StreamBuffers {
            events: EventBuffer::new(requested.filter(|_| is_resumable)),
            hold: MemoryHold::open(self.traffic, MemoryUse::Answer),
            held: 0,
        };
        let mut current = Box::new(first);
        loop {
            let end = self
                .forward_events(
                    route,
                    progress,
                    &mut current,
                    &mut buffers,
                    responder,
                    &head,
                )
                .await;
            let events = &mut buffers.events;
            match end {
                StreamEnd::Complete => {
                    self.record_answer_success(&current);
                    self.record_whole();
                    let PendingAnswer {
                        key,
                        connection,
                        _guard: guard,
                        ..
                    } = *current;
                    // The upstream is done, however slowly the client reads.
                    drop(guard);
                    self.count_unframed(&connection);
                    let view = self.traffic.view();
                    self.traffic
                        .fleet(&view, |fleet, _| fleet.put_idle(key, connection));
                    self.log.set_outcome(RequestOutcome::Answered, status);
                    let rest = events.take_rest();
                    let hold = Some(&buffers.hold);
                    let written = if responder.has_started() {
                        match responder.add(rest).and_then(|()| responder.end()) {
                            Ok(()) => responder.flush(hold).await,
                            Err(error) => Err(error),
                        }
                    } else {
                        responder
                            .write_whole(status, head.headers, &rest.into(), hold)
                            .await
                    };
                    return self.end_delivery(&written);
                }
                StreamEnd::Unwritable(error) => {
                    self.log
                        .set_outcome(RequestOutcome::ClientDisconnected, status);
                    return self.end_delivery(&Err(error));
                }
                StreamEnd::Interrupted(reason) => {
                    self.log.set_note(reason);
                    progress.reason = SendReason::Lost;
                    progress.losses += 1;
                    self.record_answer_failure(current.key);
                    self.traffic.record_loss(
                        &current.upstream,
                        RouteDigest::of(&route.name),
                        Loss::Interrupted,
                    );
                }
            }
            events.discard_partial();
            progress.excluded.push(current.key);
            drop(current);
            match self
                .resume(route, progress, &buffers, &head, responder)
                .await
            {
                Ok(next) => current = next,
                Err(delivery) => return delivery,
            }
        }
    }

    // Forwards whole events from one upstream to the client until its stream ends.
    async fn forward_events(
        &mut self,
        route: &Route,
        progress: &RequestProgress,
        current: &mut PendingAnswer,
        buffers: &mut StreamBuffers,
        responder: &mut Responder<'_>,
        head: &StreamHead,
    ) -> StreamEnd {
        let mut event_due = Instant::now() + EVENT_TIMEOUT;
        let mut has_begun = false;
        let mut gaps = StreamGaps::default();
        loop {
            let is_behind = responder.has_unwritten();
            let is_held = buffers.held > 0;
            // While the client takes nothing, its upstream is read on: one whose answer stays
            // unread breaks off.
            let read = tokio::select! {
                biased;
                written = responder.write_some(), if is_behind => {
                    if let Err(error) = written {
                        return StreamEnd::Unwritable(error);
                    }
                    if is_held {
                        buffers.record_delivery(responder);
                    }
                    continue;
                }
                () = buffers.hold.evicted(), if is_held => {
                    return StreamEnd::Unwritable(WriteError::Displaced);
                }
                read = timeout_at(event_due, current.connection.read_chunk()) => read,
            };
            let events = &mut buffers.events;
            let piece = match read {
                Err(_) if self.can_resume(route, progress, current.key, events) => {
                    return StreamEnd::Interrupted("no stream data in time");
                }
                // A late event is better than none.
                Err(_) => {
                    event_due = Instant::now() + SILENCE_CHECK_INTERVAL;
                    continue;
                }
                Ok(Err(error)) => {
                    self.count_stopped(&error);
                    let (upstream, fingerprint) = (&current.upstream.name, self.fingerprint());
                    tracing::info!(request = %self.request.id, %upstream, %error, has_begun, %fingerprint, "connection failed within an answer");
                    self.record_stream_crash(current, has_begun);
                    return StreamEnd::Interrupted("stream interrupted");
                }
                Ok(Ok(None)) if events.is_within_event() => {
                    self.record_stream_crash(current, has_begun);
                    return StreamEnd::Interrupted("stream ended within an event");
                }
                // An engine that ends before its first event closes such a stream too.
                Ok(Ok(None)) if !has_begun && current.connection.is_unframed() => {
                    self.record_stream_crash(current, has_begun);
                    return StreamEnd::Interrupted("stream closed before its first event");
                }
                Ok(Ok(None)) => {
                    self.record_stream_times(progress, current, &gaps);
                    return StreamEnd::Complete;
                }
                Ok(Ok(Some(piece))) => piece,
            };
            let count = events.event_count();
            let whole = events.push(&piece);
            gaps.record(events.event_count() - count, current.sent.elapsed());
            if let Some(whole) = whole {
                if !std::mem::replace(&mut has_begun, true) {
                    self.record_begun();
                }
                let added = if responder.has_started() {
                    responder.add(whole)
                } else {
                    responder.begin(head.status, head.headers.clone(), head.length, whole)
                };
                if let Err(error) = added {
                    return StreamEnd::Unwritable(error);
                }
                event_due = Instant::now() + EVENT_TIMEOUT;
            }
            if let Some(reason) = self.stream_fault(events) {
                return StreamEnd::Interrupted(reason);
            }
            if buffers.update(responder).is_err() {
                if responder.has_unwritten() {
                    return StreamEnd::Unwritable(WriteError::Displaced);
                }
                return StreamEnd::Interrupted("no memory for a stream event");
            }
        }
    }

    // Records the pace of an engine in a stream that ended whole.
    fn record_stream_times(
        &self,
        progress: &RequestProgress,
        current: &PendingAnswer,
        gaps: &StreamGaps,
    ) {
        // The end of one without a length is known later than it comes.
        let is_timed = self.has_engines() && !current.connection.is_unframed();
        let Some(step_ms) = gaps.step_ms().filter(|_| is_timed) else {
            return;
        };
        // Only a part of a resumed answer is this engine's.
        let is_whole = progress.losses == 0 && self.request.resume_after.is_none();
        let times = StreamTimes {
            model: self.model_name(progress),
            step_ms,
            generation: current.sent.elapsed().saturating_sub(current.head_delay),
            tokens: if is_whole { self.answer_tokens() } else { 0 },
        };
        self.traffic.record_stream(&current.upstream, &times);
    }

    // Returns true if the route, the events, the limits on attempts and the time allow
    // another upstream to go on with the stream.
    fn may_resume(&self, route: &Route, progress: &RequestProgress, events: &EventBuffer) -> bool {
        route.kind == RouteKind::Stream { resumable: true }
            && events.is_resumable()
            && Self::may_retry(route, progress)
            && self.has_time(route)
    }

    // Returns true if another upstream could go on with the stream of `current`.
    fn can_resume(
        &self,
        route: &Route,
        progress: &RequestProgress,
        current: UpstreamKey,
        events: &EventBuffer,
    ) -> bool {
        if !self.may_resume(route, progress, events) {
            return false;
        }
        let service = self.service_name(&self.admitted.catalog);
        let mut excluded = progress.excluded.clone();
        excluded.push(current);
        let view = self.traffic.view();
        let next = self.choose_upstream(&view, route, progress, &excluded, service);
        next.is_some() && self.traffic.has_retry(service, RetryCause::Failure)
    }

    // Returns why no more of an upstream's stream can be forwarded, if so.
    fn stream_fault(&self, events: &EventBuffer) -> Option<&'static str> {
        if events.is_broken() {
            return Some("stream event does not follow the last one");
        }
        if events.is_oversized() {
            self.traffic
                .metrics
                .record_stopped_answer(MessagePart::Event);
            return Some("stream event too long");
        }
        None
    }

    fn record_stream_crash(&self, current: &PendingAnswer, has_begun: bool) {
        let PendingAnswer {
            key,
            upstream,
            sent,
            ..
        } = current;
        self.record_crash(*key, upstream, *sent, has_begun);
    }

    // Resumes the stream at another upstream after the last whole event.
    async fn resume(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        buffers: &StreamBuffers,
        head: &StreamHead,
        responder: &mut Responder<'_>,
    ) -> Result<Box<PendingAnswer>, Delivery> {
        let StreamBuffers { events, hold, .. } = buffers;
        let after = events.last_id().map(CompactString::from);
        loop {
            let has_begun = events.event_count() > 0;
            let verdict = self.verdict(progress, has_begun).await;
            if matches!(verdict, Verdict::Quarantined(_)) {
                self.log.set_note(HELD_BACK_NOTE);
                return Err(self.interrupt(route, progress, hold, responder).await);
            }
            if !self.may_resume(route, progress, events) {
                return Err(self.interrupt(route, progress, hold, responder).await);
            }
            let catalog = Arc::clone(&self.admitted.catalog);
            let service = self.service_name(&catalog);
            let view = self.traffic.view();
            let Some(key) =
                self.choose_upstream(&view, route, progress, &progress.excluded, service)
            else {
                if self.wait_for_room(&view, route, progress).await {
                    continue;
                }
                return Err(self.interrupt(route, progress, hold, responder).await);
            };
            if !self.pay_for_send(progress, service) {
                return Err(self.interrupt(route, progress, hold, responder).await);
            }
            progress.excluded.push(key);
            let attempt = self
                .make_attempt(&view, route, progress, key, after.as_deref())
                .await;
            progress.record_attempt(&attempt);
            match attempt {
                AttemptOutcome::Answered(next) if head.continues_in(&next) => {
                    self.record_outcome(
                        route,
                        &next.upstream,
                        progress,
                        false,
                        Some(next.head_delay),
                    );
                    self.traffic.metrics.resumes.inc();
                    return Ok(next);
                }
                AttemptOutcome::Answered(next) => {
                    tracing::info!(request = %self.request.id, upstream = %next.upstream.name, status = next.head.status.as_u16(), media_type = %next.answer.media_type, "answer does not continue the stream");
                    self.record_answer_failure(next.key);
                    self.record_outcome(route, &next.upstream, progress, true, None);
                }
                AttemptOutcome::NotSent
                | AttemptOutcome::Displaced
                | AttemptOutcome::Refused(_)
                | AttemptOutcome::Lost
                | AttemptOutcome::TimedOut => {}
            }
        }
    }

    // Ends a stream that can't be resumed. Where a part was delivered, the
    // connection is closed within the answer, so that the client notices.
    async fn interrupt(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        hold: &MemoryHold,
        responder: &mut Responder<'_>,
    ) -> Delivery {
        if responder.has_started() {
            self.log
                .set_outcome(RequestOutcome::Interrupted, StatusCode::BAD_GATEWAY);
            // The client can go on after the events that it got.
            if let Err(error) = responder.flush(Some(hold)).await {
                return self.end_delivery(&Err(error));
            }
            return Delivery::Interrupted;
        }
        self.give_up(route, progress, responder).await
    }
}
