//! Retry budget of a service.
//!
//! Load pattern: upstreams fail during a burst, and each retry adds to it.
//! Retries are bounded by a share of the first sends in a sliding window. Each
//! gateway applies the share to its own requests, so the sum over all gateways is
//! bounded too, also while some are disconnected.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets in the window; it advances by one bucket at a time.
const WINDOW_BUCKETS: u32 = 20;

/// Fraction of the allowed ratio that is used; the rest covers observers whose
/// windows begin at other moments.
const USABLE_RATIO_FRACTION: f64 = 0.9;

/// Fraction of the allowed slack that the known gateways share; the rest is for
/// gateways that were started a moment ago and are not known to all.
const USABLE_SLACK_FRACTION: f64 = 0.5;

/// Smallest number of gateways by which the slack is divided: twice the hosts that
/// serve clients in a small deployment.
const MIN_GATEWAYS: usize = 12;

/// Fraction of the budget that cascades leave to retries of failures.
const FAILURE_RESERVE_FRACTION: f64 = 0.3;

/// Reason for sending a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// An upstream failed or refused the request.
    Failure,
    /// A smaller model's answer had too low a confidence.
    Cascade,
}

/// Retry budget of one service at one gateway. Times are on the caller's clock.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    /// Largest number of gateways known so far, including this one, and at least
    /// [`MIN_GATEWAYS`]: disconnected gateways still use their part. `None`, and no
    /// slack, before the others are known.
    gateways: Option<usize>,
    width: Duration,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    first_sends: u32,
    retries: u32,
}

impl RetryBudget {
    /// Allows `ratio` retries for each request in any `window`, plus `slack`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * USABLE_RATIO_FRACTION,
            slack: slack * USABLE_SLACK_FRACTION,
            gateways: None,
            width: window / WINDOW_BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// Divides the slack by the number of known gateways, including this one; a
    /// smaller number than before, or none, is ignored.
    pub fn record_gateways(&mut self, gateways: Option<usize>) {
        let known = gateways.map(|gateways| gateways.max(MIN_GATEWAYS));
        self.gateways = self.gateways.max(known);
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Duration) {
        self.advance_window(now).first_sends += 1;
    }

    /// Returns true if [`Self::take_retry`] would take one.
    pub fn has_retry(&mut self, now: Duration, cause: RetryCause) -> bool {
        self.retries(now) + 1.0 <= self.limit(now, cause)
    }

    /// Takes one retry from the budget; returns false if the part that `cause` may
    /// use is spent. Cascades are refused while the reserve for failures is left.
    pub fn take_retry(&mut self, now: Duration, cause: RetryCause) -> bool {
        if !self.has_retry(now, cause) {
            return false;
        }
        self.advance_window(now).retries += 1;
        true
    }

    /// Share of the budget for `cause` that is left, 0 to 1.
    pub fn headroom(&mut self, now: Duration, cause: RetryCause) -> f64 {
        let limit = self.limit(now, cause);
        if limit <= 0.0 {
            return 0.0;
        }
        (1.0 - self.retries(now) / limit).max(0.0)
    }

    fn limit(&mut self, now: Duration, cause: RetryCause) -> f64 {
        self.advance_window(now);
        let first_sends: u32 = self.buckets.iter().map(|bucket| bucket.first_sends).sum();
        let slack = self.gateways.map_or(0.0, |known| self.slack / known as f64);
        let all = self.ratio.mul_add(f64::from(first_sends), slack);
        match cause {
            RetryCause::Failure => all,
            RetryCause::Cascade => all * (1.0 - FAILURE_RESERVE_FRACTION),
        }
    }

    fn retries(&mut self, now: Duration) -> f64 {
        self.advance_window(now);
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        f64::from(retries)
    }

    // Drops the buckets that have left the window and returns the current one,
    // which is appended if it is missing.
    fn advance_window(&mut self, now: Duration) -> &mut Bucket {
        let index = (now.as_nanos() / self.width.as_nanos().max(1)) as u64;
        let is_over = |first: &Bucket| first.index + u64::from(WINDOW_BUCKETS) <= index;
        while self.buckets.front().is_some_and(is_over) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket {
                index,
                first_sends: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
