//! The run ledger dispatches each run at most once.
//!
//! A run is identified by its request and step. Its first arrival creates an
//! entry, which is kept until no message with its id can arrive any more. A run
//! that was settled as not run stays refused, and a refused run is accepted
//! only as a newer attempt. A dispatched run is never dispatched again, except
//! as a newer attempt of an idempotent request or if it never started.
//!
//! Memory is bounded by time and by the number of entries. A gateway numbers
//! its requests in rising order, so for evicted entries only the highest
//! sequence is kept: a run up to that sequence that has no entry is refused.

use std::collections::{BTreeSet, HashMap};
use std::marker::PhantomData;

use compact_str::CompactString;
use rustc_hash::FxBuildHasher;

use crate::control::Millis;
use crate::peer::RequestId;
use crate::peer::message::Ran;

/// Most runs with an entry at once.
const MAX_ENTRIES: usize = 200_000;

/// Identifies a run: one step of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunKey {
    pub(crate) request: RequestId,
    pub(crate) step: u32,
}

/// State of a ticket whose run waits for its dispatch.
#[derive(Debug)]
pub(crate) enum Queued {}

/// State of a ticket whose run may have started at the upstream.
#[derive(Debug)]
pub(crate) enum Dispatched {}

/// Permission to change the phase of one run; the type holds its state.
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

    /// Returns the key of the run.
    pub(crate) fn key(&self) -> &RunKey {
        &self.key
    }
}

/// Result of recording the arrival of a run.
#[derive(Debug)]
pub(crate) enum Arrival {
    /// The first arrival, or a newer attempt that may be dispatched.
    New(RunTicket<Queued>),
    /// The run was refused before, settled as not run, or may have been
    /// evicted.
    Refused,
    /// The run arrived before and is not dispatched again. Holds whether it
    /// ran, which is unknown while it is queued or dispatched.
    Duplicate(Ran),
    /// The ledger has no room for another entry.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunPhase {
    Queued,
    // Settled as not run: before it arrived, while it was queued or after it was
    // refused.
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

// The incarnation of a gateway and its highest evicted sequence.
#[derive(Debug)]
struct EvictedSequence {
    incarnation: u64,
    sequence: u64,
}

/// All runs of which another message may arrive.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    entries: HashMap<RunKey, Entry, FxBuildHasher>,
    expiries: BTreeSet<(Millis, RunKey)>,
    evicted: HashMap<CompactString, EvictedSequence, FxBuildHasher>,
}

impl RunLedger {
    /// Records the arrival of a run. `expiry` is the time after which no
    /// message of the run can arrive any more.
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

    /// Marks a run as dispatched; returns `None` if it was settled as not run.
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
    /// upstream refused it without running it.
    pub(crate) fn record_not_started(&mut self, ticket: &RunTicket<Dispatched>) {
        self.set_phase(&ticket.key, RunPhase::Refused);
    }

    /// Records the end of a dispatched run.
    pub(crate) fn record_end(&mut self, ticket: &RunTicket<Dispatched>, ran: Ran) {
        self.set_phase(&ticket.key, RunPhase::Done(ran));
    }

    /// Returns whether a run was executed. A run that has not been dispatched
    /// is settled as not run, so that it never will be.
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

    /// Evicts expired runs that are neither queued nor dispatched.
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

    // True if the ledger may have had an entry of the run and evicted it.
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
