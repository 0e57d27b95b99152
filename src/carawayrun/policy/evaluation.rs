//! Evaluation of roll-outs: whether one advances, waits or is withdrawn.
//!
//! The old and the new version are compared on requests that the split assigned
//! at random over the same period, by three streams of evidence: failures, slow
//! answers and ratings. Each stream is an anytime-valid sequential test, so a
//! roll-out may be evaluated as often as outcomes arrive.
//!
//! The loss of the new version in a stream is the rise of its share of failures
//! or slow answers, or the drop of its mean rating, compared with the old one.
//! A good version loses at most half of the tolerance in every stream. A bad
//! one loses all of it or more in at least one.

use super::binomial::{NullHypothesis, Proportion, log_evidence, log_evidence_above};
use super::normal;
use super::tally::Tally;
use crate::resource::Rollout;

/// Share of the tolerance that a good version may lose.
const GOOD_TOLERANCE_SHARE: f64 = 0.5;
/// Upper bound of the chance that the roll-out of a bad version completes.
const COMPLETION_ERROR_RATE: f64 = 0.05;
/// Ratings that each version needs before ratings are compared.
const MIN_RATINGS: f64 = 10.0;
/// Weight of the prior variance, in ratings.
const PRIOR_RATINGS: f64 = 10.0;
/// Prior variance of a rating.
const PRIOR_VARIANCE: f64 = 0.04;
/// Difference of mean ratings to which the test is most sensitive.
const EXPECTED_RATING_DIFFERENCE: f64 = 0.1;
/// Share of the exposure limit that may be waiting for ratings.
const MAX_PENDING_SHARE: f64 = 0.1;

/// Outcomes of the requests that the split assigned since the current step began.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Arms {
    /// Outcomes of the old version.
    pub old: Tally,
    /// Outcomes of the new version.
    pub new: Tally,
}

/// Logarithm of the e-value of each stream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Evidence {
    /// From failures.
    pub failures: f64,
    /// From slow answers.
    pub slow: f64,
    /// From ratings.
    pub ratings: f64,
}

/// Evidence from the earlier steps of a roll-out. The product of e-values of
/// disjoint periods is an e-value, so their logarithms add up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Progress {
    /// Index of the current step, from zero.
    pub step: usize,
    /// Requests that the new version answered before the current step.
    pub exposed: f64,
    /// Evidence from before the current step that the new version is not good.
    pub against: Evidence,
    /// Evidence from before the current step that the new version is not bad.
    pub favour: Evidence,
}

/// Next action on a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Keep the current traffic share.
    Hold,
    /// Send no new work until ratings of the answered requests arrive or an
    /// operator raises the limit.
    Wait,
    /// Move on to a later step.
    Advance {
        /// Index of the step, from zero.
        step: usize,
    },
    /// Send all traffic to the new version.
    Complete,
    /// Withdraw the new version because it is not good.
    Withdraw,
}

/// A verdict and the evidence behind it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evaluation {
    /// Next action on the roll-out.
    pub verdict: Verdict,
    /// Evidence that the new version is not good, over all steps.
    pub against: Evidence,
    /// Evidence that the new version is not bad, over all steps.
    pub favour: Evidence,
    /// Requests that the new version answered, over all steps.
    pub exposed: f64,
}

impl Evaluation {
    /// Progress with which `step` is evaluated next.
    pub fn progress(&self, step: usize) -> Progress {
        Progress {
            step,
            exposed: self.exposed,
            against: self.against,
            favour: self.favour,
        }
    }
}

/// Evaluates a roll-out on the outcomes of its current step.
///
/// A good version is withdrawn with a chance of at most `error_rate`. The
/// roll-out of a bad one completes with a chance of at most 5%.
pub fn evaluate(arms: &Arms, rollout: &Rollout, progress: &Progress) -> Evaluation {
    let tolerance = rollout.tolerance.max(f64::MIN_POSITIVE);
    let against = progress.against.plus(&evidence_against(arms, tolerance));
    let favour = progress.favour.plus(&evidence_in_favour(arms, tolerance));
    let exposed = progress.exposed + arms.new.answered;
    let verdict = verdict(arms, rollout, progress.step, &against, &favour, exposed);
    Evaluation {
        verdict,
        against,
        favour,
        exposed,
    }
}

/// Logarithm of the e-value against `events` of `trials` having a rate of at most
/// `bound`.
///
/// At that rate it reaches ln(1/p) with a chance of at most p, however often it is
/// evaluated. A bound from the rate of another version takes that rate as exact, so
/// the other has to be one that has long served most requests.
pub fn log_evidence_of_excess(events: f64, trials: f64, bound: f64) -> f64 {
    log_evidence_above(Proportion { events, trials }, bound)
}

