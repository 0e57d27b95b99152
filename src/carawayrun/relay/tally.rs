//! Counts of attempts by route, for the evaluation of roll-outs.
//!
//! Routes of one service differ in how often they fail and how long they take, so
//! a version is compared route by route. Times are counted in bins of a logarithmic
//! scale: a version that takes a multiple of the usual time shifts them by a whole
//! number of bins.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

/// Bins of times. Bin `k` begins at 2^(k/2) milliseconds; the first one holds shorter
/// times too, the last one longer ones.
pub const TIME_BINS: usize = 28;

/// Bins by which a time grows when it doubles.
pub const BINS_PER_DOUBLING: f64 = 2.0;

/// Largest number of routes in a [`RouteEvidence`]; others are counted together.
pub const MAX_ROUTES: usize = 6;

/// Digest of a route's name, the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RouteDigest(pub u32);

impl RouteDigest {
    /// Stands for all routes that are not counted apart.
    pub const OTHERS: Self = Self(0);

    /// Digest of the route `name`.
    pub fn of(name: &str) -> Self {
        let mut hasher = FxHasher::default();
        name.hash(&mut hasher);
        Self((hasher.finish() >> 32) as u32)
    }
}

/// Service, version and route of a [`Tally`].
pub type TallyKey = (CompactString, CompactString, RouteDigest);

/// Attempts of one route at one version, by outcome.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tally {
    /// Attempts that were answered or lost, failed ones included.
    pub answered: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Attempts by time to the first byte; without those that failed before it and
    /// those at engines, whose times depend on the prompt.
    pub times: [f64; TIME_BINS],
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            answered: 0.0,
            failed: 0.0,
            times: [0.0; TIME_BINS],
        }
    }
}

impl Tally {
    /// One attempt that was answered or lost.
    pub fn of_answer(failed: bool) -> Self {
        Self {
            answered: 1.0,
            failed: f64::from(u8::from(failed)),
            ..Self::default()
        }
    }

    /// One time to the first byte.
    pub fn of_time(first_byte: Duration) -> Self {
        let mut tally = Self::default();
        tally.times[time_bin(first_byte)] = 1.0;
        tally
    }

    /// Number of timed attempts.
    pub fn timed(&self) -> f64 {
        self.times.iter().sum()
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, |sum, other| sum + other);
    }

    /// Attempts since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let mut since = *self;
        since.combine(before, |now, before| now - before);
        since
    }

    fn combine(&mut self, other: &Self, f: impl Fn(f64, f64) -> f64) {
        self.answered = f(self.answered, other.answered);
        self.failed = f(self.failed, other.failed);
        for (own, other) in self.times.iter_mut().zip(&other.times) {
            *own = f(*own, *other);
        }
    }
}

// Bin of a time.
fn time_bin(time: Duration) -> usize {
    let ms = time.as_secs_f64() * 1_000.0;
    let bin = (ms.log2() * BINS_PER_DOUBLING).floor();
    bin.clamp(0.0, (TIME_BINS - 1) as f64) as usize
}

/// Tallies of the old versions and of the new one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TallyPair {
    /// Attempts at all other versions of the service.
    pub old: Tally,
    /// Attempts at the new version.
    pub new: Tally,
}

impl TallyPair {
    fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }
}

/// Tallies of one route since the order, and recent ones that decay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RouteTallies {
    /// Attempts since the order.
    pub all: TallyPair,
    /// Attempts with exponential decay.
    pub recent: TallyPair,
}

impl RouteTallies {
    /// Adds other tallies.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.recent.add(&other.recent);
    }
}

/// Tallies of the routes of a roll-out's service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteEvidence {
    /// By route; those without an attempt are left out.
    pub routes: BTreeMap<RouteDigest, RouteTallies>,
}

impl RouteEvidence {
    /// Adds another gateway's tallies.
    pub fn add(&mut self, other: &Self) {
        for (route, tallies) in &other.routes {
            self.routes.entry(*route).or_default().add(tallies);
        }
    }

    /// Replaces the tallies since the order with `all`; recent ones are multiplied by
    /// `decay` before what is new is added.
    pub fn update(&mut self, all: BTreeMap<RouteDigest, TallyPair>, decay: f64) {
        for tallies in self.routes.values_mut() {
            let scale = |tally: &mut Tally| {
                tally.combine(&Tally::default(), |count, _| count * decay);
            };
            scale(&mut tallies.recent.old);
            scale(&mut tallies.recent.new);
        }
        for (route, pair) in all {
            let known = self.routes.entry(route).or_default();
            known.recent.old.add(&pair.old.since(&known.all.old));
            known.recent.new.add(&pair.new.since(&known.all.new));
            known.all = pair;
        }
    }

    /// The [`MAX_ROUTES`] routes with most attempts, and the sum of the others.
    #[must_use]
    pub fn largest(&self) -> Self {
        let attempts = |tallies: &RouteTallies| tallies.all.old.answered + tallies.all.new.answered;
        let mut sorted: Vec<_> = self.routes.iter().collect();
        sorted.sort_by(|a, b| attempts(b.1).total_cmp(&attempts(a.1)));
        let mut largest = Self::default();
        for (index, (route, tallies)) in sorted.into_iter().enumerate() {
            let route = if index < MAX_ROUTES {
                *route
            } else {
                RouteDigest::OTHERS
            };
            largest.routes.entry(route).or_default().add(tallies);
        }
        largest
    }
}

impl fmt::Display for RouteEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (route, tallies)) in self.routes.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            let TallyPair { old, new } = &tallies.all;
            write!(f, "{separator}{:08x} old {old} new {new}", route.0)?;
        }
        Ok(())
    }
}

impl fmt::Display for Tally {
    /// Writes failed and answered attempts, and the times from the first bin that is not
    /// empty.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0}/{:.0}", self.failed, self.answered)?;
        let Some(first) = self.times.iter().position(|count| *count > 0.0) else {
            return Ok(());
        };
        let last = self.times.iter().rposition(|count| *count > 0.0);
        write!(f, " from bin {first}:")?;
        for count in &self.times[first..=last.unwrap_or(first)] {
            write!(f, " {count:.0}")?;
        }
        Ok(())
    }
}
