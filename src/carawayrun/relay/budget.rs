//! How many requests may be sent to a service once more.
//!
//! Load pattern: upstreams fail under a burst, and each failure that is tried
//! again adds to the burst. A share of the first sends over a sliding window
//! bounds that. Each gateway keeps to the share on its own requests, so the sum
//! over all gateways keeps to it too, also while some are cut off.

use std::collections::VecDeque;
use std::time::Duration;

/// Buckets of the window; the oldest part of it is forgotten bucket by bucket.
const WINDOW_BUCKETS: u32 = 20;

/// Part of the allowed ratio that is used; the rest covers the edges of windows
/// that others measure at other moments.
const USABLE_RATIO_FRACTION: f64 = 0.9;

/// Part of the allowed slack that the gateways share; the rest is for those that
/// have not heard of each other yet.
const USABLE_SLACK_FRACTION: f64 = 0.5;

/// Gateways that are assumed until more are known: the entry hosts of a small
/// deployment, twice over.
const INITIAL_GATEWAYS: usize = 12;

/// Part of the budget that is left to failures when answers of a cheaper model
/// are to be replaced.
const FAILURE_RESERVE_FRACTION: f64 = 0.3;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// An upstream failed or refused it.
    Failure,
    /// A cheaper model's answer was not good enough.
    Cascade,
}

/// Budget of one service at one gateway; times are on the caller's clock.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    /// Most gateways that were known at once, this one included: those that are
    /// cut off still use their part.
    gateways: usize,
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
    /// Allows `ratio` repeats for each request in any `window`, and `slack` more.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * USABLE_RATIO_FRACTION,
            slack: slack * USABLE_SLACK_FRACTION,
            gateways: INITIAL_GATEWAYS,
            width: window / WINDOW_BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// Shares the slack with as many gateways as are known, this one included.
    pub fn record_gateways(&mut self, gateways: usize) {
        self.gateways = self.gateways.max(gateways);
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: Duration) {
        self.bucket(now).first_sends += 1;
    }

    /// Takes one repeat; false where the budget is spent.
    pub fn take_retry(&mut self, now: Duration, cause: RetryCause) -> bool {
        if self.retries(now) + 1.0 > self.limit(now, cause) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Share of the repeats for a cause that is left, 0 to 1.
    pub fn headroom(&mut self, now: Duration, cause: RetryCause) -> f64 {
        let limit = self.limit(now, cause);
        if limit <= 0.0 {
            return 0.0;
        }
        (1.0 - self.retries(now) / limit).max(0.0)
    }

    fn limit(&mut self, now: Duration, cause: RetryCause) -> f64 {
        self.bucket(now);
        let first_sends: u32 = self.buckets.iter().map(|bucket| bucket.first_sends).sum();
        let slack = self.slack / self.gateways as f64;
        let all = self.ratio.mul_add(f64::from(first_sends), slack);
        match cause {
            RetryCause::Failure => all,
            RetryCause::Cascade => all * (1.0 - FAILURE_RESERVE_FRACTION),
        }
    }

    fn retries(&mut self, now: Duration) -> f64 {
        self.bucket(now);
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        f64::from(retries)
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
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
