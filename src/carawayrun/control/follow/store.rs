//! Polling of the table service.
//!
//! A poll reads the head. Where it is a little ahead, the rows of the changes
//! are read; where it is far ahead or a change is missing, all resources are,
//! and the head once more: only where it has not moved do they belong together.

use compact_str::CompactString;
use rand::Rng;
use tracing::{info, warn};

use super::Follow;
use crate::control::context::Context;
use crate::control::effect::{Component, Effect, Ticket};
use crate::control::time::Millis;
use crate::resource::{Change, HEAD_KEY, Head, RESOURCE_PREFIX, Resource, change_key};
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Shortest time between two polls.
const POLL_PERIOD: Millis = Millis(1_500);

/// Time between two polls is so long that all nodes together make this many a
/// second.
const POLLS_PER_SECOND: u64 = 100;

/// Longest time between two polls while the table service is down.
const MAX_BACKOFF: Millis = Millis(8_000);

/// Most changes that are read one by one.
const MAX_CHANGES: u64 = 64;

/// Rows in one page of resources.
const PAGE_ROWS: u32 = 500;

/// Where the polling stands.
#[derive(Debug, Default)]
pub(super) struct Poll {
    step: Step,
    number: u64,
    next: Millis,
    failures: u32,
    reachable: bool,
}

/// The call under way; `sent` is when the head was asked for.
#[derive(Debug, Default)]
enum Step {
    #[default]
    Idle,
    Head {
        sent: Millis,
    },
    Changes {
        sent: Millis,
        head: u64,
    },
    Resources {
        head: u64,
        found: Vec<Resource>,
    },
    SameHead {
        sent: Millis,
        head: u64,
        found: Vec<Resource>,
    },
}

impl Follow {
    pub(super) fn tick_poll(&mut self, context: &mut Context) {
        if matches!(self.poll.step, Step::Idle) && context.now >= self.poll.next {
            self.read_head(context);
        }
    }

    pub(super) fn poll_soon(&mut self, context: &mut Context) {
        if self.poll.failures == 0 {
            self.poll.next = context.now;
            self.tick_poll(context);
        }
    }

