//! One lease as this node sees it.

use compact_str::ToCompactString;
use rand::Rng;
use tracing::info;

use super::row::LeaseRow;
use super::{
    LEASE_TERM, READ_PERIOD, READS_PER_SECOND, RENEW_PERIOD, TAKEOVER_DELAY, WriteOutcome,
    WriteResult,
};
use crate::control::context::Context;
use crate::control::time::Millis;
use crate::store::table::{Row, TableAnswer, TableError};

/// State of one lease on this node.
#[derive(Debug, Default)]
pub(super) struct LeaseEntry {
    pub(super) seen: Option<SeenRow>,
    pub(super) lease: Option<Lease>,
    pub(super) call: Option<PendingCall>,
    pub(super) unconfirmed: Option<UnconfirmedWrite>,
    pub(super) outcome: Option<WriteOutcome>,
    pub(super) next_call: Millis,
}

/// The row as it was last read or written.
#[derive(Debug)]
pub(super) struct SeenRow {
    pub(super) version: u64,
    /// When this version was first seen.
    pub(super) since: Millis,
    /// None if the row does not exist.
    pub(super) row: Option<LeaseRow>,
}

/// A lease that this node holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lease {
    pub(super) fence: u64,
    pub(super) until: Millis,
}

/// A call to the table service that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) number: u64,
    pub(super) sent: Millis,
    /// None for a read.
    pub(super) write: Option<RowWrite>,
}

/// A write of the lease row.
#[derive(Debug)]
pub(super) struct RowWrite {
    pub(super) version: u64,
    pub(super) row: LeaseRow,
    /// True for a write by [`super::Leases::commit`]: its outcome is kept for
    /// [`super::Leases::take_outcome`].
    pub(super) keep_outcome: bool,
}

/// A write whose answer was lost, so that its outcome is unknown.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnconfirmedWrite {
    pub(super) write: u64,
    pub(super) version: u64,
    pub(super) keep_outcome: bool,
}

/// Next action of a node that has read the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Another node holds the lease.
    Watch,
    /// The row names this node as holder; a write has to confirm it.
    Renew,
    /// The lease is free or has expired.
    Acquire,
}

impl LeaseEntry {
    pub(super) fn record_read(
        &mut self,
        row: Option<&Row>,
        sent: Millis,
        context: &mut Context,
    ) -> NextStep {
        self.schedule_next_call(read_period(context), context);
        let version = row.map_or(0, |row| row.version);
        let value = row.and_then(LeaseRow::parse);
        if row.is_some() && value.is_none() {
            // Written by a newer release; this node does not compete for it.
            return NextStep::Watch;
        }
        self.resolve_unconfirmed(version, value.as_ref());
        let same = self.seen.as_ref().filter(|seen| seen.version == version);
        let since = same.map_or(context.now, |seen| seen.since);
        let step = next_step(value.as_ref(), since, sent, context);
        self.seen = Some(SeenRow {
            version,
            since,
            row: value,
        });
        step
    }

    pub(super) fn record_write(
        &mut self,
        name: &str,
        write: RowWrite,
        sent: Millis,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        match result {
            Ok(_) => self.record_applied(name, write, sent, context),
            // Possibly only another row of the transaction had changed; the
            // next read of the lease row shows it.
            Err(TableError::Conflict { .. }) => {
                self.record_outcome(&write, WriteResult::Refused);
                self.lease = None;
                self.next_call = context.now;
            }
            Err(TableError::Lost { .. }) => {
                self.unconfirmed = Some(UnconfirmedWrite {
                    write: write.row.write,
                    version: write.version,
                    keep_outcome: write.keep_outcome,
                });
                self.lease = None;
                self.schedule_next_call(READ_PERIOD, context);
            }
            Err(TableError::Unavailable { .. } | TableError::Invalid { .. }) => {
                self.record_outcome(&write, WriteResult::Refused);
                self.schedule_next_call(READ_PERIOD, context);
            }
        }
    }

    fn record_applied(&mut self, name: &str, write: RowWrite, sent: Millis, context: &mut Context) {
        self.record_outcome(&write, WriteResult::Applied);
        if let Some(unconfirmed) = self.unconfirmed.take() {
            // This write expected the same row version, so the earlier write
            // had not taken effect, and can't any more.
            self.record_late_outcome(unconfirmed, WriteResult::Refused);
        }
        let fence = write.row.fence;
        let is_holder = write.row.holder == context.identity.node.to_compact_string();
        if is_holder && self.lease.is_none_or(|lease| lease.fence != fence) {
            info!(name: "work.held", work = name, fence);
        }
        self.lease = is_holder.then_some(Lease {
            fence,
            until: sent + LEASE_TERM,
        });
        self.seen = Some(SeenRow {
            version: write.version + 1,
            since: context.now,
            row: Some(write.row),
        });
        self.schedule_next_call(RENEW_PERIOD, context);
    }

    // Derives the outcome of an unconfirmed write from the row.
    fn resolve_unconfirmed(&mut self, version: u64, row: Option<&LeaseRow>) {
        let Some(unconfirmed) = self.unconfirmed else {
            return;
        };
        if version <= unconfirmed.version {
            return;
        }
        self.unconfirmed = None;
        let result = match row {
            Some(row) if row.write == unconfirmed.write => WriteResult::Applied,
            _ if version == unconfirmed.version + 1 => WriteResult::Refused,
            _ => WriteResult::Unknown,
        };
        self.record_late_outcome(unconfirmed, result);
    }

    fn record_outcome(&mut self, write: &RowWrite, result: WriteResult) {
        if write.keep_outcome {
            self.outcome = Some(WriteOutcome {
                write: write.row.write,
                result,
            });
        }
    }

    fn record_late_outcome(&mut self, unconfirmed: UnconfirmedWrite, result: WriteResult) {
        if unconfirmed.keep_outcome {
            self.outcome = Some(WriteOutcome {
                write: unconfirmed.write,
                result,
            });
        }
    }

    // Sets the time of the lease's next call to the table service, with jitter
    // of up to a quarter of `period`.
    pub(super) fn schedule_next_call(&mut self, period: Millis, context: &mut Context) {
        let jitter = context.rng.random_range(0..=period.0 / 4);
        self.next_call = context.now + period + Millis(jitter);
    }
}

fn next_step(row: Option<&LeaseRow>, since: Millis, sent: Millis, context: &Context) -> NextStep {
    let Some(row) = row else {
        return NextStep::Acquire;
    };
    if row.holder == context.identity.node.to_compact_string() {
        return NextStep::Renew;
    }
    if row.holder.is_empty() || sent.since(since) >= TAKEOVER_DELAY {
        return NextStep::Acquire;
    }
    NextStep::Watch
}

fn read_period(context: &Context) -> Millis {
    let shared = context.members.present_count() as u64 * 1_000 / READS_PER_SECOND;
    Millis(READ_PERIOD.0.max(shared))
}
