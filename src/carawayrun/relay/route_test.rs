//! Tests that compare a new version with the old ones, route by route.
//!
//! Each test weighs two families of simple hypotheses by their likelihood: that the
//! version is as good as the old ones, or slightly worse in a way that is tolerated, and
//! that it is bad. The statistic is the logarithm of the largest likelihood of the
//! first family over the largest one of the second. A bad version of the family
//! reaches ln(1/p) with a chance of about p at most, a good one -ln(1/p) (Wald, 1945).
//! See docs/design/evidence-by-route.md.

use super::tally::{RouteDigest, RouteEvidence, RouteTallies, TIME_BINS, Tally, TallyPair};

/// Attempts at the old versions below which nothing is compared with them.
pub const MIN_REFERENCE: f64 = 20.0;

/// Part of the service's requests from which a route is judged apart: fewer answers could
/// not exclude that the new version is bad on it alone.
const MIN_ROUTE_PART: f64 = 0.1;

/// Shares of its requests that a bad version fails or slows down.
const BAD_SHARES: [f64; 3] = [0.3, 0.5, 0.8];

/// Factors by which a bad version slows down requests, in bins: 2.8, 4 and 8.
const BAD_SHIFTS: [usize; 3] = [3, 4, 6];

/// Increases of the share of failures that are tolerated of a new version: about what
/// one failing upstream among 18 adds.
const TOLERATED_FAILURES: [f64; 2] = [0.0, 0.05];

/// Factors by which a new version may be slower on all requests, in bins: 1 and 1.4.
const TOLERATED_SHIFTS: [usize; 2] = [0, 1];

/// Part of a good version's times that may be as slow as a bad one's, so that no single
/// answer decides.
const OUTLIER_SHARE: f64 = 0.05;

/// Times that are added to those of the old versions, evenly over all bins.
const PRIOR_TIMES: f64 = 2.0;

/// Statistics of the tests of one kind of outcome.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statistics {
    /// Against versions that are bad on all routes.
    pub overall: f64,
    /// Against versions that are bad on one route; the least over the routes that are
    /// judged apart.
    pub alone: f64,
}

/// Statistics of all tests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteFindings {
    /// Tests of failures.
    pub failures: Statistics,
    /// Tests of times; `None` if no time of the new version was counted.
    pub times: Option<Statistics>,
}

/// Compares the attempts of `evidence` that `select` returns with the old versions'.
/// Returns `None` without a reference.
pub fn compare(
    evidence: &RouteEvidence,
    select: impl Fn(&RouteTallies) -> &TallyPair,
) -> Option<RouteFindings> {
    let (apart, others) = judged_pairs(evidence, select);
    if apart.is_empty() && others.is_none() {
        return None;
    }
    let pairs = apart.iter().chain(&others);
    let failures: Vec<Likelihoods<2, 3>> = pairs.clone().map(failure_likelihoods).collect();
    let times: Vec<Option<Likelihoods<2, 9>>> = pairs.map(time_likelihoods).collect();
    let has_times = times.iter().any(Option::is_some);
    let times: Vec<Likelihoods<2, 9>> = times.into_iter().map(Option::unwrap_or_default).collect();
    Some(RouteFindings {
        failures: statistics(&failures, apart.len()),
        times: has_times.then(|| statistics(&times, apart.len())),
    })
}

// The attempts of each route that is judged apart, and the sum of the others if it can be
// judged. The old versions' are those since the order: recent ones are too few, and few
// are left once all traffic has moved.
fn judged_pairs(
    evidence: &RouteEvidence,
    select: impl Fn(&RouteTallies) -> &TallyPair,
) -> (Vec<TallyPair>, Option<TallyPair>) {
    let old_attempts = |tallies: &RouteTallies| tallies.all.old.answered;
    let total: f64 = evidence.routes.values().map(old_attempts).sum();
    let least = MIN_REFERENCE.max(total * MIN_ROUTE_PART);
    let mut apart = Vec::new();
    let mut others = TallyPair::default();
    for (route, tallies) in &evidence.routes {
        let (old, new) = (&tallies.all.old, &select(tallies).new);
        if old.answered >= least && *route != RouteDigest::OTHERS {
            apart.push(TallyPair {
                old: *old,
                new: *new,
            });
        } else {
            others.old.add(old);
            others.new.add(new);
        }
    }
    let is_judged = others.old.answered >= MIN_REFERENCE;
    (apart, is_judged.then_some(others))
}

