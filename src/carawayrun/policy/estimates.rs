//! Estimates of quality, latency and output length per version and task.

use compact_str::CompactString;
use slotmap::SecondaryMap;

use super::tally::Tally;
use crate::resource::{Version, VersionKey};

/// Weight of the manifest's quality, in ratings.
const PRIOR_RATINGS: f64 = 8.0;
/// Prior standard deviation of a single rating.
const PRIOR_DEVIATION: f64 = 0.2;
/// Prior mean rating if the manifest has no quality for the task.
const PRIOR_QUALITY: f64 = 0.5;
/// Weight of the prior latency and output length, in answers.
const PRIOR_ANSWERS: f64 = 8.0;
/// Prior output length, in tokens.
const PRIOR_TOKENS: f64 = 300.0;
/// Distance of the bounds from the mean, in standard errors. A target has to be met
/// by the lower bound.
const BOUND_STANDARD_ERRORS: f64 = 1.0;
/// Time after which the weight of an outcome has halved, in milliseconds.
const HALF_LIFE_MS: f64 = 6.0 * 3_600_000.0;

/// Estimate of one version's answers on one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean rating in 0..=1.
    pub mean: f64,
    /// Standard error of the mean.
    pub std_error: f64,
    /// Standard deviation of single ratings.
    pub deviation: f64,
    /// Number of recorded ratings, after decay. Prior ratings do not count.
    pub ratings: f64,
    /// Expected time to the first byte, in milliseconds.
    pub first_ms: f64,
    /// Expected time to the last byte, in milliseconds.
    pub total_ms: f64,
    /// Expected output length of one answer, in tokens.
    pub tokens: f64,
}

impl Estimate {
    /// Mean rating minus one standard error.
    pub fn lower_bound(&self) -> f64 {
        BOUND_STANDARD_ERRORS.mul_add(-self.std_error, self.mean)
    }

    /// Mean rating plus one standard error.
    pub fn upper_bound(&self) -> f64 {
        BOUND_STANDARD_ERRORS.mul_add(self.std_error, self.mean)
    }
}

/// Recorded outcomes of each version and task, from which estimates are made.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    versions: SecondaryMap<VersionKey, Vec<TaskTally>>,
}

#[derive(Debug, Clone)]
struct TaskTally {
    task: CompactString,
    tally: Tally,
}

impl Estimates {
    /// Adds outcomes of a version on a task.
    pub fn record_outcomes(&mut self, version: VersionKey, task: &str, outcomes: &Tally) {
        let Some(entry) = self.versions.entry(version) else {
            return;
        };
        let tasks = entry.or_default();
        if let Some(known) = tasks.iter_mut().find(|known| known.task == task) {
            known.tally += outcomes;
            return;
        }
        tasks.push(TaskTally {
            task: task.into(),
            tally: *outcomes,
        });
    }

    /// Reduces the weight of recorded outcomes by `elapsed_ms` milliseconds of age.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let factor = (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2();
        for known in self.versions.values_mut().flatten() {
            known.tally = known.tally.scaled(factor);
        }
    }

    /// Removes the recorded outcomes of a version.
    pub fn reset(&mut self, version: VersionKey) {
        self.versions.remove(version);
    }

    /// Estimates a version on a task. The manifest's values serve as prior, and as
    /// estimate if no outcome is recorded.
    pub fn estimate(&self, key: VersionKey, version: &Version, task: &str) -> Estimate {
        let tally = self.tally(key, task);
        let prior = version.quality.get(task).copied().unwrap_or(PRIOR_QUALITY);
        let ratings = PRIOR_RATINGS + tally.rated;
        let mean = PRIOR_RATINGS.mul_add(prior, tally.rating_sum) / ratings;
        let deviation = deviation(&tally);
        let answers = PRIOR_ANSWERS + tally.answered;
        let prior_ms = version.latency_ms as f64;
        Estimate {
            mean,
            std_error: deviation / ratings.sqrt(),
            deviation,
            ratings: tally.rated,
            first_ms: PRIOR_ANSWERS.mul_add(prior_ms, tally.first_ms) / answers,
            total_ms: PRIOR_ANSWERS.mul_add(prior_ms, tally.total_ms) / answers,
            tokens: PRIOR_ANSWERS.mul_add(PRIOR_TOKENS, tally.tokens) / answers,
        }
    }

    fn tally(&self, key: VersionKey, task: &str) -> Tally {
        self.versions
            .get(key)
            .and_then(|tasks| tasks.iter().find(|known| known.task == task))
            .map_or_else(Tally::default, |known| known.tally)
    }
}

// Standard deviation of single ratings, shrunk towards the prior.
fn deviation(tally: &Tally) -> f64 {
    let mean = tally.mean_rating().unwrap_or(0.0);
    let spread = (tally.rating_squares - tally.rated * mean * mean).max(0.0);
    let prior = PRIOR_RATINGS * PRIOR_DEVIATION * PRIOR_DEVIATION;
    ((prior + spread) / (PRIOR_RATINGS + tally.rated)).sqrt()
}
