//! What a gateway's own attempts say about an upstream.
//!
//! Load pattern: upstreams crash under a burst, and their registrations stay
//! for seconds. One that can't be reached is left out for a moment that doubles
//! with each further try; one that fails a part of its requests is only made
//! less attractive, as its failures can't be told from the requests' own.

use std::time::Duration;

/// First time for which an unreachable upstream is left out.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest such time; registrations of crashed upstreams are gone by then.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest attempt in the share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// Time in which half of the failures are forgotten where nothing is tried: an
/// upstream that nobody sends to must get a chance to show that it is well again.
const FORGOTTEN_IN: Duration = Duration::from_secs(4);

/// Recent outcomes at one upstream; times are on the caller's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failing: f64,
    /// When the share of failures was noted.
    noted_at: Duration,
    strikes: u32,
    paused_until: Duration,
}

impl Health {
    /// An attempt was answered.
    pub fn answered(&mut self, now: Duration, failed: bool) {
        self.note(now, failed);
        self.strikes = 0;
    }

    /// It could not be reached, or went silent.
    pub fn unreachable(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.strikes.min(6));
        self.strikes += 1;
        self.note(now, true);
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Another upstream answered in its place, so it is gone, though its
    /// registration is still there.
    pub fn displaced(&mut self, now: Duration) {
        self.paused_until = now + LONGEST_PAUSE;
    }

    /// It said that it has no room.
    pub fn full(&mut self, now: Duration, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// True while it is left out.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Share of recent attempts that failed, 0 to 1.
    pub fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        self.failing * 0.5_f64.powf(age.as_secs_f64() / FORGOTTEN_IN.as_secs_f64())
    }

    fn note(&mut self, now: Duration, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        let failing = self.failing(now);
        self.failing = failing + NEWEST_WEIGHT * (outcome - failing);
        self.noted_at = now;
    }
}
