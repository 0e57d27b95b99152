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
const SWEEP_AT: usize = 4_096;

/// Points below this may belong to a canary: the greatest share that a canary
/// has on any deployment.
const CANARY_POINT: f64 = 0.2;

/// Most sessions that are told to the other gateways.
const MOST_TOLD: usize = 120;

/// Versions of the sessions that were served lately; times are on the caller's
/// clock.
#[derive(Debug)]
pub struct Sessions {
    gap: Duration,
    versions: FxHashMap<(CompactString, CompactString), (CompactString, Duration)>,
    sweep_at: usize,
    /// Those of them that a canary may take, by digest.
    candidates: FxHashMap<u32, (CompactString, Duration)>,
    /// Those that other gateways keep on an old version, by digest.
    kept_elsewhere: FxHashMap<u32, Duration>,
}

impl Sessions {
    /// Sessions end with a pause of `gap`.
    pub fn new(gap: Duration) -> Self {
        Self {
            gap,
            versions: FxHashMap::default(),
            sweep_at: SWEEP_AT,
            candidates: FxHashMap::default(),
            kept_elsewhere: FxHashMap::default(),
        }
    }

    /// True where another gateway keeps a session on an old version.
    pub fn is_kept(&self, service: &str, session: &str, now: Duration) -> bool {
        let kept = self.kept_elsewhere.get(&digest(service, session));
        kept.is_some_and(|told| now.saturating_sub(*told) <= self.gap * 2)
    }

    /// Sessions under way on another version than `to` that a canary may take.
    pub fn kept(&mut self, to: &str, now: Duration) -> Vec<u32> {
        let gap = self.gap * 2;
        self.candidates
            .retain(|_, (_, used)| now.saturating_sub(*used) <= gap);
        let kept = self.candidates.iter();
        let kept = kept.filter(|(_, (version, _))| version != to);
        kept.map(|(digest, _)| *digest).take(MOST_TOLD).collect()
    }

    /// Takes in the sessions that another gateway keeps.
    pub fn keep(&mut self, digests: &[u32], now: Duration) {
        let gap = self.gap * 2;
        self.kept_elsewhere
            .retain(|_, told| now.saturating_sub(*told) <= gap);
        let told = digests.iter().map(|digest| (*digest, now));
        self.kept_elsewhere.extend(told);
    }

    /// The version of a session's last request at a service.
    pub fn version(&self, service: &str, session: &str, now: Duration) -> Option<&CompactString> {
        let key = (CompactString::from(service), CompactString::from(session));
        let (version, used) = self.versions.get(&key)?;
        (now.saturating_sub(*used) <= self.gap * 2).then_some(version)
    }

    /// Sessions that are remembered.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.versions.len()
    }

    /// A session's request went to a version.
    pub fn used(
        &mut self,
        service: &str,
        session: &str,
        version: &CompactString,
        point: f64,
        now: Duration,
    ) {
        if point < CANARY_POINT {
            let known = (version.clone(), now);
            self.candidates.insert(digest(service, session), known);
        }
        if self.versions.len() >= self.sweep_at {
            let gap = self.gap * 2;
            self.versions
                .retain(|_, (_, used)| now.saturating_sub(*used) <= gap);
            self.sweep_at = SWEEP_AT.max(self.versions.len() * 2);
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
pub struct Claim<'a> {
    /// Point in 0..1 that is the same for a whole session.
    pub point: f64,
    /// True where the request belongs to a session.
    pub has_session: bool,
    /// Version of the session's last request, where it is known.
    pub pinned: Option<&'a str>,
    /// True where another gateway has it on an old version.
    pub is_kept: bool,
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
pub fn takes_new(rollout: &RolloutView, claim: &Claim<'_>) -> bool {
    if rollout.share >= 1.0 || rollout.share <= 0.0 {
        return rollout.share >= 1.0;
    }
    if let Some(pinned) = claim.pinned {
        return pinned == rollout.to;
    }
    if claim.is_kept {
        return false;
    }
    let is_settled = claim.now >= rollout.begun_at + claim.gap;
    claim.point < rollout.share && (is_settled || !claim.has_session)
}
