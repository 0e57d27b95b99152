//! Sums of request outcomes.

use std::ops::{AddAssign, Sub};

/// Outcomes of one version on one task.
///
/// All fields are sums, so tallies of several gateways merge by addition and
/// the outcomes of a period are the difference of two tallies. After decay the
/// counts are weights and no longer whole numbers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tally {
    /// Number of requests that ended, including failures.
    pub answered: f64,
    /// Number of requests that failed because of this system or the upstream.
    pub failed: f64,
    /// Number of requests that exceeded the latency of their task.
    pub slow: f64,
    /// Number of answers with a rating.
    pub rated: f64,
    /// Sum of the ratings, each in 0..=1.
    pub rating_sum: f64,
    /// Sum of the squares of the ratings.
    pub rating_squares: f64,
    /// Sum of the times to the first byte, in milliseconds.
    pub first_ms: f64,
    /// Sum of the times to the last byte, in milliseconds.
    pub total_ms: f64,
    /// Sum of the generated tokens.
    pub tokens: f64,
}

impl Tally {
    /// Adds one request that ended.
    pub fn record_answer(&mut self, failed: bool, slow: bool) {
        self.answered += 1.0;
        self.failed += f64::from(u8::from(failed));
        self.slow += f64::from(u8::from(slow));
    }

    /// Adds the times, in milliseconds, and the generated tokens of one request
    /// that ended.
    pub fn record_measurements(&mut self, first_ms: u64, total_ms: u64, tokens: u64) {
        self.first_ms += first_ms as f64;
        self.total_ms += total_ms as f64;
        self.tokens += tokens as f64;
    }

    /// Adds one rating; values outside 0..=1 are clamped.
    pub fn record_rating(&mut self, score: f64) {
        let score = score.clamp(0.0, 1.0);
        self.rated += 1.0;
        self.rating_sum += score;
        self.rating_squares += score * score;
    }

    /// Mean rating, or `None` without ratings.
    pub fn mean_rating(&self) -> Option<f64> {
        (self.rated > 0.0).then(|| self.rating_sum / self.rated)
    }

    /// Multiplies every sum by `factor`, as for decay.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            answered: self.answered * factor,
            failed: self.failed * factor,
            slow: self.slow * factor,
            rated: self.rated * factor,
            rating_sum: self.rating_sum * factor,
            rating_squares: self.rating_squares * factor,
            first_ms: self.first_ms * factor,
            total_ms: self.total_ms * factor,
            tokens: self.tokens * factor,
        }
    }
}

impl AddAssign<&Self> for Tally {
    fn add_assign(&mut self, rhs: &Self) {
        self.answered += rhs.answered;
        self.failed += rhs.failed;
        self.slow += rhs.slow;
        self.rated += rhs.rated;
        self.rating_sum += rhs.rating_sum;
        self.rating_squares += rhs.rating_squares;
        self.first_ms += rhs.first_ms;
        self.total_ms += rhs.total_ms;
        self.tokens += rhs.tokens;
    }
}

impl Sub for Tally {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        let mut difference = self;
        difference += &rhs.scaled(-1.0);
        difference
    }
}
