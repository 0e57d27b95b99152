//! Upstreams that said in an answer that they are leaving.
//!
//! The word of an upstream counts whatever its registration says: that may lag behind, or
//! be a copy of an earlier one. It binds one incarnation, also after its registration has
//! lapsed and returned.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::rests::{Incarnation, RESTART_LAG};

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
    /// True if this gateway got the answer itself.
    is_own: bool,
    /// End of a notice that may be about the incarnation before; `None` if it is known to
    /// be about this one.
    end: Option<Duration>,
}

impl Notice {
    fn new(is_own: bool, now: Duration) -> Self {
        Self {
            at: now,
            is_own,
            end: None,
        }
    }
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
        let known = self.notices.get(&incarnation);
        let known = known.filter(|notice| notice.end.is_none());
        if known.is_none_or(|notice| is_own && !notice.is_own) {
            let is_new = known.is_none();
            self.notices.insert(incarnation, Notice::new(is_own, now));
            return is_new;
        }
        false
    }

    /// Takes over what an upstream said a moment ago, now that it is known that it has
    /// started again: the word may be the new incarnation's. If it is, that one has left
    /// once `drain_limit` has passed, for which a leaving upstream serves on; if it is
    /// not, the new incarnation is in use from then on. The other gateways are not told.
    pub fn inherit(
        &mut self,
        before: Incarnation,
        after: Incarnation,
        drain_limit: Duration,
        now: Duration,
    ) {
        if let Some(notice) = self.notices.get(&before).copied()
            && notice.at + RESTART_LAG > now
        {
            let inherited = Notice {
                is_own: false,
                end: Some(notice.at + RESTART_LAG + drain_limit),
                ..notice
            };
            self.notices.entry(after).or_insert(inherited);
        }
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

    /// Forgets upstreams that are no longer registered, after a while, and inherited
    /// notices at their end.
    pub fn expire(&mut self, is_registered: impl Fn(Incarnation) -> bool, now: Duration) {
        self.notices.retain(|incarnation, notice| match notice.end {
            Some(end) => end > now,
            None => notice.at + FORGET_AFTER > now || is_registered(*incarnation),
        });
    }
}
