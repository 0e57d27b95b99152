//! Billing: one record for each request, whatever fails.
//!
//! Each life of a gateway has a row `ledger/<life>` that names the requests
//! which need no further bill. Bills are written in batches, each in one
//! transaction with that row and on condition of its version. One batch is on
//! its way at a time. Where its answer is lost it is sent again unchanged: the
//! row's version lets it take effect once.
//!
//! Agents hold the usage of every attempt until they are told by
//! `BillsFlushed` that its request is in the table. When a gateway dies,
//! another one [seals](recovery) its row, so that a gateway which wakes again
//! can't add to it, asks the agents for what they hold, and writes the bills
//! that are missing.
//!
//! While the table service is out, bills are kept, and admission closes while
//! there is still room for the bills of all requests in flight.

mod dead_ledger;
mod own;
mod recovery;
mod row;
mod sequences;

use self::own::OwnLedger;
use self::recovery::Recovery;
use super::context::Context;
use super::effect::{Component, Effect, Ticket};
use super::event::Event;
use super::state::Role;
use super::time::Millis;
use super::view::{Admission, LedgerView};
use crate::store::table::{TableAnswer, TableCall, TableError};

/// Most requests in flight at one gateway; room for the bills of so many is
/// kept when admission closes.
pub const MAX_IN_FLIGHT: usize = 8_192;

/// Most bills that are kept while the table service is out.
const MAX_UNWRITTEN: usize = 4 * MAX_IN_FLIGHT;

/// When a caller should come back where no more bills can be kept, in
/// milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

/// Shortest and longest wait before a call to the table service is repeated.
const MIN_BACKOFF: Millis = Millis(200);
const MAX_BACKOFF: Millis = Millis(5_000);

/// Billing of one gateway.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    own: OwnLedger,
    recovery: Recovery,
    calls: TableCalls,
}

/// Numbers the calls of this concern.
#[derive(Debug, Default)]
struct TableCalls {
    last_number: u64,
}

impl TableCalls {
    fn send(&mut self, call: TableCall, context: &mut Context) -> u64 {
        self.last_number += 1;
        let ticket = Ticket {
            component: Component::Ledger,
            number: self.last_number,
        };
        context.effects.push(Effect::CallTable(ticket, call));
        self.last_number
    }
}

/// Waits that double with each failure.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn next_delay(&mut self) -> Millis {
        let wait = MIN_BACKOFF.0 << self.failures.min(8);
        self.failures += 1;
        Millis(wait.min(MAX_BACKOFF.0))
    }
}

impl Ledger {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        if context.identity.role != Role::Gateway {
            return;
        }
        let before = (self.is_full(), self.view().sealed);
        self.dispatch(event, context);
        if before != (self.is_full(), self.view().sealed) {
            context.publish_now = true;
        }
    }

    /// What traffic threads see of it.
    pub(crate) fn view(&self) -> LedgerView {
        LedgerView {
            unwritten: self.own.unwritten_count() as u64,
            sealed: self.own.is_sealed(),
        }
    }

    /// Whether new requests may be billed.
    pub(crate) fn admission(&self) -> Admission {
        if self.own.is_sealed() {
            return Admission::Closed {
                code: "draining",
                retry_after_ms: 0,
            };
        }
        if self.is_full() {
            return Admission::Closed {
                code: "store_unavailable",
                retry_after_ms: FULL_RETRY_MS,
            };
        }
        Admission::Open
    }

    fn is_full(&self) -> bool {
        self.own.unwritten_count() + MAX_IN_FLIGHT >= MAX_UNWRITTEN
    }

    fn dispatch(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::Tick => {
                self.own.tick(&mut self.calls, context);
                self.recovery.tick(&mut self.calls, context);
            }
            Event::BillDue(bill) => self.own.add_bill(bill, &mut self.calls, context),
            Event::TableAnswered(ticket, result) if ticket.component == Component::Ledger => {
                self.handle_stored(ticket.number, result, context);
            }
            Event::MessageReceived(envelope) => {
                self.own.receive(envelope, context);
                self.recovery.receive(envelope, context);
            }
            _ => {}
        }
    }

    fn handle_stored(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        if !self.own.handle_stored(number, result, context) {
            self.recovery
                .handle_stored(number, result, &mut self.calls, context);
        }
    }
}
