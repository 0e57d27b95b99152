//! Which version a session is on.
//!
//! A session keeps its version while that may be used. A gateway remembers the
//! sessions that it serves; of others it can only tell where they would begin.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::view::RolloutView;

/// Sessions after which those that have ended are forgotten.
const SWEEP_AT: usize = 4_096;

/// Versions of the sessions that were served lately; times are on the caller's
/// clock.
#[derive(Debug)]
pub struct Sessions {
    gap: Duration,
    versions: FxHashMap<(CompactString, CompactString), (CompactString, Duration)>,
    sweep_at: usize,
}

impl Sessions {
    /// Sessions end with a pause of `gap`.
    pub fn new(gap: Duration) -> Self {
        Self {
            gap,
            versions: FxHashMap::default(),
            sweep_at: SWEEP_AT,
        }
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
    pub fn used(&mut self, service: &str, session: &str, version: &CompactString, now: Duration) {
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

/// What decides the version of a request.
#[derive(Debug, Clone, Copy)]
pub struct Claim<'a> {
    /// Point in 0..1 that is the same for a whole session.
    pub point: f64,
    /// True where the request belongs to a session.
    pub has_session: bool,
    /// Version of the session's last request, where it is known.
    pub pinned: Option<&'a str>,
    /// The boot clock.
    pub now: Duration,
    /// Longest pause within a session.
    pub gap: Duration,
}

/// True where a request of a service that is rolled out goes to the new version.
///
/// While it is tried, only sessions that began since then may go there: those
/// that this gateway knows stay where they are, and unknown ones may be older
/// until the longest pause of a session has passed.
pub fn takes_new(rollout: &RolloutView, claim: &Claim<'_>) -> bool {
    if rollout.share >= 1.0 || rollout.share <= 0.0 {
        return rollout.share >= 1.0;
    }
    if let Some(pinned) = claim.pinned {
        return pinned == rollout.to;
    }
    let is_settled = claim.now >= rollout.begun_at + claim.gap;
    claim.point < rollout.share && (is_settled || !claim.has_session)
}