    pub(super) fn take_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        if number != self.poll.number {
            return;
        }
        let step = std::mem::take(&mut self.poll.step);
        match result {
            Ok(TableAnswer::Rows(rows)) => {
                self.reached(true);
                self.take_rows(step, rows, context);
            }
            Ok(TableAnswer::Committed) | Err(_) => {
                self.reached(false);
                self.rest(context);
            }
        }
    }

    fn take_rows(&mut self, step: Step, rows: &[Row], context: &mut Context) {
        match step {
            Step::Idle => {}
            Step::Head { sent } => self.take_head(sent, rows, context),
            Step::Changes { sent, head } => self.take_change_rows(sent, head, rows, context),
            Step::Resources { head, found } => self.take_page(head, found, rows, context),
            Step::SameHead { sent, head, found } => {
                self.take_second_head(sent, head, &found, rows, context);
            }
        }
    }

    fn take_head(&mut self, sent: Millis, rows: &[Row], context: &mut Context) {
        let Some(head) = head_of(rows) else {
            self.refuse(HEAD_KEY, context);
            return;
        };
        self.wanted.newest = self.wanted.newest.max(head);
        let ours = context.config.generation;
        if head <= ours {
            self.confirm(sent, context);
        } else if head - ours <= MAX_CHANGES {
            let keys = (ours + 1..=head).map(change_key).collect();
            self.call(Step::Changes { sent, head }, TableCall::Read(keys), context);
        } else {
            self.read_resources(head, context);
        }
    }

    fn take_change_rows(&mut self, sent: Millis, head: u64, rows: &[Row], context: &mut Context) {
        let mut changes: Vec<Change> = rows.iter().filter_map(value_of).collect();
        changes.sort_by_key(|change| change.generation);
        let before = context.config.generation;
        for change in &changes {
            self.apply(change, context);
        }
        if context.config.generation > before {
            self.push_latest(context);
        }
        if context.config.generation >= head {
            self.confirm(sent, context);
        } else {
            self.read_resources(head, context);
        }
    }

    fn take_page(
        &mut self,
        head: u64,
        mut found: Vec<Resource>,
        rows: &[Row],
        context: &mut Context,
    ) {
        for row in rows {
            let Some(resource) = value_of(row) else {
                self.refuse(&row.key, context);
                return;
            };
            found.push(resource);
        }
        let full = rows.len() >= PAGE_ROWS as usize;
        if let Some(last) = rows.last().filter(|_| full) {
            let call = resources_after(last.key.clone());
            self.call(Step::Resources { head, found }, call, context);
            return;
        }
        let sent = context.now;
        let call = TableCall::Read(vec![HEAD_KEY.into()]);
        self.call(Step::SameHead { sent, head, found }, call, context);
    }

    // Where the head has moved, the pages may mix two generations.
    fn take_second_head(
        &mut self,
        sent: Millis,
        head: u64,
        found: &[Resource],
        rows: &[Row],
        context: &mut Context,
    ) {
        let Some(now_head) = head_of(rows) else {
            self.refuse(HEAD_KEY, context);
            return;
        };
        if now_head != head {
            self.read_resources(now_head, context);
            return;
        }
        self.replace(head, found, context);
        if context.config.generation >= head {
            self.confirm(sent, context);
        } else {
            self.rest(context);
        }
    }

    // A row that this release can't read must not be taken for a missing one.
    fn refuse(&mut self, key: &str, context: &mut Context) {
        warn!(name: "config.row_unusable", key);
        self.rest(context);
    }

    fn confirm(&mut self, sent: Millis, context: &mut Context) {
        context.confirmed_at = context.confirmed_at.max(Some(sent));
        self.rest(context);
    }

    fn read_head(&mut self, context: &mut Context) {
        let sent = context.now;
        let call = TableCall::Read(vec![HEAD_KEY.into()]);
        self.call(Step::Head { sent }, call, context);
    }

    fn read_resources(&mut self, head: u64, context: &mut Context) {
        let found = Vec::new();
        let call = resources_after(CompactString::default());
        self.call(Step::Resources { head, found }, call, context);
    }

    fn call(&mut self, step: Step, call: TableCall, context: &mut Context) {
        self.poll.step = step;
        self.poll.number += 1;
        let ticket = Ticket {
            component: Component::Config,
            number: self.poll.number,
        };
        context.effects.push(Effect::CallTable(ticket, call));
    }

    fn reached(&mut self, reachable: bool) {
        self.poll.failures = if reachable { 0 } else { self.poll.failures + 1 };
        if self.poll.reachable != reachable {
            self.poll.reachable = reachable;
            info!(name: "table.reachable", reachable);
        }
    }

    fn rest(&mut self, context: &mut Context) {
        let shared = context.members.present_count() as u64 * 1_000 / POLLS_PER_SECOND;
        let period = POLL_PERIOD.0.max(shared);
        let backoff = (period << self.poll.failures.min(8))
            .min(MAX_BACKOFF.0)
            .max(period);
        // A quarter earlier or later, so that the polls of the nodes spread.
        let jitter = context.rng.random_range(0..=backoff / 2);
        self.poll.next = context.now + Millis(backoff - backoff / 4 + jitter);
    }
}

fn resources_after(after: CompactString) -> TableCall {
    TableCall::List(ListCall {
        prefix: RESOURCE_PREFIX.into(),
        after,
        limit: PAGE_ROWS,
    })
}

// Before the first change there is no head; none where it can't be read.
fn head_of(rows: &[Row]) -> Option<u64> {
    let Some(row) = rows.first() else {
        return Some(0);
    };
    value_of(row).map(|head: Head| head.generation)
}

fn value_of<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(row.value.get()).ok()
}
