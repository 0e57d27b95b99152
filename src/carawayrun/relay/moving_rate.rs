//! Rate of what comes in, over a window that decays exponentially.

use std::time::Duration;

/// Decayed sum of amounts. Times are on the caller's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct MovingRate {
    /// Time in which an amount falls to 1/e.
    window: Duration,
    sum: f64,
    at: Duration,
}

impl MovingRate {
    /// Creates the rate of nothing.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            sum: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Creates the rate of nothing, over a window in which an amount falls to half within
    /// `half_life`.
    pub(super) fn with_half_life(half_life: Duration) -> Self {
        Self::new(half_life.div_f64(std::f64::consts::LN_2))
    }

    /// Records an amount.
    pub(super) fn record(&mut self, amount: f64, now: Duration) {
        self.sum = self.decayed(now) + amount;
        self.at = now;
    }

    /// Amount per second.
    pub(super) fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / self.window.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.sum * (-age.div_duration_f64(self.window)).exp()
    }
}
