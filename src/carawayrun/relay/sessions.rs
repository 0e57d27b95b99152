//! Which version a session is on.
//!
//! A session keeps its version while that may be used. A gateway remembers the
//! sessions that it serves; of others it can only tell where they would begin.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHasher};

use super::view::RolloutView;

/// Sessions after which those that have ended are forgotten.
const MIN_SWEEP_THRESHOLD: usize = 4_096;

/// Points below this may belong to a canary: the greatest share that a canary
/// has on any deployment.
const MAX_CANARY_SHARE: f64 = 0.2;

/// Most sessions that are told to the other gateways.
const MAX_REPORTED_SESSIONS: usize = 120;

/// Versions of the sessions that were served lately; times are on the caller's
/// clock.
#[derive(Debug)]
pub struct Sessions {
    gap: Duration,
    versions: FxHashMap<(CompactString, CompactString), (CompactString, Duration)>,
    sweep_threshold: usize,
    /// Those of them that a canary may take, by digest.
    canary_candidates: FxHashMap<u32, (CompactString, Duration)>,
    /// Those that other gateways keep on an old version, by digest.
    peer_pinned: FxHashMap<u32, Duration>,
}

impl Sessions {
    /// Sessions end with a pause of `gap`.
    pub fn new(gap: Duration) -> Self {
        Self {
            gap,
            versions: FxHashMap::default(),
            sweep_threshold: MIN_SWEEP_THRESHOLD,
            canary_candidates: FxHashMap::default(),
            peer_pinned: FxHashMap::default(),
        }
    }

    /// True where another gateway keeps a session on an old version.
    pub fn is_peer_pinned(&self, service: &str, session: &str, now: Duration) -> bool {
        let pinned = self.peer_pinned.get(&digest(service, session));
        pinned.is_some_and(|reported| now.saturating_sub(*reported) <= self.gap * 2)
    }

    /// Sessions under way on another version than `to` that a canary may take.
    pub fn pinned_sessions(&mut self, to: &str, now: Duration) -> Vec<u32> {
        let gap = self.gap * 2;
        self.canary_candidates
            .retain(|_, (_, used_at)| now.saturating_sub(*used_at) <= gap);
        let pinned = self.canary_candidates.iter();
        let pinned = pinned.filter(|(_, (version, _))| version != to);
        pinned
            .map(|(digest, _)| *digest)
            .take(MAX_REPORTED_SESSIONS)
            .collect()
    }

    /// Takes in the sessions that another gateway keeps.
    pub fn record_peer_pins(&mut self, digests: &[u32], now: Duration) {
        let gap = self.gap * 2;
        self.peer_pinned
            .retain(|_, reported| now.saturating_sub(*reported) <= gap);
        let reported = digests.iter().map(|digest| (*digest, now));
        self.peer_pinned.extend(reported);
    }

    /// The version of a session's last request at a service.
    pub fn pinned_version(
        &self,
        service: &str,
        session: &str,
        now: Duration,
    ) -> Option<&CompactString> {
        let key = (CompactString::from(service), CompactString::from(session));
        let (version, used_at) = self.versions.get(&key)?;
        (now.saturating_sub(*used_at) <= self.gap * 2).then_some(version)
    }

    /// Sessions that are remembered.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.versions.len()
    }

    /// A session's request went to a version.
    pub fn pin(
        &mut self,
        service: &str,
        session: &str,
        version: &CompactString,
        hash_point: f64,
        now: Duration,
    ) {
        if hash_point < MAX_CANARY_SHARE {
            let known = (version.clone(), now);
            self.canary_candidates
                .insert(digest(service, session), known);
        }
        if self.versions.len() >= self.sweep_threshold {
            let gap = self.gap * 2;
            self.versions
                .retain(|_, (_, used_at)| now.saturating_sub(*used_at) <= gap);
            self.sweep_threshold = MIN_SWEEP_THRESHOLD.max(self.versions.len() * 2);
        }
        let key = (CompactString::from(service), CompactString::from(session));
        self.versions.insert(key, (version.clone(), now));
    }
}

fn digest(service: &str, session: &str) -> u32 {
    let mut hasher = FxHasher::default();
    service.hash(&mut hasher);
    session.hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}

/// What decides the version of a request.
#[derive(Debug, Clone, Copy)]
pub struct VersionInput<'a> {
    /// Point in 0..1 that is the same for a whole session.
    pub hash_point: f64,
    /// True where the request belongs to a session.
    pub has_session: bool,
    /// Version of the session's last request, where it is known.
    pub pinned: Option<&'a str>,
    /// True where another gateway has it on an old version.
    pub is_peer_pinned: bool,
    /// The boot clock.
    pub now: Duration,
    /// Longest pause within a session.
    pub gap: Duration,
}

/// True where a request of a service that is rolled out goes to the new version.
///
/// While it is tried, only sessions that began since then may go there: those
/// that any gateway knows stay where they are, and unknown ones may be older
/// until the longest pause of a session has passed.
pub fn uses_new_version(rollout: &RolloutView, input: &VersionInput<'_>) -> bool {
    if rollout.share >= 1.0 || rollout.share <= 0.0 {
        return rollout.share >= 1.0;
    }
    if let Some(pinned) = input.pinned {
        return pinned == rollout.to;
    }
    if input.is_peer_pinned {
        return false;
    }
    let is_settled = input.now >= rollout.started_at + input.gap;
    input.hash_point < rollout.share && (is_settled || !input.has_session)
}
