//! Fair shares among the teams that compete for room.
//!
//! Load pattern: one team sends many times its usual, and takes the room of all others.
//! Weighted max-min fairness: a team that wants less than its share gets all it wants, and
//! what it leaves goes to the others in proportion to their weights.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::loads::name_digest;

/// Weights of the teams that the settings name; 1 for all others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamWeights {
    by_team: Arc<FxHashMap<u32, f64>>,
}

impl TeamWeights {
    /// Weights by the names of teams, each more than zero.
    pub fn new<'a>(weights: impl IntoIterator<Item = (&'a str, f64)>) -> Self {
        let weights = weights.into_iter();
        let by_team = weights.map(|(team, weight)| (name_digest(team), weight));
        Self {
            by_team: Arc::new(by_team.collect()),
        }
    }

    /// Weight of the team with a digest.
    pub(super) fn weight(&self, team: u32) -> f64 {
        self.by_team.get(&team).copied().unwrap_or(1.0)
    }
}

/// What a team wants.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    pub(super) demand: f64,
    pub(super) weight: f64,
}

/// Places for each unit of weight of a team that wants more than its share, where teams
/// with these `claims` compete for `places`; infinite if all of them fit.
pub(super) fn fair_level(claims: &[Claim], places: f64) -> f64 {
    let by_weight = |claim: &Claim| claim.demand / claim.weight;
    let mut sorted = claims.to_vec();
    sorted.sort_by(|one, other| by_weight(one).total_cmp(&by_weight(other)));
    let mut left = places;
    let mut weights: f64 = sorted.iter().map(|claim| claim.weight).sum();
    for claim in sorted {
        let level = left / weights;
        if by_weight(&claim) > level {
            return level;
        }
        left -= claim.demand;
        weights -= claim.weight;
    }
    f64::INFINITY
}
