//! Polling of the table service.
//!
//! A poll reads the head: the row with the newest generation. If the head is a
//! few generations ahead, the rows of the changes are read. If it is far ahead
//! or a change is missing, all resources are read, then the head again: the
//! pages are consistent only if it has not moved.

use compact_str::CompactString;
use rand::Rng;
use tracing::{info, warn};

use super::ConfigFollower;
use crate::control::context::Context;
use crate::control::effect::{Component, Effect, Ticket};
use crate::control::time::Millis;
use crate::resource::{Change, HEAD_KEY, Head, RESOURCE_PREFIX, Resource, change_key};
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Minimum time between two polls, before jitter.
const POLL_PERIOD: Millis = Millis(1_500);

/// Polls of all nodes together, per second; the time between two polls of a
/// node grows with the number of members.
const POLLS_PER_SECOND: u64 = 100;

/// Maximum backoff between two polls while the table service is unreachable,
/// before jitter; the normal time between two polls is kept if it is longer.
const MAX_BACKOFF: Millis = Millis(8_000);

/// Maximum number of changes that are read one by one; beyond it all resources
/// are read.
const MAX_CHANGES_READ: u64 = 64;

/// Maximum number of rows in one page of resources.
const PAGE_ROWS: u32 = 500;

/// State of the polling.
#[derive(Debug, Default)]
pub(super) struct Poll {
    state: PollState,
    number: u64,
    due: Millis,
    failures: u32,
    reachable: bool,
}

/// The pending call; `sent` is the time at which the head was requested, and
/// `head` the generation that it named.
#[derive(Debug, Default)]
enum PollState {
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
    // The head is read again after the last page of resources.
    SecondHead {
        sent: Millis,
        head: u64,
        found: Vec<Resource>,
    },
}

impl ConfigFollower {
    pub(super) fn tick_poll(&mut self, context: &mut Context) {
        if matches!(self.poll.state, PollState::Idle) && context.now >= self.poll.due {
            self.request_head(context);
        }
    }

    pub(super) fn poll_soon(&mut self, context: &mut Context) {
        if self.poll.failures == 0 {
            self.poll.due = context.now;
            self.tick_poll(context);
        }
    }

