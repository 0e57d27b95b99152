//! What is known of the upstreams' registrations, across restores of the store. A store
//! that was restored from a copy shows earlier rows until the upstreams write their next.

use std::cmp::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::Registration;

/// Time for which a removed registration is remembered. The store may be away for a part
/// of it, and shows a removed row again only until it expires there.
const REMOVED_TTL: Duration = Duration::from_mins(10);

/// What is known of each registration.
///
/// Within an era of the store, a row that is read is later than all that was read before.
/// In a later era it may be the copy's: until it is known to have been written since the
/// restore, it undoes nothing that was read in an earlier era. The decision takes nothing
/// but what this gateway read itself, so it does not need each write of an upstream.
#[derive(Debug, Default)]
pub(super) struct RegistrationHistory {
    facts: FxHashMap<CompactString, Fact>,
    /// Restores of the store since the start of this process.
    era: u64,
    /// Newest version in the store when this gateway learned of the last restore: rows with
    /// later ones are not the copy's.
    copy_version: u64,
}

#[derive(Debug)]
struct Fact {
    /// Era in which it was read.
    era: u64,
    born_ms: u64,
    sequence: Option<u64>,
    /// Time at which the registration was found to be missing.
    removed_at: Option<Duration>,
}

impl RegistrationHistory {
    /// Begins an era: the store was restored, and its newest version is `copy_version`.
    pub(super) fn begin_era(&mut self, copy_version: u64) {
        self.era += 1;
        self.copy_version = copy_version;
    }

    /// Records a registration that was read.
    pub(super) fn record(&mut self, registration: &Registration) {
        let upstream = &registration.upstream;
        let fact = Fact {
            era: self.era,
            born_ms: upstream.born_ms,
            sequence: registration.sequence,
            removed_at: None,
        };
        self.facts.insert(upstream.name.clone(), fact);
    }

    /// Records that a registration was found to be missing.
    pub(super) fn record_removal(&mut self, name: &str, now: Duration) {
        if let Some(fact) = self.facts.get_mut(name) {
            fact.era = self.era;
            fact.removed_at = Some(now);
        }
    }

    /// Returns true if the registration says less than what was read before the last
    /// restore of the store.
    pub(super) fn is_outdated(&self, registration: &Registration) -> bool {
        let upstream = &registration.upstream;
        let known = self.facts.get(&upstream.name);
        let Some(known) = known.filter(|known| known.era < self.era) else {
            return false;
        };
        let may_be_copy = registration.version <= self.copy_version;
        let sequences = registration.sequence.zip(known.sequence);
        match upstream.born_ms.cmp(&known.born_ms) {
            Ordering::Less => may_be_copy,
            Ordering::Equal => {
                sequences.is_some_and(|(sequence, known)| sequence < known)
                    || known.removed_at.is_some() && may_be_copy
            }
            Ordering::Greater => false,
        }
    }

    /// Forgets registrations that were removed long ago.
    pub(super) fn expire(&mut self, now: Duration) {
        self.facts.retain(|_, fact| {
            fact.removed_at
                .is_none_or(|at| now.saturating_sub(at) < REMOVED_TTL)
        });
    }
}
