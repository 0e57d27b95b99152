//! Whether a roll-out goes on, waits or is withdrawn.
//!
//! New and old are compared on requests that the split assigned at random in
//! the same time, by three streams of evidence: failures, slowness and
//! ratings. Each stream is a test that stays valid at any time of looking, so
//! the judgement may be asked for as often as outcomes come in.

use super::binomial::{Null, Share, log_evidence, log_evidence_above};
use super::normal;
use super::tally::Tally;
use crate::resource::Rollout;

/// Part of the tolerance that a good version may lose.
const GOOD_PART: f64 = 0.5;
/// Chance of completing a roll-out of a version that is bad.
const ACCEPT_ERROR: f64 = 0.05;
/// Ratings of each side before ratings are compared.
const LEAST_RATED: f64 = 10.0;
/// Ratings that the first guess of their variance counts for.
const PRIOR_RATED: f64 = 10.0;
/// First guess of the variance of a rating.
const PRIOR_VARIANCE: f64 = 0.04;
/// Difference of mean ratings that the test is most sensitive to.
const EXPECTED_DIFFERENCE: f64 = 0.1;
/// Part of the exposure limit that may be waiting for its ratings.
const PENDING_PART: f64 = 0.1;

/// Outcomes since the current step began, of requests that the split assigned.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Arms {
    /// Of the old version.
    pub old: Tally,
    /// Of the new version.
    pub new: Tally,
}

/// Logarithms of e-values, one per stream.
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

/// What earlier steps of a roll-out have shown. The product of e-values of
/// disjoint periods is an e-value, so their logarithms add up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Progress {
    /// Number of the current step, from zero.
    pub step: usize,
    /// Requests that the new version answered before the current step.
    pub exposed: f64,
    /// Evidence that it is bad, from before the current step.
    pub against: Evidence,
    /// Evidence that it is not bad, from before the current step.
    pub favour: Evidence,
}

/// What to do with a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Keep the share.
    Hold,
    /// Send no new work until ratings of the answered requests arrive or an
    /// operator raises the limit.
    Wait,
    /// Go to a later step.
    Advance {
        /// Number of the step, from zero.
        step: usize,
    },
    /// All traffic goes to the new version.
    Complete,
    /// The new version is bad.
    Withdraw,
}

/// A verdict and the evidence behind it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evaluation {
    /// What to do.
    pub verdict: Verdict,
    /// Evidence that the new version is bad, over all steps.
    pub against: Evidence,
    /// Evidence that it is not bad, over all steps.
    pub favour: Evidence,
    /// Requests that it answered, over all steps.
    pub exposed: f64,
}

impl Evaluation {
    /// The progress from which the next step is judged.
    pub fn progress(&self, step: usize) -> Progress {
        Progress {
            step,
            exposed: self.exposed,
            against: self.against,
            favour: self.favour,
        }
    }
}

/// Judges a roll-out on the outcomes of its current step.
///
/// A version that loses at most half of the tolerance is withdrawn with a
/// chance of at most `error_rate`; one that loses all of it or more completes
/// with a chance of at most five in a hundred.
pub fn evaluate(arms: &Arms, rollout: &Rollout, progress: &Progress) -> Evaluation {
    let tolerance = rollout.tolerance.max(f64::MIN_POSITIVE);
    let against = progress.against.plus(&evidence_against(arms, tolerance));
    let favour = progress.favour.plus(&evidence_for(arms, tolerance));
    let exposed = progress.exposed + arms.new.answered;
    let verdict = verdict(arms, rollout, progress.step, &against, &favour, exposed);
    Evaluation {
        verdict,
        against,
        favour,
        exposed,
    }
}

/// True where `new` fails or is slow more often than `old` by more than
/// `margin`; a version that is as good is called worse with a chance of about
/// `error_rate`. The rates of `old` are taken as known: for versions that have
/// long served most requests.
pub fn is_worse(old: &Tally, new: &Tally, margin: f64, error_rate: f64) -> bool {
    // Two streams of evidence share the chance of an error.
    let threshold = (2.0 / error_rate.max(f64::MIN_POSITIVE)).ln();
    let known = |share: Share| (share.events + 1.0) / (share.trials + 2.0);
    [failed as fn(&Tally) -> Share, slow]
        .into_iter()
        .any(|share| log_evidence_above(share(new), known(share(old)) + margin) >= threshold)
}

