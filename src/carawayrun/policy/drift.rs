//! Detects a version that gets worse while no roll-out is under way.

use super::tally::Tally;

/// Number of ratings that form the reference.
const REFERENCE_RATINGS: f64 = 200.0;
/// Number of answers that form the reference.
const REFERENCE_ANSWERS: f64 = 200.0;
/// Loss of mean rating to detect.
const RATING_LOSS: f64 = 0.1;
/// Increase of the failure rate over the reference to detect.
const FAILURE_INCREASE: f64 = 0.1;
/// Alarm threshold: the logarithm of the mean number of outcomes between two false
/// alarms.
const ALARM_THRESHOLD: f64 = 18.0;
/// Tolerance for the uncertainty of the reference, in standard errors.
const SLACK_STANDARD_ERRORS: f64 = 2.0;
/// Lower bound on the variance of a rating.
const MIN_RATING_VARIANCE: f64 = 0.005;
/// Lower bound on the failure rate of the reference.
const MIN_FAILURE_RATE: f64 = 0.005;

/// Result of an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DriftVerdict {
    /// No loss of quality was found.
    Steady,
    /// The version's ratings or failures are worse than the reference.
    Worse,
}

/// Compares a version's outcomes on one task with its own earlier outcomes.
///
/// Two CUSUM statistics (Page, 1954) of log likelihood ratios, one on ratings
/// and one on failures. The mean number of outcomes before a false alarm is at
/// least the exponential of the threshold (Lorden, 1971).
#[derive(Debug, Clone, Copy, Default)]
pub struct DriftDetector {
    reference: Tally,
    rating_cusum: f64,
    failure_cusum: f64,
}

impl DriftDetector {
    /// Adds the outcomes since the last call and returns whether the version got
    /// worse.
    pub fn observe(&mut self, outcomes: &Tally) -> DriftVerdict {
        self.observe_ratings(outcomes);
        self.observe_failures(outcomes);
        if self.rating_cusum.max(self.failure_cusum) >= ALARM_THRESHOLD {
            DriftVerdict::Worse
        } else {
            DriftVerdict::Steady
        }
    }

    /// The larger statistic as a share of the alarm threshold, in 0..=1.
    pub fn level(&self) -> f64 {
        (self.rating_cusum.max(self.failure_cusum) / ALARM_THRESHOLD).min(1.0)
    }

    fn observe_ratings(&mut self, outcomes: &Tally) {
        if self.reference.rated < REFERENCE_RATINGS {
            self.reference.rated += outcomes.rated;
            self.reference.rating_sum += outcomes.rating_sum;
            self.reference.rating_squares += outcomes.rating_squares;
            return;
        }
        let rated = self.reference.rated;
        let mean = self.reference.rating_sum / rated;
        let spread = self.reference.rating_squares / rated - mean * mean;
        let variance = spread.max(MIN_RATING_VARIANCE);
        let expected = SLACK_STANDARD_ERRORS.mul_add(-(variance / rated).sqrt(), mean);
        let slope = RATING_LOSS / variance;
        let shortfall = expected.mul_add(outcomes.rated, -outcomes.rating_sum);
        let increment = slope * (shortfall - outcomes.rated * RATING_LOSS / 2.0);
        self.rating_cusum = (self.rating_cusum + increment).max(0.0);
    }

    fn observe_failures(&mut self, outcomes: &Tally) {
        if self.reference.answered < REFERENCE_ANSWERS {
            self.reference.answered += outcomes.answered;
            self.reference.failed += outcomes.failed;
            return;
        }
        let answered = self.reference.answered;
        let reference_rate = (self.reference.failed / answered).max(MIN_FAILURE_RATE);
        let slack = SLACK_STANDARD_ERRORS * (reference_rate / answered).sqrt();
        let expected = (reference_rate + slack).min(0.5);
        let worse_rate = (expected + FAILURE_INCREASE).min(0.9);
        let failure_weight = (worse_rate / expected).ln();
        let success_weight = ((1.0 - worse_rate) / (1.0 - expected)).ln();
        let succeeded = outcomes.answered - outcomes.failed;
        let increment = outcomes.failed * failure_weight + succeeded * success_weight;
        self.failure_cusum = (self.failure_cusum + increment).max(0.0);
    }
}
