//! The run ledger: at most one dispatch of each run.
//!
//! A run is known by its request and step. Its first arrival makes an entry,
//! which lives until no request with its id may arrive any more. What is
//! refused, or settled as not run, stays refused; what was dispatched is never
//! dispatched again, but for a newer attempt of an idempotent request.
//!
//! Memory is bounded by time and by number. A gateway numbers its requests in
//! rising order, so of what was forgotten only the highest sequence is kept:
//! any run up to it that is not known any more is refused.

use std::collections::{BTreeSet, HashMap};
use std::marker::PhantomData;

use compact_str::CompactString;
use rustc_hash::FxBuildHasher;

use crate::control::Millis;
use crate::peer::RequestId;
use crate::peer::message::Ran;

/// Most runs that are remembered at once.
const MAX_ENTRIES: usize = 200_000;

/// One step of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunKey {
    pub(crate) request: RequestId,
    pub(crate) step: u32,
}

/// The run waits for its dispatch.
#[derive(Debug)]
pub(crate) enum Queued {}

/// The run may have begun at the upstream.
#[derive(Debug)]
pub(crate) enum Dispatched {}

/// The right to move one run on; the state is in the type.
#[derive(Debug)]
pub(crate) struct RunTicket<S> {
    key: RunKey,
    state: PhantomData<S>,
}

impl<S> RunTicket<S> {
    fn new(key: RunKey) -> Self {
        Self {
            key,
            state: PhantomData,
        }
    }

    /// The run.
    pub(crate) fn key(&self) -> &RunKey {
        &self.key
    }
}

/// What an arriving run is.
#[derive(Debug)]
pub(crate) enum Arrival {
    /// The first of its id, or a new attempt that may be made.
    New(RunTicket<Queued>),
    /// Refused before, settled as not run, or too old to be known.
    Refused,
    /// Known: it is not run again. It is queued (unknown) or was dispatched.
    Duplicate(Ran),
    /// There is no room to remember it.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunPhase {
    Queued,
    // Settled as not run while it was queued or before it arrived.
    Tombstone,
    Refused,
    Dispatched,
    Done(Ran),
}

#[derive(Debug)]
struct Entry {
    phase: RunPhase,
    attempt: u32,
    expiry: Millis,
}

// The life of a gateway and the highest sequence that was forgotten.
#[derive(Debug)]
struct EvictedSequence {
    incarnation: u64,
    sequence: u64,
}

/// All runs that may still arrive again.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    entries: HashMap<RunKey, Entry, FxBuildHasher>,
    expiries: BTreeSet<(Millis, RunKey)>,
    evicted: HashMap<CompactString, EvictedSequence, FxBuildHasher>,
}

impl RunLedger {
    /// Records an arriving run. `expiry` is the time after which no message of
    /// the run can arrive any more.
    pub(crate) fn record_arrival(
        &mut self,
        key: RunKey,
        attempt: u32,
        idempotent: bool,
        expiry: Millis,
    ) -> Arrival {
        if let Some(entry) = self.entries.get(&key) {
            return match entry.phase {
                RunPhase::Tombstone => Arrival::Refused,
                RunPhase::Refused if attempt <= entry.attempt => Arrival::Refused,
                RunPhase::Refused => self.enqueue(key, attempt, expiry),
                RunPhase::Done(_) if idempotent && attempt > entry.attempt => {
                    self.enqueue(key, attempt, expiry)
                }
                RunPhase::Done(ran) => Arrival::Duplicate(ran),
                RunPhase::Queued | RunPhase::Dispatched => Arrival::Duplicate(Ran::Unknown),
            };
        }
        if self.may_have_been_evicted(&key) {
            return Arrival::Refused;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Arrival::Full;
        }
        self.enqueue(key, attempt, expiry)
    }

    /// Moves a run on to its dispatch; `None` where it was settled as not run.
    pub(crate) fn dispatch(&mut self, ticket: RunTicket<Queued>) -> Option<RunTicket<Dispatched>> {
        let entry = self.entries.get_mut(&ticket.key)?;
        if entry.phase != RunPhase::Queued {
            return None;
        }
        entry.phase = RunPhase::Dispatched;
        Some(RunTicket::new(ticket.key))
    }

