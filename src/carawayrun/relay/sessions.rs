//! Pinning of sessions to versions of a service.
//!
//! A session stays on its version while that version may be used. A gateway
//! remembers the sessions that it serves itself; for other sessions it only knows
//! the version on which a new session would start.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHasher};

use super::view::RolloutView;

/// Number of remembered sessions at which expired ones are removed.
const MIN_SWEEP_THRESHOLD: usize = 4_096;

/// Sessions with a hash point below this may be routed to a canary: the largest
/// canary share of any deployment.
const MAX_CANARY_SHARE: f64 = 0.2;

/// Maximum number of sessions in one report to the other gateways.
pub const MAX_REPORTED_SESSIONS: usize = 120;

/// Versions of recently served sessions. A pin is kept for twice the longest pause
/// of a session. Times are on the caller's clock.
#[derive(Debug)]
pub struct Sessions {
    gap: Duration,
    /// Version and last use of each session, by service and session.
    versions: FxHashMap<(CompactString, CompactString), (CompactString, Duration)>,
    sweep_threshold: usize,
    /// Sessions that a canary could take, by digest.
    canary_candidates: FxHashMap<u32, CanaryCandidate>,
    /// Sessions that other gateways report as pinned to an old version, with the
    /// time of the report, by digest.
    peer_pinned: FxHashMap<u32, Duration>,
}

#[derive(Debug)]
struct CanaryCandidate {
    version: CompactString,
    used_at: Duration,
    hash_point: f64,
}

impl Sessions {
    /// Creates an empty set; `gap` is the longest pause within a session.
    pub fn new(gap: Duration) -> Self {
        Self {
            gap,
            versions: FxHashMap::default(),
            sweep_threshold: MIN_SWEEP_THRESHOLD,
            canary_candidates: FxHashMap::default(),
            peer_pinned: FxHashMap::default(),
        }
    }

    /// Returns true if another gateway has pinned the session to an old version.
    pub fn is_peer_pinned(&self, service: &str, session: &str, now: Duration) -> bool {
        let pinned = self.peer_pinned.get(&digest(service, session));
        pinned.is_some_and(|reported| now.saturating_sub(*reported) <= self.gap * 2)
    }

    /// Digests of active sessions that a canary with this share could take and that
    /// are pinned to another version than `to`; at most [`MAX_REPORTED_SESSIONS`].
    pub fn pinned_sessions(&mut self, to: &str, share: f64, now: Duration) -> Vec<u32> {
        let pin_ttl = self.gap * 2;
        self.canary_candidates
            .retain(|_, candidate| now.saturating_sub(candidate.used_at) <= pin_ttl);
        let pinned = self
            .canary_candidates
            .iter()
            .filter(|(_, candidate)| candidate.version != to && candidate.hash_point < share);
        pinned
            .map(|(digest, _)| *digest)
            .take(MAX_REPORTED_SESSIONS)
            .collect()
    }

    /// Records the sessions that another gateway has pinned.
    pub fn record_peer_pins(&mut self, digests: &[u32], now: Duration) {
        let pin_ttl = self.gap * 2;
        self.peer_pinned
            .retain(|_, reported| now.saturating_sub(*reported) <= pin_ttl);
        let reported = digests.iter().map(|digest| (*digest, now));
        self.peer_pinned.extend(reported);
    }

    /// Version of the session's last request to a service; `None` if there was none
    /// within the lifetime of a pin.
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

    /// Number of remembered sessions.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.versions.len()
    }

    /// Pins a session to the version that its request was sent to.
    pub fn pin(
        &mut self,
        service: &str,
        session: &str,
        version: &CompactString,
        hash_point: f64,
        now: Duration,
    ) {
        if hash_point < MAX_CANARY_SHARE {
            let candidate = CanaryCandidate {
                version: version.clone(),
                used_at: now,
                hash_point,
            };
            self.canary_candidates
                .insert(digest(service, session), candidate);
        }
        if self.versions.len() >= self.sweep_threshold {
            let pin_ttl = self.gap * 2;
            self.versions
                .retain(|_, (_, used_at)| now.saturating_sub(*used_at) <= pin_ttl);
            self.sweep_threshold = MIN_SWEEP_THRESHOLD.max(self.versions.len() * 2);
        }
        let key = (CompactString::from(service), CompactString::from(session));
        self.versions.insert(key, (version.clone(), now));
    }
}

// Digest of a session in reports: 32 bits, not cryptographic, and the same in all
// processes, since gateways exchange it. Sessions may collide.
fn digest(service: &str, session: &str) -> u32 {
    let mut hasher = FxHasher::default();
    service.hash(&mut hasher);
    session.hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}

/// Input to the choice of a request's version.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionInput<'a> {
    /// Hash in 0..1, the same for all requests of a session.
    pub hash_point: f64,
    /// True if the request belongs to a session.
    pub has_session: bool,
    /// Version of the session's last request, if known.
    pub pinned: Option<&'a str>,
    /// True if another gateway has pinned the session to an old version.
    pub is_peer_pinned: bool,
    /// True if all other gateways have told the sessions that they keep on an old
    /// version.
    pub knows_sessions: bool,
    /// Current time on the boot clock.
    pub now: Duration,
    /// Longest pause within a session.
    pub gap: Duration,
}

/// Returns true if a request is routed to the new version of a roll-out.
///
/// During the canary phase only sessions that began after it started may use the
/// new version. A session known to any gateway stays on its version, and an
/// unknown one may be older until all gateways have told theirs or the longest pause
/// of a session has passed. Later sessions move from the old version to the new one,
/// never back.
pub fn uses_new_version(rollout: &RolloutView, input: &VersionInput<'_>) -> bool {
    if rollout.share >= 1.0 || rollout.share <= 0.0 {
        return rollout.share >= 1.0;
    }
    if input.pinned.is_some_and(|pinned| pinned == rollout.to) {
        return true;
    }
    let share = if input.has_session {
        rollout.session_share
    } else {
        rollout.share
    };
    if rollout.moves_sessions {
        return input.hash_point < share;
    }
    if input.pinned.is_some() || input.is_peer_pinned {
        return false;
    }
    let is_settled = input.knows_sessions || input.now >= rollout.started_at + input.gap;
    input.hash_point < share && (is_settled || !input.has_session)
}
