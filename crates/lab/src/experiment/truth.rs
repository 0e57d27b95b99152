//! True qualities of the versions, which the policy does not see.

use rand::Rng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;

/// Standard deviation of the quality of single answers.
pub(crate) const ANSWER_DEVIATION: f64 = 0.10;
/// Standard deviation of the noise of a rating.
pub(crate) const RATING_NOISE: f64 = 0.08;
/// Share of the variance of answer quality that is due to the request's
/// difficulty, which all versions share.
pub(crate) const SHARED_VARIANCE: f64 = 0.4;
/// Standard deviation of the error of the manifest's initial estimates.
const INITIAL_ESTIMATE_DEVIATION: f64 = 0.05;

/// Mean qualities and initial estimates by version and task, and targets by task.
#[derive(Debug, Clone)]
pub(crate) struct Truth {
    means: Vec<Vec<f64>>,
    initial_estimates: Vec<Vec<f64>>,
    targets: Vec<f64>,
}

/// Quality of one answer and the rating that the rating service would give it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RatedAnswer {
    pub(crate) quality: f64,
    pub(crate) rating: f64,
}

impl Truth {
    /// Draws the qualities, estimates and targets of a deployment.
    pub(crate) fn draw(deployment: &Deployment, rng: &mut SmallRng) -> Self {
        let versions = deployment.versions;
        let means: Vec<Vec<f64>> = (0..versions)
            .map(|index| {
                let rank = index as f64 / (versions - 1) as f64;
                let base = 0.55 + 0.3 * rank.powf(0.7) + 0.01 * sample_normal(rng);
                let tasks = deployment.tasks.iter();
                tasks
                    .map(|task| base + task.ease + 0.015 * sample_normal(rng))
                    .collect()
            })
            .collect();
        let initial_estimates = means
            .iter()
            .map(|tasks| {
                let initial_estimate = |mean: &f64| {
                    (mean + INITIAL_ESTIMATE_DEVIATION * sample_normal(rng)).clamp(0.0, 1.0)
                };
                tasks.iter().map(initial_estimate).collect()
            })
            .collect();
        let targets = (0..deployment.tasks.len())
            .map(|task| best_mean(&means, task) - rng.random_range(0.03..0.15))
            .collect();
        Self {
            means,
            initial_estimates,
            targets,
        }
    }

    pub(crate) fn mean(&self, version: usize, task: usize) -> f64 {
        self.means[version][task]
    }

    pub(crate) fn initial_estimate(&self, version: usize, task: usize) -> f64 {
        self.initial_estimates[version][task]
    }

    pub(crate) fn target(&self, task: usize) -> f64 {
        self.targets[task]
    }

    /// Version with the highest mean quality on a task.
    pub(crate) fn best_version(&self, task: usize) -> usize {
        (0..self.means.len())
            .max_by(|&a, &b| self.means[a][task].total_cmp(&self.means[b][task]))
            .unwrap_or(0)
    }

    /// Draws the answer to a request; `difficulty` is a standard normal value.
    pub(crate) fn answer(
        &self,
        version: usize,
        task: usize,
        difficulty: f64,
        rng: &mut SmallRng,
    ) -> RatedAnswer {
        let own = (1.0 - SHARED_VARIANCE).sqrt() * sample_normal(rng);
        let shared = SHARED_VARIANCE.sqrt() * difficulty;
        let quality = self.means[version][task] + ANSWER_DEVIATION * (own - shared);
        RatedAnswer {
            quality,
            rating: (quality + RATING_NOISE * sample_normal(rng)).clamp(0.0, 1.0),
        }
    }
}

/// Draws a standard normal value (Box and Muller, 1958).
pub(crate) fn sample_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws an exponentially distributed value with the given mean.
pub(crate) fn sample_exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn best_mean(means: &[Vec<f64>], task: usize) -> f64 {
    means
        .iter()
        .map(|tasks| tasks[task])
        .fold(f64::MIN, f64::max)
}
