//! Compares an attempt's time to the head of its answer with the usual one.

use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use compact_str::CompactString;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

use crate::relay::connection::{ConnectionError, UpstreamConnection};
use crate::relay::tally::RouteDigest;
use crate::relay::traffic::Traffic;
use crate::relay::view::Upstream;

/// Times one attempt from its send. An attempt counts as late once it has waited
/// for longer than usual, whether an answer comes, the client leaves or the deadline
/// passes.
pub(super) struct HeadTimer<'a> {
    traffic: &'a Rc<Traffic>,
    upstream: &'a Upstream,
    model: CompactString,
    prompt_tokens: u32,
    sent: Instant,
    /// Time at which the attempt is late; `None` if the usual time is not known or the
    /// attempt was counted.
    late_at: Option<Instant>,
    /// True once the attempt was late.
    was_late: bool,
    /// Route to whose times this attempt counts, until it was counted.
    timed_route: Option<RouteDigest>,
}

impl<'a> HeadTimer<'a> {
    /// Starts timing an attempt that is sent now.
    pub(super) fn start(
        traffic: &'a Rc<Traffic>,
        upstream: &'a Upstream,
        model: &str,
        prompt_tokens: u32,
    ) -> Self {
        let sent = Instant::now();
        let late_after = traffic.late_after(&upstream.service, model, prompt_tokens);
        Self {
            traffic,
            upstream,
            model: model.into(),
            prompt_tokens,
            sent,
            late_at: late_after.map(|after| sent + after),
            was_late: false,
            timed_route: None,
        }
    }

    /// Counts the time of this attempt to the times of `route`.
    pub(super) fn count_time_of(&mut self, route: RouteDigest) {
        self.timed_route = Some(route);
    }

    /// Reads the head of the answer, for at most `limit`.
    pub(super) async fn read_head(
        &mut self,
        connection: &mut UpstreamConnection,
        limit: Duration,
    ) -> Result<Result<ResponseHead, ConnectionError>, Elapsed> {
        let until = Instant::now() + limit;
        if let Some(late_at) = self.late_at.filter(|late_at| *late_at < until) {
            if let Ok(head) = timeout_at(late_at, connection.read_head()).await {
                return Ok(head);
            }
            self.late_at = None;
            self.was_late = true;
            self.traffic.record_timed(self.upstream, true);
        }
        timeout_at(until, connection.read_head()).await
    }

    /// Records that a good answer began now.
    pub(super) fn record_answer(&mut self) {
        if self.late_at.take().is_some() {
            self.traffic.record_timed(self.upstream, false);
        }
        let first_byte = self.sent.elapsed();
        if let Some(route) = self.timed_route.take() {
            self.traffic.record_time(self.upstream, route, first_byte);
        }
        let (model, tokens) = (&self.model, self.prompt_tokens);
        self.traffic
            .record_usual_time(self.upstream, model, tokens, first_byte);
    }

    /// Records that the attempt failed. How long that took does not count as the time
    /// of an answer.
    pub(super) fn record_failure(&mut self) {
        self.timed_route = None;
    }
}

impl Drop for HeadTimer<'_> {
    /// Counts an attempt that was given up after its time was late: its answer would
    /// have taken longer still.
    fn drop(&mut self) {
        let is_late = self.was_late;
        if let Some(route) = self.timed_route.filter(|_| is_late) {
            let waited = self.sent.elapsed();
            self.traffic.record_time(self.upstream, route, waited);
        }
    }
}