/// Logarithms of the likelihoods of the good and the bad hypotheses on one route.
#[derive(Debug, Clone, Copy)]
struct Likelihoods<const GOOD: usize, const BAD: usize> {
    good: [f64; GOOD],
    bad: [f64; BAD],
}

impl<const GOOD: usize, const BAD: usize> Default for Likelihoods<GOOD, BAD> {
    fn default() -> Self {
        Self {
            good: [0.0; GOOD],
            bad: [0.0; BAD],
        }
    }
}

impl<const GOOD: usize, const BAD: usize> Likelihoods<GOOD, BAD> {
    fn statistic(&self) -> f64 {
        largest(&self.good) - largest(&self.bad)
    }
}

// Statistics of all routes, of which the first `apart` are judged apart.
fn statistics<const GOOD: usize, const BAD: usize>(
    routes: &[Likelihoods<GOOD, BAD>],
    apart: usize,
) -> Statistics {
    let mut sum = Likelihoods::<GOOD, BAD>::default();
    for route in routes {
        for (sum, own) in sum.good.iter_mut().zip(&route.good) {
            *sum += own;
        }
        for (sum, own) in sum.bad.iter_mut().zip(&route.bad) {
            *sum += own;
        }
    }
    let alone = routes[..apart].iter().map(Likelihoods::statistic);
    Statistics {
        overall: sum.statistic(),
        alone: alone.fold(f64::INFINITY, f64::min),
    }
}

fn failure_likelihoods(pair: &TallyPair) -> Likelihoods<2, 3> {
    let TallyPair { old, new } = pair;
    let usual = (old.failed + 0.5) / (old.answered + 1.0);
    let likelihood = |share: f64| {
        let share = share.clamp(0.001, 0.999);
        let sound = (new.answered - new.failed).max(0.0);
        new.failed * share.ln() + sound * (1.0 - share).ln()
    };
    Likelihoods {
        good: TOLERATED_FAILURES.map(|more| likelihood((usual + more).min(1.0))),
        bad: BAD_SHARES.map(|share| likelihood(usual + share * (1.0 - usual))),
    }
}

// Returns `None` if there is no time to compare, or none to compare it with.
fn time_likelihoods(pair: &TallyPair) -> Option<Likelihoods<2, 9>> {
    let TallyPair { old, new } = pair;
    if old.timed() < MIN_REFERENCE || new.timed() <= 0.0 {
        return None;
    }
    let usual = distribution(old);
    let slow = BAD_SHIFTS.map(|shift| shifted(&usual, shift));
    let outliers = mean(&slow);
    let likelihood = |share: f64, base: &[f64; TIME_BINS], slow: &[f64; TIME_BINS]| {
        let bins = new.times.iter().zip(base.iter().zip(slow));
        let logs =
            bins.map(|(count, (base, slow))| count * ((1.0 - share) * base + share * slow).ln());
        logs.sum::<f64>()
    };
    let good = TOLERATED_SHIFTS.map(|shift| {
        let base = shifted(&usual, shift);
        likelihood(OUTLIER_SHARE, &base, &outliers)
    });
    let mut bad = [0.0; 9];
    let hypotheses = BAD_SHARES
        .iter()
        .flat_map(|share| slow.iter().map(move |slow| (*share, slow)));
    for (bad, (share, slow)) in bad.iter_mut().zip(hypotheses) {
        *bad = likelihood(share, &usual, slow);
    }
    Some(Likelihoods { good, bad })
}

// Shares of the bins, none of them zero.
fn distribution(tally: &Tally) -> [f64; TIME_BINS] {
    let total = tally.timed() + PRIOR_TIMES;
    let even = PRIOR_TIMES / TIME_BINS as f64;
    tally.times.map(|count| (count + even) / total)
}

// The distribution of times that are longer by a number of bins.
fn shifted(distribution: &[f64; TIME_BINS], shift: usize) -> [f64; TIME_BINS] {
    let mut shifted = [f64::MIN_POSITIVE; TIME_BINS];
    for (bin, share) in distribution.iter().enumerate() {
        shifted[(bin + shift).min(TIME_BINS - 1)] += share;
    }
    shifted
}

fn mean(distributions: &[[f64; TIME_BINS]; 3]) -> [f64; TIME_BINS] {
    std::array::from_fn(|bin| {
        let sum: f64 = distributions.iter().map(|shares| shares[bin]).sum();
        sum / distributions.len() as f64
    })
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::NEG_INFINITY, f64::max)
}
