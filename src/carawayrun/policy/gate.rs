//! Gates between the steps of a cascade.

use std::sync::LazyLock;

use super::estimates::Estimate;
use super::normal;

/// Number of gate levels to choose from.
const GATE_LEVELS: usize = 16;
/// Lowest gate level, in standard deviations from the mean rating.
const LOWEST_DEVIATIONS: f64 = -2.5;
/// Distance between two gate levels, in standard deviations.
const STEP_DEVIATIONS: f64 = 0.25;

/// A gate relative to the distribution of ratings.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GateLevel {
    /// Standard deviations from the mean rating.
    deviations: f64,
    /// Chance of a rating above the gate.
    pub(crate) pass_chance: f64,
    /// Density of the ratings at the gate.
    pub(crate) density: f64,
}

impl GateLevel {
    /// Least rating that passes the gate.
    pub(crate) fn score(&self, estimate: &Estimate) -> f64 {
        self.deviations.mul_add(estimate.deviation, estimate.mean)
    }
}

/// All gate levels in ascending order.
pub(crate) fn gate_levels() -> &'static [GateLevel; GATE_LEVELS] {
    static TABLE: LazyLock<[GateLevel; GATE_LEVELS]> = LazyLock::new(|| {
        std::array::from_fn(|index| {
            let deviations = STEP_DEVIATIONS.mul_add(index as f64, LOWEST_DEVIATIONS);
            GateLevel {
                deviations,
                pass_chance: 1.0 - normal::cdf(deviations),
                density: normal::pdf(deviations),
            }
        })
    });
    &TABLE
}