fn verdict(
    arms: &Arms,
    rollout: &Rollout,
    step: usize,
    against: &Evidence,
    favour: &Evidence,
    exposed: f64,
) -> Verdict {
    if against.log_mean() >= -rollout.error_rate.max(f64::MIN_POSITIVE).ln() {
        return Verdict::Withdraw;
    }
    let proven_share = favour.min() / -COMPLETION_ERROR_RATE.ln();
    if proven_share >= 1.0 {
        return Verdict::Complete;
    }
    let limit = rollout.max_exposure as f64;
    if exposed >= limit || pending_ratings(arms) >= limit * MAX_PENDING_SHARE {
        return Verdict::Wait;
    }
    let reached = (proven_share.max(0.0) * rollout.steps.len() as f64) as usize;
    if reached > step {
        return Verdict::Advance { step: reached };
    }
    Verdict::Hold
}

// Answers of the new version whose ratings may still arrive.
fn pending_ratings(arms: &Arms) -> f64 {
    if arms.old.answered <= 0.0 {
        return 0.0;
    }
    let rated_share = arms.old.rated / arms.old.answered;
    (arms.new.answered * rated_share - arms.new.rated).max(0.0)
}

// Evidence that the new version is not good: against a loss of at most half of
// the tolerance.
fn evidence_against(arms: &Arms, tolerance: f64) -> Evidence {
    let margin = tolerance * GOOD_TOLERANCE_SHARE;
    Evidence {
        failures: log_evidence(
            failure_proportion(&arms.old),
            failure_proportion(&arms.new),
            margin,
            NullHypothesis::AtMost,
        ),
        slow: log_evidence(
            slow_proportion(&arms.old),
            slow_proportion(&arms.new),
            margin,
            NullHypothesis::AtMost,
        ),
        ratings: rating_evidence(arms, |loss| loss - margin),
    }
}

// Evidence that the new version is not bad: against a loss of the tolerance or
// more.
fn evidence_in_favour(arms: &Arms, tolerance: f64) -> Evidence {
    Evidence {
        failures: log_evidence(
            failure_proportion(&arms.old),
            failure_proportion(&arms.new),
            tolerance,
            NullHypothesis::AtLeast,
        ),
        slow: log_evidence(
            slow_proportion(&arms.old),
            slow_proportion(&arms.new),
            tolerance,
            NullHypothesis::AtLeast,
        ),
        ratings: rating_evidence(arms, |loss| tolerance - loss),
    }
}

fn failure_proportion(tally: &Tally) -> Proportion {
    Proportion {
        events: tally.failed,
        trials: tally.answered,
    }
}

fn slow_proportion(tally: &Tally) -> Proportion {
    Proportion {
        events: tally.slow,
        trials: tally.answered,
    }
}

// Logarithm of a one-sided normal-mixture e-value (Robbins, 1970; Howard,
// Ramdas, McAuliffe and Sekhon, 2021) on the excess of the loss of the mean
// rating, in information time; valid asymptotically, as the variance is estimated.
fn rating_evidence(arms: &Arms, excess: impl Fn(f64) -> f64) -> f64 {
    let (old, new) = (&arms.old, &arms.new);
    if old.rated < MIN_RATINGS || new.rated < MIN_RATINGS {
        return 0.0;
    }
    let loss = old.rating_sum / old.rated - new.rating_sum / new.rated;
    let information = 1.0 / (rating_variance(old) / old.rated + rating_variance(new) / new.rated);
    let score = excess(loss) * information;
    let mixing = 1.0 / (EXPECTED_RATING_DIFFERENCE * EXPECTED_RATING_DIFFERENCE);
    let total = information + mixing;
    let one_sided = 2.0 * normal::cdf(score / total.sqrt());
    0.5 * (mixing / total).ln()
        + score * score / (2.0 * total)
        + one_sided.max(f64::MIN_POSITIVE).ln()
}

fn rating_variance(tally: &Tally) -> f64 {
    let mean = tally.rating_sum / tally.rated;
    let spread = (tally.rating_squares - tally.rated * mean * mean).max(0.0);
    PRIOR_RATINGS.mul_add(PRIOR_VARIANCE, spread) / (PRIOR_RATINGS + tally.rated)
}

impl Evidence {
    fn plus(&self, other: &Self) -> Self {
        Self {
            failures: self.failures + other.failures,
            slow: self.slow + other.slow,
            ratings: self.ratings + other.ratings,
        }
    }

    // Logarithm of the mean of the three e-values, which is an e-value itself.
    fn log_mean(&self) -> f64 {
        let largest = self.failures.max(self.slow).max(self.ratings);
        let sum = (self.failures - largest).exp()
            + (self.slow - largest).exp()
            + (self.ratings - largest).exp();
        largest + (sum / 3.0).ln()
    }

    fn min(&self) -> f64 {
        self.failures.min(self.slow).min(self.ratings)
    }
}
