//! Fair shares among the teams that compete for room.
//!
//! Load pattern: one team sends many times its usual, and takes the room of all others.
//! Max-min fairness: a team that wants less than its share gets all it wants, and what it
//! leaves goes to the others.

/// Places of a team that wants more than its share, where teams with these `demands`
/// compete for `places`; infinite if all of them fit.
pub(super) fn fair_level(demands: &[f64], places: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = places;
    for (index, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *demand > level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
