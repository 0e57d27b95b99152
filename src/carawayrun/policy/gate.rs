//! Gates between the steps of a cascade.

use std::sync::LazyLock;

use super::estimates::Estimate;
use super::normal;

/// Number of gates that are weighed.
const LEVELS: usize = 16;
/// The lowest gate, in standard deviations from the mean rating.
const LOWEST: f64 = -2.5;
/// Distance between two gates, in standard deviations.
const STEP: f64 = 0.25;

/// A gate, in terms of the distribution of ratings.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GateLevel {
    /// Standard deviations from the mean rating.
    deviations: f64,
    /// Chance of a rating above it.
    pub(crate) above: f64,
    /// Density of the ratings at it.
    pub(crate) density: f64,
}

impl GateLevel {
    /// The rating that the gate asks for.
    pub(crate) fn score(&self, quality: &Estimate) -> f64 {
        self.deviations.mul_add(quality.deviation, quality.mean)
    }
}

/// All gates, the lowest first.
pub(crate) fn gate_levels() -> &'static [GateLevel; LEVELS] {
    static TABLE: LazyLock<[GateLevel; LEVELS]> = LazyLock::new(|| {
        std::array::from_fn(|index| {
            let deviations = STEP.mul_add(index as f64, LOWEST);
            GateLevel {
                deviations,
                above: 1.0 - normal::below(deviations),
                density: normal::density(deviations),
            }
        })
    });
    &TABLE
}
