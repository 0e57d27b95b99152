//! One piece of control work as this node sees it.

use compact_str::ToCompactString;
use rand::Rng;
use tracing::info;

use super::row::WorkRow;
use super::{HOLD, LEASE, READ_PERIOD, READS_PER_SECOND, RENEW_PERIOD, WorkOutcome, WorkResult};
use crate::control::context::Context;
use crate::control::time::Millis;
use crate::store::table::{Row, TableAnswer, TableError};

#[derive(Debug, Default)]
pub(super) struct Item {
    pub(super) seen: Option<Seen>,
    pub(super) lease: Option<Lease>,
    pub(super) call: Option<Call>,
    pub(super) unsettled: Option<Unsettled>,
    pub(super) outcome: Option<WorkOutcome>,
    pub(super) next: Millis,
}

/// The row as it was last read or written.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) version: u64,
    /// When this version was first seen.
    pub(super) since: Millis,
    /// None where the row does not exist.
    pub(super) row: Option<WorkRow>,
}

/// This node holds the work.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lease {
    pub(super) fence: u64,
    pub(super) until: Millis,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) sent: Millis,
    /// None for a read.
    pub(super) write: Option<Write>,
}

#[derive(Debug)]
pub(super) struct Write {
    pub(super) version: u64,
    pub(super) row: WorkRow,
    /// True where the holder asked for it and wants to know its outcome.
    pub(super) asked: bool,
}

/// A write whose answer was lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unsettled {
    pub(super) write: u64,
    pub(super) version: u64,
    pub(super) asked: bool,
}

/// What a node does once it has read a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Another node holds it.
    Watch,
    /// This node holds it, but must show so by a write.
    Renew,
    /// Nobody holds it.
    Claim,
}

impl Item {
    pub(super) fn take_read(
        &mut self,
        row: Option<&Row>,
        sent: Millis,
        context: &mut Context,
    ) -> Step {
        self.rest(read_period(context), context);
        let version = row.map_or(0, |row| row.version);
        let value = row.and_then(WorkRow::read);
        if row.is_some() && value.is_none() {
            // Written by a newer release; not ours to take.
            return Step::Watch;
        }
        self.settle(version, value.as_ref());
        let same = self.seen.as_ref().filter(|seen| seen.version == version);
        let since = same.map_or(context.now, |seen| seen.since);
        let step = step(value.as_ref(), since, sent, context);
        self.seen = Some(Seen {
            version,
            since,
            row: value,
        });
        step
    }

    pub(super) fn take_written(
        &mut self,
        name: &str,
        write: Write,
        sent: Millis,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        match result {
            Ok(_) => self.take_applied(name, write, sent, context),
            // Perhaps only another row had changed; a read tells.
            Err(TableError::Conflict { .. }) => {
                self.finish(&write, WorkResult::Refused);
                self.lease = None;
                self.next = context.now;
            }
            Err(TableError::Lost { .. }) => {
                self.unsettled = Some(Unsettled {
                    write: write.row.write,
                    version: write.version,
                    asked: write.asked,
                });
                self.lease = None;
                self.rest(READ_PERIOD, context);
            }
            Err(TableError::Unavailable { .. } | TableError::Invalid { .. }) => {
                self.finish(&write, WorkResult::Refused);
                self.rest(READ_PERIOD, context);
            }
        }
    }

    fn take_applied(&mut self, name: &str, write: Write, sent: Millis, context: &mut Context) {
        self.finish(&write, WorkResult::Applied);
        if let Some(unsettled) = self.unsettled.take() {
            // The row was as before it, so it had not taken effect, and now it
            // can't any more.
            self.report(unsettled, WorkResult::Refused);
        }
        let fence = write.row.fence;
        let ours = write.row.holder == context.identity.node.to_compact_string();
        if ours && self.lease.is_none_or(|lease| lease.fence != fence) {
            info!(name: "work.held", work = name, fence);
        }
        self.lease = ours.then_some(Lease {
            fence,
            until: sent + HOLD,
        });
        self.seen = Some(Seen {
            version: write.version + 1,
            since: context.now,
            row: Some(write.row),
        });
        self.rest(RENEW_PERIOD, context);
    }

    // What became of a write whose answer was lost, as far as the row tells.
    fn settle(&mut self, version: u64, row: Option<&WorkRow>) {
        let Some(unsettled) = self.unsettled else {
            return;
        };
        if version <= unsettled.version {
            return;
        }
        self.unsettled = None;
        let result = match row {
            Some(row) if row.write == unsettled.write => WorkResult::Applied,
            _ if version == unsettled.version + 1 => WorkResult::Refused,
            _ => WorkResult::Unknown,
        };
        self.report(unsettled, result);
    }

    fn finish(&mut self, write: &Write, result: WorkResult) {
        if write.asked {
            self.outcome = Some(WorkOutcome {
                write: write.row.write,
                result,
            });
        }
    }

    fn report(&mut self, unsettled: Unsettled, result: WorkResult) {
        if unsettled.asked {
            self.outcome = Some(WorkOutcome {
                write: unsettled.write,
                result,
            });
        }
    }

    pub(super) fn rest(&mut self, period: Millis, context: &mut Context) {
        let jitter = context.rng.random_range(0..=period.0 / 4);
        self.next = context.now + period + Millis(jitter);
    }
}

fn step(row: Option<&WorkRow>, since: Millis, sent: Millis, context: &Context) -> Step {
    let Some(row) = row else {
        return Step::Claim;
    };
    if row.holder == context.identity.node.to_compact_string() {
        return Step::Renew;
    }
    if row.holder.is_empty() || sent.since(since) >= LEASE {
        return Step::Claim;
    }
    Step::Watch
}

fn read_period(context: &Context) -> Millis {
    let shared = context.members.present_count() as u64 * 1_000 / READS_PER_SECOND;
    Millis(READ_PERIOD.0.max(shared))
}
