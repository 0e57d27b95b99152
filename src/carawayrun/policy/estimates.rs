//! What is known of each version's answers on each task.

use compact_str::CompactString;
use slotmap::SecondaryMap;

use super::tally::Tally;
use crate::resource::{Version, VersionKey};

/// Ratings that the manifest's first guess counts for.
const PRIOR_RATINGS: f64 = 8.0;
/// Standard deviation of single ratings before any came.
const PRIOR_DEVIATION: f64 = 0.2;
/// Mean rating where the manifest has no guess for the task.
const PRIOR_QUALITY: f64 = 0.5;
/// Answers that the manifest's guess of latency and length counts for.
const PRIOR_ANSWERS: f64 = 8.0;
/// Output length before any answer, in tokens.
const PRIOR_TOKENS: f64 = 300.0;
/// Standard errors taken off the mean where a target has to be met.
const CAUTION: f64 = 1.0;
/// Time after which an outcome counts for half, in milliseconds.
const HALF_LIFE_MS: f64 = 6.0 * 3_600_000.0;

/// Estimates of one version on one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean rating in 0..=1.
    pub mean: f64,
    /// Standard error of the mean.
    pub error: f64,
    /// Standard deviation of single ratings.
    pub deviation: f64,
    /// Ratings behind it, after forgetting.
    pub ratings: f64,
    /// Expected time to the first byte, in milliseconds.
    pub first_ms: f64,
    /// Expected time to the last byte, in milliseconds.
    pub total_ms: f64,
    /// Expected output length, in tokens.
    pub tokens: f64,
}

impl Estimate {
    /// The mean less its uncertainty.
    pub fn lower_bound(&self) -> f64 {
        CAUTION.mul_add(-self.error, self.mean)
    }

    /// The mean plus its uncertainty.
    pub fn upper_bound(&self) -> f64 {
        CAUTION.mul_add(self.error, self.mean)
    }
}

/// Learned quality, latency and output length of each version and task.
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

    /// Lets the past count for less after `elapsed_ms` milliseconds.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let factor = (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2();
        for known in self.versions.values_mut().flatten() {
            known.tally = known.tally.scaled(factor);
        }
    }

    /// Drops what was learned of a version.
    pub fn reset(&mut self, version: VersionKey) {
        self.versions.remove(version);
    }

    /// The estimate for a version on a task, from the manifest's first guess
    /// where nothing was learned.
    pub fn estimate(&self, key: VersionKey, version: &Version, task: &str) -> Estimate {
        let tally = self.tally(key, task);
        let prior = version.quality.get(task).copied().unwrap_or(PRIOR_QUALITY);
        let ratings = PRIOR_RATINGS + tally.rated;
        let mean = PRIOR_RATINGS.mul_add(prior, tally.rating_sum) / ratings;
        let deviation = deviation(&tally);
        let answers = PRIOR_ANSWERS + tally.answered;
        let first_guess = version.latency_ms as f64;
        Estimate {
            mean,
            error: deviation / ratings.sqrt(),
            deviation,
            ratings: tally.rated,
            first_ms: PRIOR_ANSWERS.mul_add(first_guess, tally.first_ms) / answers,
            total_ms: PRIOR_ANSWERS.mul_add(first_guess, tally.total_ms) / answers,
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

fn deviation(tally: &Tally) -> f64 {
    let mean = tally.mean_rating().unwrap_or(0.0);
    let spread = (tally.rating_squares - tally.rated * mean * mean).max(0.0);
    let prior = PRIOR_RATINGS * PRIOR_DEVIATION * PRIOR_DEVIATION;
    ((prior + spread) / (PRIOR_RATINGS + tally.rated)).sqrt()
}
