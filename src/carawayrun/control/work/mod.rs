//! Control work that one node at a time holds, by a row of the table service.
//!
//! A row `work/<name>` names the holder and a fencing number. It is taken,
//! renewed and given up by compare-and-set. No clocks are compared: a node
//! takes the work over only after it has itself seen the row's version
//! unchanged for [`LEASE`], and a holder gives up by itself [`HOLD`] after it
//! *sent* its last renewal, which is sooner.
//!
//! That alone would not stop a holder that pauses between the check and the
//! write. So every write that the work causes is committed in one transaction
//! with the row, on condition that the row is as the holder last saw it: a
//! holder that was taken over from has no effect, however late it wakes. It
//! finds out by reading the row before anything else.
//!
//! A write whose answer was lost may still take effect later, as long as the
//! row is unchanged. It is settled by the next write to the row, which makes
//! the late one fail.

mod entry;
mod row;

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use rand::RngCore;
use serde_json::value::RawValue;

use self::entry::{LeaseEntry, NextStep, PendingCall, RowWrite};
use self::row::LeaseRow;
use super::context::{Context, Lifecycle};
use super::effect::{Component, Effect, Ticket};
use super::event::Event;
use super::time::Millis;
use crate::store::table::{TableAnswer, TableCall, TableError, Transaction};

/// Time that others must have seen a row unchanged before they take it over.
const TAKEOVER_DELAY: Millis = Millis(10_000);

/// Time after sending its last renewal that a holder still acts.
const LEASE_TERM: Millis = Millis(8_000);

/// Time between two renewals.
const RENEW_PERIOD: Millis = Millis(2_500);

/// Shortest time between two reads of a row that another node holds.
const READ_PERIOD: Millis = Millis(2_000);

/// Time between two reads is so long that all nodes together make this many a
/// second for each row.
const READS_PER_SECOND: u64 = 50;

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Applied,
    /// It did not, and never will.
    Refused,
    /// It can't be told any more, as others have written since; look for its
    /// traces elsewhere.
    Unknown,
}

/// What became of which write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteOutcome {
    /// The number that [`Works::commit`] returned.
    pub write: u64,
    /// What became of it.
    pub result: WriteResult,
}

/// All control work that this node takes part in.
#[derive(Debug, Default)]
pub struct Leases {
    entries: BTreeMap<CompactString, LeaseEntry>,
    number: u64,
}

impl Leases {
    /// Has this node take part in `name`: hold it, or watch its holder.
    pub fn contend(&mut self, name: &str) {
        self.entries.entry(name.into()).or_default();
    }

