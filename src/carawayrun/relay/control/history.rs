//! Latest writes of the upstreams' registrations. A store that was restored from a
//! copy shows earlier ones again until the upstreams write their next.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::Registration;

/// Time for which a removed registration is remembered. A copy is some seconds old
/// and its rows expire within seconds of the store's return.
const REMOVED_TTL: Duration = Duration::from_mins(1);

/// Latest write of each registration.
#[derive(Debug, Default)]
pub(super) struct RegistrationHistory {
    writes: FxHashMap<CompactString, LatestWrite>,
}

#[derive(Debug)]
struct LatestWrite {
    born_ms: u64,
    sequence: u64,
    removed_at: Option<Duration>,
}

impl RegistrationHistory {
    /// Records a registration that was read.
    pub(super) fn record(&mut self, registration: &Registration) {
        let upstream = &registration.upstream;
        let Some(sequence) = registration.sequence else {
            self.writes.remove(&upstream.name);
            return;
        };
        let write = LatestWrite {
            born_ms: upstream.born_ms,
            sequence,
            removed_at: None,
        };
        self.writes.insert(upstream.name.clone(), write);
    }

    /// Records that a registration was removed.
    pub(super) fn record_removal(&mut self, name: &str, now: Duration) {
        if let Some(write) = self.writes.get_mut(name) {
            write.removed_at = Some(now);
        }
    }

    /// Returns true if the same process wrote the registration before the latest
    /// known write, or if that write was removed.
    pub(super) fn is_outdated(&self, registration: &Registration) -> bool {
        let upstream = &registration.upstream;
        let Some((known, sequence)) = self.writes.get(&upstream.name).zip(registration.sequence)
        else {
            return false;
        };
        let is_earlier = match known.removed_at {
            Some(_) => sequence <= known.sequence,
            None => sequence < known.sequence,
        };
        known.born_ms == upstream.born_ms && is_earlier
    }

    /// Forgets registrations that were removed long ago.
    pub(super) fn expire(&mut self, now: Duration) {
        self.writes.retain(|_, write| {
            write
                .removed_at
                .is_none_or(|at| now.saturating_sub(at) < REMOVED_TTL)
        });
    }
}
