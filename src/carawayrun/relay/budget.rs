//! How many requests may be sent to a service once more.
//!
//! Load pattern: upstreams fail under a burst, and each failure that is tried
//! again adds to the burst. A share of the first sends over a sliding window
//! bounds that. Each gateway keeps to the share on its own requests, so the sum
//! over all gateways keeps to it too, also while some are cut off.

use std::collections::VecDeque;
use std::time::Duration;

/// Buckets of the window; the oldest part of it is forgotten bucket by bucket.
const BUCKETS: u32 = 20;

/// Part of the allowed ratio that is used; the rest covers the edges of windows
/// that others measure at other moments.
const USED_RATIO: f64 = 0.9;

/// Part of the allowed slack that the gateways share; the rest is for those that
/// have not heard of each other yet.
const SLACK_PART: f64 = 0.5;

/// Gateways that are assumed until more are known: the entry hosts of a small
/// deployment, twice over.
const ASSUMED_GATEWAYS: usize = 12;

/// Part of the budget that is left to failures when answers of a cheaper model
/// are to be replaced.
const FAILURES_PART: f64 = 0.3;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// An upstream failed or refused it.
    Failure,
    /// A cheaper model's answer was not good enough.
    Cascade,
}

/// Budget of one service at one gateway; times are on the caller's clock.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
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
    firsts: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Allows `ratio` repeats for each request in any `window`, and `slack` more.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * USED_RATIO,
            slack: slack * SLACK_PART,
            gateways: ASSUMED_GATEWAYS,
            width: window / BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// Shares the slack with as many gateways as are known, this one included.
    pub fn share(&mut self, gateways: usize) {
        self.gateways = self.gateways.max(gateways);
    }

    /// Counts the first send of a request.
    pub fn first(&mut self, now: Duration) {
        self.bucket(now).firsts += 1;
    }

    /// Takes one repeat; false where the budget is spent.
    pub fn repeat(&mut self, now: Duration, cause: Cause) -> bool {
        if self.repeats(now) + 1.0 > self.limit(now, cause) {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Share of the repeats for a cause that is left, 0 to 1.
    pub fn headroom(&mut self, now: Duration, cause: Cause) -> f64 {
        let limit = self.limit(now, cause);
        if limit <= 0.0 {
            return 0.0;
        }
        (1.0 - self.repeats(now) / limit).max(0.0)
    }

    fn limit(&mut self, now: Duration, cause: Cause) -> f64 {
        self.bucket(now);
        let firsts: u32 = self.buckets.iter().map(|bucket| bucket.firsts).sum();
        let slack = self.slack / self.gateways as f64;
        let all = self.ratio.mul_add(f64::from(firsts), slack);
        match cause {
            Cause::Failure => all,
            Cause::Cascade => all * (1.0 - FAILURES_PART),
        }
    }

    fn repeats(&mut self, now: Duration) -> f64 {
        self.bucket(now);
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        f64::from(repeats)
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = (now.as_nanos() / self.width.as_nanos().max(1)) as u64;
        let is_over = |first: &Bucket| first.index + u64::from(BUCKETS) <= index;
        while self.buckets.front().is_some_and(is_over) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket {
                index,
                firsts: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