    /// Ends its part in `name`.
    pub fn stop_contending(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// The fencing number, where this node holds `name` at `now` and no write
    /// is under way or unsettled.
    pub fn held_fence(&self, name: &str, now: Millis) -> Option<u64> {
        let entry = self.entries.get(name)?;
        let lease = entry.lease.filter(|lease| now < lease.until)?;
        (entry.call.is_none() && entry.unconfirmed.is_none()).then_some(lease.fence)
    }

    /// What the holder of `name` keeps, as last seen.
    pub fn state(&self, name: &str) -> Option<&RawValue> {
        let seen = self.entries.get(name)?.seen.as_ref()?;
        seen.row.as_ref().map(|row| &*row.state)
    }

    /// Writes `state` together with `transaction`, where this node holds
    /// `name`; both take effect or neither.
    ///
    /// Returns the number of the write, whose outcome comes by
    /// [`Self::take_outcome`], or none where the work is not held.
    pub fn commit(
        &mut self,
        name: &str,
        state: Box<RawValue>,
        transaction: Transaction,
        context: &mut Context,
    ) -> Option<u64> {
        let fence = self.held_fence(name, context.now)?;
        let row = LeaseRow {
            holder: context.identity.node.to_compact_string(),
            fence,
            write: context.rng.next_u64(),
            state,
        };
        let write = row.write;
        self.write_row(name, row, transaction, true, context);
        Some(write)
    }

    /// The outcome of the last write of `name`, once.
    pub fn take_outcome(&mut self, name: &str) -> Option<WriteOutcome> {
        self.entries.get_mut(name)?.outcome.take()
    }

    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::Tick => self.tick(context),
            Event::StopRequested => self.release_all(context),
            Event::TableAnswered(ticket, result) if ticket.component == Component::Leases => {
                self.handle_answer(ticket.number, result, context);
            }
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if context.lifecycle != Lifecycle::Running {
            return;
        }
        let due: Vec<CompactString> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.call.is_none() && context.now >= entry.next_call)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if self.held_fence(&name, context.now).is_some() {
                self.renew(&name, context);
            } else {
                self.read_row(&name, context);
            }
        }
    }

    fn read_row(&mut self, name: &str, context: &mut Context) {
        let call = TableCall::Read(vec![row::row_key(name)]);
        self.call_table(name, None, call, context);
    }

    // Also takes the work over, where `lease` is new.
    fn renew(&mut self, name: &str, context: &mut Context) {
        let seen = self.entries.get(name).and_then(|entry| entry.seen.as_ref());
        let Some(old) = seen.and_then(|seen| seen.row.clone()) else {
            return;
        };
        let row = LeaseRow {
            write: context.rng.next_u64(),
            ..old
        };
        self.write_row(name, row, Transaction::default(), false, context);
    }

    fn acquire(&mut self, name: &str, context: &mut Context) {
        let seen = self.entries.get(name).and_then(|entry| entry.seen.as_ref());
        let old = seen.and_then(|seen| seen.row.clone());
        let row = LeaseRow {
            holder: context.identity.node.to_compact_string(),
            fence: old.as_ref().map_or(1, |row| row.fence + 1),
            write: context.rng.next_u64(),
            state: old.map_or_else(|| RawValue::NULL.to_owned(), |row| row.state),
        };
        self.write_row(name, row, Transaction::default(), false, context);
    }

    // A row without a holder is taken over at once.
    fn release_all(&mut self, context: &mut Context) {
        let names: Vec<CompactString> = self.entries.keys().cloned().collect();
        for name in names {
            if self.held_fence(&name, context.now).is_none() {
                continue;
            }
            let seen = self
                .entries
                .get(&name)
                .and_then(|entry| entry.seen.as_ref());
            if let Some(old) = seen.and_then(|seen| seen.row.clone()) {
                let row = LeaseRow {
                    holder: CompactString::default(),
                    write: context.rng.next_u64(),
                    ..old
                };
                self.write_row(&name, row, Transaction::default(), false, context);
            }
        }
    }

    fn write_row(
        &mut self,
        name: &str,
        row: LeaseRow,
        transaction: Transaction,
        requested: bool,
        context: &mut Context,
    ) {
        let seen = self.entries.get(name).and_then(|entry| entry.seen.as_ref());
        let version = seen.map_or(0, |seen| seen.version);
        let transaction = row.add_to(name, version, transaction);
        let write = RowWrite {
            version,
            row,
            requested,
        };
        self.call_table(name, Some(write), TableCall::Commit(transaction), context);
    }

    fn call_table(
        &mut self,
        name: &str,
        write: Option<RowWrite>,
        call: TableCall,
        context: &mut Context,
    ) {
        self.number += 1;
        let number = self.number;
        if let Some(entry) = self.entries.get_mut(name) {
            entry.call = Some(PendingCall {
                number,
                sent: context.now,
                write,
            });
            let ticket = Ticket {
                component: Component::Leases,
                number,
            };
            context.effects.push(Effect::CallTable(ticket, call));
        }
    }

    fn handle_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        let made_call = |entry: &LeaseEntry| {
            entry
                .call
                .as_ref()
                .is_some_and(|call| call.number == number)
        };
        let found = self.entries.iter_mut().find(|(_, entry)| made_call(entry));
        let Some((name, entry)) = found else {
            return;
        };
        let name = name.clone();
        let Some(call) = entry.call.take() else {
            return;
        };
        match (call.write, result) {
            (Some(write), result) => {
                entry.record_write(&name, write, call.sent, result, context);
            }
            (None, Ok(TableAnswer::Rows(rows))) => {
                let step = entry.record_read(rows.first(), call.sent, context);
                self.perform(&name, step, context);
            }
            (None, _) => entry.schedule_next(READ_PERIOD, context),
        }
    }

    fn perform(&mut self, name: &str, step: NextStep, context: &mut Context) {
        if context.lifecycle != Lifecycle::Running {
            return;
        }
        match step {
            NextStep::Watch => {}
            NextStep::Renew => self.renew(name, context),
            NextStep::Acquire => self.acquire(name, context),
        }
    }
}
