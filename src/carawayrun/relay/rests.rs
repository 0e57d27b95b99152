//! Rest that upstreams ask for.
//!
//! Load pattern: an upstream in need turns requests away and names the time for which it
//! wants none from this gateway. Each request that is sent all the same costs it work and
//! the client time. Unlike an ejection, which is this gateway's own guess, a rest holds for
//! all requests, also where no other upstream is left. It belongs to one incarnation of an
//! upstream, and outlasts a registration that lapses and returns. After it, traffic
//! returns by degrees, as all that the others could not take would come at once.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHasher};

use super::view::Upstream;

/// Time after a rest in which the share of requests that may go there rises to all.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// Share with which it begins.
const FIRST_SHARE: f64 = 0.1;

/// Key of one incarnation of an upstream: a restart is not bound by what was said before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the key of an upstream's incarnation.
    pub fn of(upstream: &Upstream) -> Self {
        let mut hasher = FxHasher::default();
        (&upstream.name, upstream.born_ms).hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Key in reports.
    pub fn digest(self) -> u64 {
        self.0
    }

    /// Returns the key that another gateway reported.
    pub fn from_digest(digest: u64) -> Self {
        Self(digest)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Rest {
    end: Duration,
    /// Last answer that asked for it.
    asked_at: Duration,
}

/// Rests of upstreams, also of those that have ended a moment ago. Times are on the
/// caller's clock.
#[derive(Debug, Default)]
pub struct Rests {
    rests: FxHashMap<Incarnation, Rest>,
}

impl Rests {
    /// Records that an upstream asked for rest. A shorter one than is known does not cut
    /// that short. Returns true if the upstream did not rest before.
    pub fn record(&mut self, incarnation: Incarnation, rest: Duration, now: Duration) -> bool {
        self.rests
            .retain(|_, rest| rest.end.saturating_add(RETURN_TIME) > now);
        let known = self.rests.entry(incarnation).or_default();
        let is_new = known.end <= now;
        known.end = known.end.max(now.saturating_add(rest));
        known.asked_at = now;
        is_new
    }

    /// Time of the last answer in which an upstream asked for a rest that has not ended.
    pub(super) fn asked_at(&self, incarnation: Incarnation, now: Duration) -> Option<Duration> {
        let rest = self.rests.get(&incarnation);
        rest.filter(|rest| rest.end > now).map(|rest| rest.asked_at)
    }

    /// Time left of an upstream's rest; zero if it does not rest.
    pub fn time_left(&self, incarnation: Incarnation, now: Duration) -> Duration {
        let rest = self.rests.get(&incarnation);
        rest.map_or(Duration::ZERO, |rest| rest.end.saturating_sub(now))
    }

    /// Share of the requests that may go to an upstream, which is zero while it rests.
    pub fn share(&self, incarnation: Incarnation, now: Duration) -> f64 {
        let Some(rest) = self.rests.get(&incarnation) else {
            return 1.0;
        };
        let Some(since) = now.checked_sub(rest.end) else {
            return 0.0;
        };
        let risen = since.div_duration_f64(RETURN_TIME);
        (1.0 - FIRST_SHARE).mul_add(risen, FIRST_SHARE).min(1.0)
    }

    /// Number of upstreams that rest.
    pub fn count(&self, now: Duration) -> usize {
        self.rests.values().filter(|rest| rest.end > now).count()
    }

    /// Number of rests that are remembered.
    #[cfg(test)]
    pub(crate) fn tracked(&self) -> usize {
        self.rests.len()
    }
}
