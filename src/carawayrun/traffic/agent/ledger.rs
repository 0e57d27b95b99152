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
    Known(Ran),
    /// There is no room to remember it.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Queued,
    // Settled as not run while it was queued or before it arrived.
    Tombstone,
    Refused,
    Dispatched,
    Done(Ran),
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    attempt: u32,
    expiry: Millis,
}

// The life of a gateway and the highest sequence that was forgotten.
#[derive(Debug)]
struct Forgotten {
    incarnation: u64,
    sequence: u64,
}

/// All runs that may still arrive again.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    entries: HashMap<RunKey, Entry, FxBuildHasher>,
    expiries: BTreeSet<(Millis, RunKey)>,
    forgotten: HashMap<CompactString, Forgotten, FxBuildHasher>,
}

impl RunLedger {
    /// Records an arriving run. `expiry` is the time after which no message of
    /// the run can arrive any more.
    pub(crate) fn arrive(
        &mut self,
        key: RunKey,
        attempt: u32,
        idempotent: bool,
        expiry: Millis,
    ) -> Arrival {
        if let Some(entry) = self.entries.get(&key) {
            return match entry.phase {
                Phase::Tombstone => Arrival::Refused,
                Phase::Refused if attempt <= entry.attempt => Arrival::Refused,
                Phase::Refused => self.renew(key, attempt, expiry),
                Phase::Done(_) if idempotent && attempt > entry.attempt => {
                    self.renew(key, attempt, expiry)
                }
                Phase::Done(ran) => Arrival::Known(ran),
                Phase::Queued | Phase::Dispatched => Arrival::Known(Ran::Unknown),
            };
        }
        if self.is_forgotten(&key) {
            return Arrival::Refused;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Arrival::Full;
        }
        self.renew(key, attempt, expiry)
    }

    /// Moves a run on to its dispatch; `None` where it was settled as not run.
    pub(crate) fn dispatch(&mut self, ticket: RunTicket<Queued>) -> Option<RunTicket<Dispatched>> {
        let entry = self.entries.get_mut(&ticket.key)?;
        if entry.phase != Phase::Queued {
            return None;
        }
        entry.phase = Phase::Dispatched;
        Some(RunTicket::new(ticket.key))
    }

    /// Records that a run was refused before its dispatch.
    pub(crate) fn refuse(&mut self, ticket: &RunTicket<Queued>) {
        self.move_on(&ticket.key, Phase::Refused);
    }

    /// Records that a dispatched run never reached the upstream, or that the
    /// upstream said it did not run it.
    pub(crate) fn not_begun(&mut self, ticket: &RunTicket<Dispatched>) {
        self.move_on(&ticket.key, Phase::Refused);
    }

    /// Records the end of a dispatched run.
    pub(crate) fn finish(&mut self, ticket: &RunTicket<Dispatched>, ran: Ran) {
        self.move_on(&ticket.key, Phase::Done(ran));
    }

    /// Says whether a run has run. Where it has not been dispatched, it never
    /// will be.
    pub(crate) fn settle(&mut self, key: RunKey, expiry: Millis) -> Ran {
        if let Some(entry) = self.entries.get_mut(&key) {
            return match entry.phase {
                Phase::Queued | Phase::Tombstone | Phase::Refused => {
                    entry.phase = Phase::Tombstone;
                    Ran::No
                }
                Phase::Dispatched => Ran::Unknown,
                Phase::Done(ran) => ran,
            };
        }
        if self.is_forgotten(&key) || self.entries.len() >= MAX_ENTRIES {
            return Ran::Unknown;
        }
        self.put(key, Phase::Tombstone, u32::MAX, expiry);
        Ran::No
    }

    /// Forgets runs whose time is over and that are not under way.
    pub(crate) fn forget(&mut self, now: Millis) {
        while let Some((expiry, _)) = self.expiries.first()
            && *expiry <= now
            && let Some((_, key)) = self.expiries.pop_first()
        {
            self.forget_one(key, now);
        }
    }

    fn forget_one(&mut self, key: RunKey, now: Millis) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.expiry > now {
            return;
        }
        if matches!(entry.phase, Phase::Queued | Phase::Dispatched) {
            entry.expiry = now + Millis(1000);
            self.expiries.insert((entry.expiry, key));
            return;
        }
        self.entries.remove(&key);
        let gateway = &key.request.gateway;
        let forgotten = self
            .forgotten
            .entry(gateway.name.clone())
            .or_insert(Forgotten {
                incarnation: gateway.incarnation,
                sequence: 0,
            });
        if forgotten.incarnation < gateway.incarnation {
            forgotten.incarnation = gateway.incarnation;
            forgotten.sequence = 0;
        }
        if forgotten.incarnation == gateway.incarnation {
            forgotten.sequence = forgotten.sequence.max(key.request.sequence);
        }
    }

    // True where the run may have been here and been forgotten.
    fn is_forgotten(&self, key: &RunKey) -> bool {
        let gateway = &key.request.gateway;
        self.forgotten.get(&gateway.name).is_some_and(|forgotten| {
            gateway.incarnation < forgotten.incarnation
                || (gateway.incarnation == forgotten.incarnation
                    && key.request.sequence <= forgotten.sequence)
        })
    }

    fn renew(&mut self, key: RunKey, attempt: u32, expiry: Millis) -> Arrival {
        self.put(key.clone(), Phase::Queued, attempt, expiry);
        Arrival::New(RunTicket::new(key))
    }

    fn put(&mut self, key: RunKey, phase: Phase, attempt: u32, expiry: Millis) {
        self.expiries.insert((expiry, key.clone()));
        let entry = Entry {
            phase,
            attempt,
            expiry,
        };
        self.entries.insert(key, entry);
    }

    fn move_on(&mut self, key: &RunKey, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.phase != Phase::Tombstone
        {
            entry.phase = phase;
        }
    }
}
