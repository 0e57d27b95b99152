//! Finds a version that was good and turns bad with no roll-out under way.

use super::tally::Tally;

/// Ratings that make the reference.
const REFERENCE_RATED: f64 = 200.0;
/// Answers that make the reference.
const REFERENCE_ANSWERED: f64 = 200.0;
/// Loss of mean rating that is looked for.
const LOSS: f64 = 0.1;
/// Share of failures that is looked for, on top of the reference.
const FAILURES: f64 = 0.1;
/// Logarithm of the mean number of outcomes between two false alarms.
const ALARM: f64 = 18.0;
/// Standard errors of the reference that are given away.
const SLACK: f64 = 2.0;
/// Least variance of a rating.
const LEAST_VARIANCE: f64 = 0.005;
/// Least share of failures of the reference.
const LEAST_FAILURES: f64 = 0.005;

/// What a detector found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DriftVerdict {
    /// Nothing new.
    Steady,
    /// Its ratings or failures are worse than they were.
    Worse,
}

/// Compares a version's outcomes on one task with its own past.
///
/// Two CUSUM statistics (Page, 1954) of log likelihood ratios, one on ratings
/// and one on failures; the mean number of outcomes before a false alarm is at
/// least the exponential of the threshold (Lorden, 1971).
#[derive(Debug, Clone, Copy, Default)]
pub struct DriftDetector {
    reference: Tally,
    ratings: f64,
    failures: f64,
}

impl DriftDetector {
    /// Adds the outcomes since the last call.
    pub fn observe(&mut self, outcomes: &Tally) -> DriftVerdict {
        self.observe_ratings(outcomes);
        self.observe_failures(outcomes);
        if self.ratings.max(self.failures) >= ALARM {
            DriftVerdict::Worse
        } else {
            DriftVerdict::Steady
        }
    }

    /// How far it is to an alarm, in 0..=1.
    pub fn level(&self) -> f64 {
        (self.ratings.max(self.failures) / ALARM).min(1.0)
    }

    fn observe_ratings(&mut self, outcomes: &Tally) {
        if self.reference.rated < REFERENCE_RATED {
            self.reference.rated += outcomes.rated;
            self.reference.rating_sum += outcomes.rating_sum;
            self.reference.rating_squares += outcomes.rating_squares;
            return;
        }
        let rated = self.reference.rated;
        let mean = self.reference.rating_sum / rated;
        let spread = self.reference.rating_squares / rated - mean * mean;
        let variance = spread.max(LEAST_VARIANCE);
        let expected = SLACK.mul_add(-(variance / rated).sqrt(), mean);
        let slope = LOSS / variance;
        let shortfall = expected.mul_add(outcomes.rated, -outcomes.rating_sum);
        let step = slope * (shortfall - outcomes.rated * LOSS / 2.0);
        self.ratings = (self.ratings + step).max(0.0);
    }

    fn observe_failures(&mut self, outcomes: &Tally) {
        if self.reference.answered < REFERENCE_ANSWERED {
            self.reference.answered += outcomes.answered;
            self.reference.failed += outcomes.failed;
            return;
        }
        let answered = self.reference.answered;
        let rate = (self.reference.failed / answered).max(LEAST_FAILURES);
        let slack = SLACK * (rate / answered).sqrt();
        let expected = (rate + slack).min(0.5);
        let worse = (expected + FAILURES).min(0.9);
        let per_failure = (worse / expected).ln();
        let per_success = ((1.0 - worse) / (1.0 - expected)).ln();
        let passed = outcomes.answered - outcomes.failed;
        let step = outcomes.failed * per_failure + passed * per_success;
        self.failures = (self.failures + step).max(0.0);
    }
}
