//! Health of upstreams, derived from a gateway's own attempts.
//!
//! Load pattern: upstreams crash during a burst, and their registrations remain
//! for seconds. An unreachable upstream is ejected for a time that doubles with
//! each failed attempt. An upstream that fails part of its requests only becomes
//! less likely to be chosen, since its failures may be caused by the requests.

use std::time::Duration;

/// Ejection time after the first attempt that failed without an answer since the
/// last answer.
const INITIAL_EJECTION: Duration = Duration::from_millis(300);

/// Longest ejection time; registrations of crashed upstreams have expired by
/// then.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Weight of the newest attempt in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.15;

/// Half-life of the failure rate without attempts: an upstream that gets no
/// requests must get another chance.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Recent outcomes at one upstream. Times are on the caller's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failure_rate: f64,
    /// Time of the last update of the failure rate.
    updated_at: Duration,
    consecutive_ejections: u32,
    ejected_until: Duration,
}

impl Health {
    /// Records an answered attempt; `failed` if the answer was a failure.
    pub fn record_answer(&mut self, now: Duration, failed: bool) {
        self.update_failure_rate(now, failed);
        self.consecutive_ejections = 0;
    }

    /// Records that the upstream could not be reached or did not respond.
    pub fn record_unreachable(&mut self, now: Duration) {
        let ejection = INITIAL_EJECTION * 2_u32.pow(self.consecutive_ejections.min(6));
        self.consecutive_ejections += 1;
        self.update_failure_rate(now, true);
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Records that another upstream answered at this one's address: it has
    /// stopped, though its registration still exists.
    pub fn record_displaced(&mut self, now: Duration) {
        self.ejected_until = now + MAX_EJECTION;
    }

    /// Records that the upstream refused a request without running it, for instance
    /// because it was full, and ejects it for `ejection`.
    pub fn record_refusal(&mut self, now: Duration, ejection: Duration) {
        self.ejected_until = self.ejected_until.max(now + ejection);
    }

    /// Returns true while the upstream is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Share of recent attempts that failed, 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    // Adds the outcome of an attempt to the moving average of failures.
    fn update_failure_rate(&mut self, now: Duration, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_EWMA_WEIGHT * (outcome - failure_rate);
        self.updated_at = now;
    }
}