    pub(super) fn handle_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        if number != self.poll.number {
            return;
        }
        let state = std::mem::take(&mut self.poll.state);
        match result {
            Ok(TableAnswer::Rows(rows)) => {
                self.record_reachability(true);
                self.handle_rows(state, rows, context);
            }
            Ok(TableAnswer::Committed) | Err(_) => {
                self.record_reachability(false);
                self.schedule_poll(context);
            }
        }
    }

    fn handle_rows(&mut self, state: PollState, rows: &[Row], context: &mut Context) {
        match state {
            PollState::Idle => {}
            PollState::Head { sent } => self.handle_head(sent, rows, context),
            PollState::Changes { sent, head } => self.handle_changes(sent, head, rows, context),
            PollState::Resources { head, found } => self.handle_page(head, found, rows, context),
            PollState::SecondHead { sent, head, found } => {
                self.handle_second_head(sent, head, &found, rows, context);
            }
        }
    }

    fn handle_head(&mut self, sent: Millis, rows: &[Row], context: &mut Context) {
        let Some(head) = parse_head(rows) else {
            self.report_unreadable_row(HEAD_KEY, context);
            return;
        };
        self.catch_up.newest = self.catch_up.newest.max(head);
        let ours = context.config.generation;
        if head <= ours {
            self.record_confirmation(sent, context);
        } else if head - ours <= MAX_CHANGES_READ {
            let keys = (ours + 1..=head).map(change_key).collect();
            self.call_table(
                PollState::Changes { sent, head },
                TableCall::Read(keys),
                context,
            );
        } else {
            self.request_resources(head, context);
        }
    }

    fn handle_changes(&mut self, sent: Millis, head: u64, rows: &[Row], context: &mut Context) {
        let mut changes: Vec<Change> = rows.iter().filter_map(parse_row).collect();
        changes.sort_by_key(|change| change.generation);
        let before = context.config.generation;
        for change in &changes {
            self.apply_change(change, context);
        }
        if context.config.generation > before {
            self.push_latest(context);
        }
        if context.config.generation >= head {
            self.record_confirmation(sent, context);
        } else {
            self.request_resources(head, context);
        }
    }

    fn handle_page(
        &mut self,
        head: u64,
        mut found: Vec<Resource>,
        rows: &[Row],
        context: &mut Context,
    ) {
        for row in rows {
            let Some(resource) = parse_row(row) else {
                self.report_unreadable_row(&row.key, context);
                return;
            };
            found.push(resource);
        }
        let full = rows.len() >= PAGE_ROWS as usize;
        if let Some(last) = rows.last().filter(|_| full) {
            let call = resources_after(last.key.clone());
            self.call_table(PollState::Resources { head, found }, call, context);
            return;
        }
        let sent = context.now;
        let call = TableCall::Read(vec![HEAD_KEY.into()]);
        self.call_table(PollState::SecondHead { sent, head, found }, call, context);
    }

    // If the head has moved, the pages may mix two generations.
    fn handle_second_head(
        &mut self,
        sent: Millis,
        head: u64,
        found: &[Resource],
        rows: &[Row],
        context: &mut Context,
    ) {
        let Some(current_head) = parse_head(rows) else {
            self.report_unreadable_row(HEAD_KEY, context);
            return;
        };
        if current_head != head {
            self.request_resources(current_head, context);
            return;
        }
        self.install_snapshot(head, found, context);
        if context.config.generation >= head {
            self.record_confirmation(sent, context);
        } else {
            self.schedule_poll(context);
        }
    }

    // A row that this release can't parse must not be treated as missing.
    fn report_unreadable_row(&mut self, key: &str, context: &mut Context) {
        warn!(name: "config.row_unusable", key);
        self.schedule_poll(context);
    }

    fn record_confirmation(&mut self, sent: Millis, context: &mut Context) {
        context.confirmed_at = context.confirmed_at.max(Some(sent));
        self.schedule_poll(context);
    }

    // Starts a poll; the answer arrives as an event.
    fn request_head(&mut self, context: &mut Context) {
        let sent = context.now;
        let call = TableCall::Read(vec![HEAD_KEY.into()]);
        self.call_table(PollState::Head { sent }, call, context);
    }

    fn request_resources(&mut self, head: u64, context: &mut Context) {
        let found = Vec::new();
        let call = resources_after(CompactString::default());
        self.call_table(PollState::Resources { head, found }, call, context);
    }

    fn call_table(&mut self, state: PollState, call: TableCall, context: &mut Context) {
        self.poll.state = state;
        self.poll.number += 1;
        let ticket = Ticket {
            component: Component::Config,
            number: self.poll.number,
        };
        context.effects.push(Effect::CallTable(ticket, call));
    }

    fn record_reachability(&mut self, reachable: bool) {
        self.poll.failures = if reachable { 0 } else { self.poll.failures + 1 };
        if self.poll.reachable != reachable {
            self.poll.reachable = reachable;
            info!(name: "table.reachable", reachable);
        }
    }

    fn schedule_poll(&mut self, context: &mut Context) {
        let shared = context.members.present_count() as u64 * 1_000 / POLLS_PER_SECOND;
        let period = POLL_PERIOD.0.max(shared);
        let backoff = (period << self.poll.failures.min(8))
            .min(MAX_BACKOFF.0)
            .max(period);
        // Jitter of a quarter either way, so that the nodes' polls don't
        // synchronize.
        let jitter = context.rng.random_range(0..=backoff / 2);
        self.poll.due = context.now + Millis(backoff - backoff / 4 + jitter);
    }
}

fn resources_after(after: CompactString) -> TableCall {
    TableCall::List(ListCall {
        prefix: RESOURCE_PREFIX.into(),
        after,
        limit: PAGE_ROWS,
    })
}

// Returns the head's generation: 0 if there is no row yet, none if the row
// can't be parsed.
fn parse_head(rows: &[Row]) -> Option<u64> {
    let Some(row) = rows.first() else {
        return Some(0);
    };
    parse_row(row).map(|head: Head| head.generation)
}

fn parse_row<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(row.value.get()).ok()
}
