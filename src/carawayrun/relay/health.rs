//! What a gateway's own attempts say about an upstream.
//!
//! Load pattern: upstreams crash under a burst, and their registrations stay
//! for seconds. One that can't be reached is left out for a moment that doubles
//! with each further try; one that fails a part of its requests is only made
//! less attractive, as its failures can't be told from the requests' own.

use std::time::Duration;

/// First time for which an unreachable upstream is left out.
const INITIAL_EJECTION: Duration = Duration::from_millis(300);

/// Longest such time; registrations of crashed upstreams are gone by then.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Weight of the newest attempt in the share of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.15;

/// Time in which half of the failures are forgotten where nothing is tried: an
/// upstream that nobody sends to must get a chance to show that it is well again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Recent outcomes at one upstream; times are on the caller's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failure_rate: f64,
    /// When the share of failures was noted.
    updated_at: Duration,
    consecutive_ejections: u32,
    ejected_until: Duration,
}

impl Health {
    /// An attempt was answered.
    pub fn record_answer(&mut self, now: Duration, failed: bool) {
        self.update_failure_rate(now, failed);
        self.consecutive_ejections = 0;
    }

    /// It could not be reached, or went silent.
    pub fn record_unreachable(&mut self, now: Duration) {
        let ejection = INITIAL_EJECTION * 2_u32.pow(self.consecutive_ejections.min(6));
        self.consecutive_ejections += 1;
        self.update_failure_rate(now, true);
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Another upstream answered in its place, so it is gone, though its
    /// registration is still there.
    pub fn record_displaced(&mut self, now: Duration) {
        self.ejected_until = now + MAX_EJECTION;
    }

    /// It said that it has no room.
    pub fn record_full(&mut self, now: Duration, ejection: Duration) {
        self.ejected_until = self.ejected_until.max(now + ejection);
    }

    /// True while it is left out.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Share of recent attempts that failed, 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn update_failure_rate(&mut self, now: Duration, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_EWMA_WEIGHT * (outcome - failure_rate);
        self.updated_at = now;
    }
}