fn verdict(
    arms: &Arms,
    rollout: &Rollout,
    step: usize,
    against: &Evidence,
    favour: &Evidence,
    exposed: f64,
) -> Verdict {
    if against.mean() >= -rollout.error_rate.max(f64::MIN_POSITIVE).ln() {
        return Verdict::Withdraw;
    }
    let proven = favour.least() / -ACCEPT_ERROR.ln();
    if proven >= 1.0 {
        return Verdict::Complete;
    }
    let limit = rollout.max_exposure as f64;
    if exposed >= limit || pending(arms) >= limit * PENDING_PART {
        return Verdict::Wait;
    }
    let reached = (proven.max(0.0) * rollout.steps.len() as f64) as usize;
    if reached > step {
        return Verdict::Advance { step: reached };
    }
    Verdict::Hold
}

// Answers of the new version whose ratings may still come.
fn pending(arms: &Arms) -> f64 {
    if arms.old.answered <= 0.0 {
        return 0.0;
    }
    let rated_share = arms.old.rated / arms.old.answered;
    (arms.new.answered * rated_share - arms.new.rated).max(0.0)
}

fn evidence_against(arms: &Arms, tolerance: f64) -> Evidence {
    let margin = tolerance * GOOD_PART;
    Evidence {
        failures: log_evidence(failed(&arms.old), failed(&arms.new), margin, Null::AtMost),
        slow: log_evidence(slow(&arms.old), slow(&arms.new), margin, Null::AtMost),
        ratings: rating_evidence(arms, |loss| loss - margin),
    }
}

fn evidence_for(arms: &Arms, tolerance: f64) -> Evidence {
    Evidence {
        failures: log_evidence(
            failed(&arms.old),
            failed(&arms.new),
            tolerance,
            Null::AtLeast,
        ),
        slow: log_evidence(slow(&arms.old), slow(&arms.new), tolerance, Null::AtLeast),
        ratings: rating_evidence(arms, |loss| tolerance - loss),
    }
}

fn failed(tally: &Tally) -> Share {
    Share {
        events: tally.failed,
        trials: tally.answered,
    }
}

fn slow(tally: &Tally) -> Share {
    Share {
        events: tally.slow,
        trials: tally.answered,
    }
}

// Logarithm of a one-sided normal-mixture e-value (Robbins, 1970; Howard,
// Ramdas, McAuliffe and Sekhon, 2021) on the excess of the loss of the mean
// rating, in information time; valid asymptotically, as the variance is estimated.
fn rating_evidence(arms: &Arms, excess: impl Fn(f64) -> f64) -> f64 {
    let (old, new) = (&arms.old, &arms.new);
    if old.rated < LEAST_RATED || new.rated < LEAST_RATED {
        return 0.0;
    }
    let loss = old.rating_sum / old.rated - new.rating_sum / new.rated;
    let information = 1.0 / (variance(old) / old.rated + variance(new) / new.rated);
    let score = excess(loss) * information;
    let mixing = 1.0 / (EXPECTED_DIFFERENCE * EXPECTED_DIFFERENCE);
    let total = information + mixing;
    let side = 2.0 * normal::below(score / total.sqrt());
    0.5 * (mixing / total).ln() + score * score / (2.0 * total) + side.max(f64::MIN_POSITIVE).ln()
}

fn variance(tally: &Tally) -> f64 {
    let mean = tally.rating_sum / tally.rated;
    let spread = (tally.rating_squares - tally.rated * mean * mean).max(0.0);
    PRIOR_RATED.mul_add(PRIOR_VARIANCE, spread) / (PRIOR_RATED + tally.rated)
}

impl Evidence {
    fn plus(&self, other: &Self) -> Self {
        Self {
            failures: self.failures + other.failures,
            slow: self.slow + other.slow,
            ratings: self.ratings + other.ratings,
        }
    }

    // Logarithm of the mean of the three e-values, which is one again.
    fn mean(&self) -> f64 {
        let most = self.failures.max(self.slow).max(self.ratings);
        let sum =
            (self.failures - most).exp() + (self.slow - most).exp() + (self.ratings - most).exp();
        most + (sum / 3.0).ln()
    }

    fn least(&self) -> f64 {
        self.failures.min(self.slow).min(self.ratings)
    }
}
