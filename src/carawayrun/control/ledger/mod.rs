//! Billing: exactly one record per request, across crashes and lost messages.
//!
//! Each incarnation of a gateway has a row `ledger/<incarnation>` with the set
//! of requests that need no further bill. Bills are written in batches, each in
//! one transaction with that row, on condition of its version. One batch is in
//! flight at a time. If its answer is lost, it is sent again unchanged; because
//! of the row's version it takes effect only once.
//!
//! Agents keep the usage of every attempt until a `BillsFlushed` message says
//! that its request is in the table. When a gateway dies, another gateway
//! [seals](recovery) its row, so that the dead one can't add to it if it
//! resumes. It then asks the agents for the usage that they keep and writes the
//! missing bills.
//!
//! During an outage of the table service bills are kept in memory. Admission
//! closes while there is still room for the bills of all requests in flight.

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

/// Most requests in flight at one gateway. Admission closes while there is room
/// for as many further bills.
pub const MAX_IN_FLIGHT: usize = 8_192;

/// Limit of the unwritten bills in memory. Admission keeps it by closing
/// [`MAX_IN_FLIGHT`] bills earlier; a due bill is kept even beyond it.
const MAX_UNWRITTEN: usize = 4 * MAX_IN_FLIGHT;

/// Retry delay for clients while admission is closed for unwritten bills, in
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

/// Sends and numbers this component's calls to the table service.
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

/// Exponential backoff, from [`MIN_BACKOFF`] to [`MAX_BACKOFF`].
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
        let before = (self.must_close(), self.view().sealed);
        self.dispatch(event, context);
        if before != (self.must_close(), self.view().sealed) {
            context.publish_now = true;
        }
    }

    /// The ledger's state for the traffic threads.
    pub(crate) fn view(&self) -> LedgerView {
        LedgerView {
            unwritten: self.own.unwritten_count() as u64,
            sealed: self.own.is_sealed(),
        }
    }

    /// Closed if the ledger is sealed or has room only for the bills of
    /// requests in flight.
    pub(crate) fn admission(&self) -> Admission {
        if self.own.is_sealed() {
            return Admission::Closed {
                code: "draining",
                retry_after_ms: 0,
            };
        }
        if self.must_close() {
            return Admission::Closed {
                code: "store_unavailable",
                retry_after_ms: FULL_RETRY_MS,
            };
        }
        Admission::Open
    }

    // True if there is room only for the bills of requests in flight.
    fn must_close(&self) -> bool {
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
                self.handle_table_answer(ticket.number, result, context);
            }
            Event::MessageReceived(envelope) => {
                self.own.handle_message(envelope, context);
                self.recovery.handle_message(envelope, context);
            }
            _ => {}
        }
    }

    fn handle_table_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        if !self.own.handle_table_answer(number, result, context) {
            self.recovery
                .handle_table_answer(number, result, &mut self.calls, context);
        }
    }
}
