//! Upstreams that said in an answer that they are leaving.
//!
//! The word of an upstream counts whatever its registration says: that may lag behind, or
//! be a copy of an earlier one. It binds one incarnation, also after its registration has
//! lapsed and returned.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::rests::Incarnation;

/// Time for which the other gateways are told of an answer: some reports may be lost.
const TELL_FOR: Duration = Duration::from_secs(10);

/// Time after which an upstream that is not registered is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Most upstreams in a report, to leave room for the rest of a datagram.
const MAX_REPORTED: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Notice {
    /// Time at which it was first heard of.
    at: Duration,
    /// Time at which it was last heard of.
    last_at: Duration,
    /// True if this gateway got the answer itself.
    is_own: bool,
}

/// Upstreams that are leaving. Times are on the caller's clock.
#[derive(Debug, Default)]
pub struct Departures {
    notices: FxHashMap<Incarnation, Notice>,
}

impl Departures {
    /// Records that an upstream said that it is leaving, in an answer to this gateway if
    /// `is_own`. Returns true if that is new.
    pub fn record(&mut self, incarnation: Incarnation, is_own: bool, now: Duration) -> bool {
        let first = Notice {
            at: now,
            last_at: now,
            is_own,
        };
        let Some(known) = self.notices.get_mut(&incarnation) else {
            self.notices.insert(incarnation, first);
            return true;
        };
        known.last_at = now;
        if is_own && !known.is_own {
            *known = first;
        }
        false
    }

    /// Time at which it was last heard that an upstream is leaving.
    pub(super) fn heard_at(&self, incarnation: Incarnation) -> Option<Duration> {
        self.notices.get(&incarnation).map(|notice| notice.last_at)
    }

    /// Returns true if the upstream is leaving.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.notices.contains_key(&incarnation)
    }

    /// Upstreams that said so to this gateway a moment ago, the newest first.
    pub fn reported(&self, now: Duration) -> Vec<Incarnation> {
        let own = self.notices.iter().filter(|(_, notice)| notice.is_own);
        let recent = own.filter(|(_, notice)| notice.at + TELL_FOR > now);
        let mut recent: Vec<(Duration, Incarnation)> = recent
            .map(|(incarnation, notice)| (notice.at, *incarnation))
            .collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        recent.truncate(MAX_REPORTED);
        recent.into_iter().map(|(_, key)| key).collect()
    }

    /// Forgets upstreams that are no longer registered, after a while.
    pub fn expire(&mut self, is_registered: impl Fn(Incarnation) -> bool, now: Duration) {
        self.notices.retain(|incarnation, notice| {
            notice.at + FORGET_AFTER > now || is_registered(*incarnation)
        });
    }
}