    /// Records that a run was refused before its dispatch.
    pub(crate) fn record_refusal(&mut self, ticket: &RunTicket<Queued>) {
        self.set_phase(&ticket.key, RunPhase::Refused);
    }

    /// Records that a dispatched run never reached the upstream, or that the
    /// upstream said it did not run it.
    pub(crate) fn record_not_started(&mut self, ticket: &RunTicket<Dispatched>) {
        self.set_phase(&ticket.key, RunPhase::Refused);
    }

    /// Records the end of a dispatched run.
    pub(crate) fn record_end(&mut self, ticket: &RunTicket<Dispatched>, ran: Ran) {
        self.set_phase(&ticket.key, RunPhase::Done(ran));
    }

    /// Says whether a run has run. Where it has not been dispatched, it never
    /// will be.
    pub(crate) fn settle(&mut self, key: RunKey, expiry: Millis) -> Ran {
        if let Some(entry) = self.entries.get_mut(&key) {
            return match entry.phase {
                RunPhase::Queued | RunPhase::Tombstone | RunPhase::Refused => {
                    entry.phase = RunPhase::Tombstone;
                    Ran::No
                }
                RunPhase::Dispatched => Ran::Unknown,
                RunPhase::Done(ran) => ran,
            };
        }
        if self.may_have_been_evicted(&key) || self.entries.len() >= MAX_ENTRIES {
            return Ran::Unknown;
        }
        self.insert_entry(key, RunPhase::Tombstone, u32::MAX, expiry);
        Ran::No
    }

    /// Forgets runs whose time is over and that are not under way.
    pub(crate) fn evict_expired(&mut self, now: Millis) {
        while let Some((expiry, _)) = self.expiries.first()
            && *expiry <= now
            && let Some((_, key)) = self.expiries.pop_first()
        {
            self.evict(key, now);
        }
    }

    fn evict(&mut self, key: RunKey, now: Millis) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.expiry > now {
            return;
        }
        if matches!(entry.phase, RunPhase::Queued | RunPhase::Dispatched) {
            entry.expiry = now + Millis(1000);
            self.expiries.insert((entry.expiry, key));
            return;
        }
        self.entries.remove(&key);
        let gateway = &key.request.gateway;
        let evicted = self
            .evicted
            .entry(gateway.name.clone())
            .or_insert(EvictedSequence {
                incarnation: gateway.incarnation,
                sequence: 0,
            });
        if evicted.incarnation < gateway.incarnation {
            evicted.incarnation = gateway.incarnation;
            evicted.sequence = 0;
        }
        if evicted.incarnation == gateway.incarnation {
            evicted.sequence = evicted.sequence.max(key.request.sequence);
        }
    }

    // True where the run may have been here and been forgotten.
    fn may_have_been_evicted(&self, key: &RunKey) -> bool {
        let gateway = &key.request.gateway;
        self.evicted.get(&gateway.name).is_some_and(|evicted| {
            gateway.incarnation < evicted.incarnation
                || (gateway.incarnation == evicted.incarnation
                    && key.request.sequence <= evicted.sequence)
        })
    }

    fn enqueue(&mut self, key: RunKey, attempt: u32, expiry: Millis) -> Arrival {
        self.insert_entry(key.clone(), RunPhase::Queued, attempt, expiry);
        Arrival::New(RunTicket::new(key))
    }

    fn insert_entry(&mut self, key: RunKey, phase: RunPhase, attempt: u32, expiry: Millis) {
        self.expiries.insert((expiry, key.clone()));
        let entry = Entry {
            phase,
            attempt,
            expiry,
        };
        self.entries.insert(key, entry);
    }

    fn set_phase(&mut self, key: &RunKey, phase: RunPhase) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.phase != RunPhase::Tombstone
        {
            entry.phase = phase;
        }
    }
}
