//! Leases on control tasks, each held by one node at a time through a row of
//! the table service.
//!
//! The row `work/<name>` names the holder and a fencing number. It is acquired,
//! renewed and released by compare-and-set. Clocks of different nodes are never
//! compared: a node takes a lease over only after it has itself seen the row's
//! version unchanged for [`TAKEOVER_DELAY`], and a holder stops acting
//! [`LEASE_TERM`] after it *sent* its last renewal, which is sooner.
//!
//! That alone does not stop a holder that pauses between the check and the
//! write. Therefore every write of the task is committed in one transaction
//! with the row, on condition that the row is as the holder last saw it: a
//! former holder's writes have no effect, however late it resumes. After its
//! lease has expired, a holder reads the row before it acts.
//!
//! A write whose answer was lost may still take effect later, as long as the
//! row is unchanged. The next write to the row makes it fail, and so decides
//! its outcome.

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

/// Time for which a node must have seen a row unchanged before it takes the
/// lease over.
const TAKEOVER_DELAY: Millis = Millis(10_000);

/// Time after sending its last renewal for which a holder still acts.
const LEASE_TERM: Millis = Millis(8_000);

/// Time between two renewals.
const RENEW_PERIOD: Millis = Millis(2_500);

/// Shortest time between two reads of a row whose lease another node holds.
const READ_PERIOD: Millis = Millis(2_000);

/// Reads of each row by all nodes together, per second; the time between two
/// reads of a node grows with the number of members.
const READS_PER_SECOND: u64 = 50;

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Applied,
    /// The write did not take effect and never will.
    Refused,
    /// The result can't be determined, since the row was written again; the
    /// caller has to look for the write's effects.
    Unknown,
}

/// A write and its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteOutcome {
    /// The number that [`Leases::commit`] returned.
    pub write: u64,
    /// Its result.
    pub result: WriteResult,
}

/// All leases that this node contends for.
#[derive(Debug, Default)]
pub struct Leases {
    entries: BTreeMap<CompactString, LeaseEntry>,
    number: u64,
}

impl Leases {
    /// Contends for the lease `name`: this node holds it, or watches its
    /// holder.
    pub fn contend(&mut self, name: &str) {
        self.entries.entry(name.into()).or_default();
    }

    /// Stops contending for `name`; the row stays as it is.
    pub fn stop_contending(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Returns the fencing number if this node holds `name` at `now` and no
    /// call is pending and no write unconfirmed.
    pub fn held_fence(&self, name: &str, now: Millis) -> Option<u64> {
        let entry = self.entries.get(name)?;
        let lease = entry.lease.filter(|lease| now < lease.until)?;
        (entry.call.is_none() && entry.unconfirmed.is_none()).then_some(lease.fence)
    }

    /// The state that the holder of `name` stored, as last seen.
    pub fn state(&self, name: &str) -> Option<&RawValue> {
        let seen = self.entries.get(name)?.seen.as_ref()?;
        seen.row.as_ref().map(|row| &*row.state)
    }

    /// Writes `state` together with `transaction` if this node holds `name`;
    /// both take effect or neither.
    ///
    /// Returns the number of the write, whose outcome [`Self::take_outcome`]
    /// returns later, or none if the lease is not held.
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

    /// Takes the outcome of the last committed write of `name`.
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

    // Also resumes a lease whose row already names this node as holder.
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

    // Clears the holder, so that another node takes over without delay.
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
        keep_outcome: bool,
        context: &mut Context,
    ) {
        let seen = self.entries.get(name).and_then(|entry| entry.seen.as_ref());
        let version = seen.map_or(0, |seen| seen.version);
        let transaction = row.add_to(name, version, transaction);
        let write = RowWrite {
            version,
            row,
            keep_outcome,
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
                self.run_step(&name, step, context);
            }
            (None, _) => entry.schedule_next_call(READ_PERIOD, context),
        }
    }

    fn run_step(&mut self, name: &str, step: NextStep, context: &mut Context) {
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
