//! The ledger of this gateway's own requests.

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use tracing::warn;

use super::row::{self, LedgerRow};
use super::sequences::Sequences;
use super::{Backoff, TableCalls};
use crate::control::context::{Context, Lifecycle};
use crate::control::event::{Bill, BillStep};
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{BillsFlushed, BillsHeld, BillsWant, Envelope};
use crate::store::table::{TableAnswer, TableCall, TableError, Transaction};

/// Number of bills at which a batch is written without waiting for more.
const FLUSH_BILLS: usize = 512;

/// Longest time that a bill waits for others before its batch is written.
const FLUSH_DELAY: Millis = Millis(5_000);

/// Longest time between two writes of the row, which show other gateways that
/// this one is alive.
const HEARTBEAT_INTERVAL: Millis = Millis(10_000);

/// Time between two requests to an agent for missing usage.
const USAGE_REQUEST_INTERVAL: Millis = Millis(1_000);

/// Time after which a run that the agent does not know of counts as not run: a
/// request on its way must have arrived by then.
const RUN_ARRIVAL_LIMIT: Millis = Millis(3_000);

/// Longest time that a bill waits for usage from an agent. Regions may lose
/// contact with each other for an hour.
const USAGE_WAIT_LIMIT: Millis = Millis(2 * 3_600_000);

/// Time after which `BillsFlushed` is sent to an agent again.
const FLUSHED_REPEAT_INTERVAL: Millis = Millis(10_000);

/// The ledger of this incarnation.
#[derive(Debug, Default)]
pub(super) struct OwnLedger {
    sealed: bool,
    version: u64,
    row: LedgerRow,
    // Requests that need no further bill once `pending` and `in_flight` are
    // written, including those without a bill. Stored as `LedgerRow::written`.
    closed: Sequences,
    pending: Vec<Bill>,
    pending_since: Option<Millis>,
    incomplete: Vec<IncompleteBill>,
    in_flight: Option<PendingBatch>,
    last_write: Millis,
    agents: FxHashMap<CompactString, AgentContact>,
}

/// A bill that waits for usage from agents.
#[derive(Debug)]
struct IncompleteBill {
    bill: Bill,
    waiting_since: Millis,
    asked_at: Option<Millis>,
}

/// A write of the ledger, with a batch of bills if any, that the table service
/// has not confirmed yet.
#[derive(Debug)]
struct PendingBatch {
    call: Option<u64>,
    retry_at: Millis,
    backoff: Backoff,
    transaction: Transaction,
    row: LedgerRow,
    bills: Vec<Bill>,
}

/// State of the `BillsFlushed` messages to one agent.
#[derive(Debug, Default)]
struct AgentContact {
    /// Highest sequence of a request that ran at the agent.
    last_sequence: u64,
    repeats: u32,
    notified_at: Millis,
}

/// Repeats of `BillsFlushed` to an agent before the last one. It is repeated
/// because messages may be lost.
const REPEATS_BEFORE_LAST: u32 = 2;

impl OwnLedger {
    pub(super) fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Number of bills that are not confirmed by the table service.
    pub(super) fn unwritten_count(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |batch| batch.bills.len());
        self.pending.len() + self.incomplete.len() + in_flight
    }

    pub(super) fn add_bill(&mut self, bill: &Bill, calls: &mut TableCalls, context: &mut Context) {
        if bill.awaited.is_empty() {
            self.queue_bill(bill.clone(), context.now);
        } else {
            self.incomplete.push(IncompleteBill {
                bill: bill.clone(),
                waiting_since: context.now,
                asked_at: None,
            });
            self.request_usage(context);
        }
        self.flush(calls, context);
    }

    pub(super) fn tick(&mut self, calls: &mut TableCalls, context: &mut Context) {
        self.request_usage(context);
        self.expire_incomplete(context);
        self.flush(calls, context);
        self.repeat_flushed(context);
        // A stopping process waits until no bills are unwritten, so each tick
        // updates the count in the view.
        context.view_changed |= context.lifecycle != Lifecycle::Running;
    }

    pub(super) fn handle_message(&mut self, envelope: &Envelope, context: &mut Context) {
        let Some(Body::BillsHeld(held)) = &envelope.body else {
            return;
        };
        let is_ours =
            held.gateway.as_ref().map(NodeId::from) == Some(context.identity.node.clone());
        let upstream = envelope
            .sender
            .as_ref()
            .and_then(|sender| context.members.key(&sender.name))
            .and_then(|key| context.members.get(key))
            .map(|member| member.upstream.clone());
        if let Some(upstream) = upstream.filter(|_| is_ours) {
            self.record_usage(&upstream, held, context.now);
        }
    }

    /// Handles the answer to a call; false if the call was not this ledger's.
    pub(super) fn handle_table_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) -> bool {
        let Some(batch) = &mut self.in_flight else {
            return false;
        };
        if batch.call != Some(number) {
            return false;
        }
        batch.call = None;
        match result {
            Ok(_) => self.confirm_batch(context),
            Err(TableError::Conflict { rows }) => {
                let found = row::find(rows, &context.identity.node);
                let expected = batch.row.clone();
                let next = self.version + 1;
                if found.is_some_and(|found| found.version == next && found.row == expected) {
                    self.confirm_batch(context);
                } else {
                    self.mark_sealed(context);
                }
            }
            Err(error) => {
                if matches!(error, TableError::Invalid { .. }) {
                    warn!(name: "ledger.refused", %error, "the table service rejected a write of the ledger");
                }
                batch.retry_at = context.now + batch.backoff.next_delay();
            }
        }
        true
    }

    // Records that the batch is in the table, through this call or an earlier one.
    fn confirm_batch(&mut self, context: &mut Context) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        self.version += 1;
        self.row = batch.row;
        self.last_write = context.now;
        self.notify_flushed(&batch.bills, context);
    }

    // Stops writing: another gateway has declared this incarnation dead and
    // completes the ledger from the usage that agents keep.
    fn mark_sealed(&mut self, context: &Context) {
        warn!(
            name: "ledger.sealed",
            node = %context.identity.node,
            unwritten = self.unwritten_count(),
            "another gateway sealed this gateway's ledger"
        );
        self.sealed = true;
        self.in_flight = None;
        self.pending.clear();
        self.incomplete.clear();
    }

    // Adds a bill without awaited steps to the next batch, once per request.
    fn queue_bill(&mut self, bill: Bill, now: Millis) {
        let is_new = self.closed.insert(bill.sequence);
        if is_new && !bill.steps.is_empty() {
            self.record_agents(&bill);
            self.pending.push(bill);
            self.pending_since.get_or_insert(now);
        }
    }

    fn record_agents(&mut self, bill: &Bill) {
        for step in &bill.steps {
            let contact = self.agents.entry(step.upstream.clone()).or_default();
            contact.last_sequence = contact.last_sequence.max(bill.sequence);
            contact.repeats = 0;
        }
    }

    fn flush(&mut self, calls: &mut TableCalls, context: &mut Context) {
        if self.sealed {
            return;
        }
        if self.in_flight.is_none() && self.is_flush_due(context) {
            self.in_flight = Some(self.next_batch(context));
        }
        let Some(batch) = &mut self.in_flight else {
            return;
        };
        if batch.call.is_none() && batch.retry_at <= context.now {
            let call = TableCall::Commit(batch.transaction.clone());
            batch.call = Some(calls.send(call, context));
        }
    }

    fn is_flush_due(&self, context: &Context) -> bool {
        let is_old = |since| context.now.since(since) >= FLUSH_DELAY;
        let stopping = context.lifecycle != Lifecycle::Running && !self.pending.is_empty();
        let needs_heartbeat =
            self.version == 0 || context.now.since(self.last_write) >= HEARTBEAT_INTERVAL;
        needs_heartbeat
            || stopping
            || self.pending.len() >= FLUSH_BILLS
            || self.pending_since.is_some_and(is_old)
    }

    // Takes the pending bills into a batch; without bills it is a heartbeat.
    fn next_batch(&mut self, context: &Context) -> PendingBatch {
        let bills = std::mem::take(&mut self.pending);
        self.pending_since = None;
        let has_bills = !bills.is_empty();
        let row = LedgerRow {
            written: self.closed.clone(),
            batch: self.row.batch + u64::from(has_bills),
            beat: self.row.beat + u64::from(!has_bills),
            ..LedgerRow::default()
        };
        let node = &context.identity.node;
        PendingBatch {
            call: None,
            retry_at: context.now,
            backoff: Backoff::default(),
            transaction: row::transaction(node, self.version, &row, &bills),
            row,
            bills,
        }
    }

    // Tells the agents of these bills to drop their copies of the usage.
    fn notify_flushed(&mut self, bills: &[Bill], context: &mut Context) {
        let mut by_agent: FxHashMap<CompactString, Vec<u64>> = FxHashMap::default();
        for bill in bills {
            for step in &bill.steps {
                let sequences = by_agent.entry(step.upstream.clone()).or_default();
                sequences.push(bill.sequence);
            }
        }
        for (upstream, sequences) in by_agent {
            self.send_flushed(&upstream, sequences, context);
        }
    }

    // Sends `BillsFlushed` again to agents whose requests are all in the set of
    // the row, that is up to its watermark.
    fn repeat_flushed(&mut self, context: &mut Context) {
        let watermark = self.row.written.watermark();
        let due: Vec<CompactString> = self
            .agents
            .iter()
            .filter(|(_, contact)| contact.last_sequence <= watermark)
            .filter(|(_, contact)| {
                context.now.since(contact.notified_at) >= FLUSHED_REPEAT_INTERVAL
            })
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in due {
            self.send_flushed(&upstream, Vec::new(), context);
        }
        self.agents
            .retain(|_, contact| contact.repeats <= REPEATS_BEFORE_LAST);
    }

    fn send_flushed(
        &mut self,
        upstream: &CompactString,
        sequences: Vec<u64>,
        context: &mut Context,
    ) {
        if let Some(contact) = self.agents.get_mut(upstream) {
            contact.notified_at = context.now;
            contact.repeats += u32::from(sequences.is_empty());
        }
        let body = Body::BillsFlushed(BillsFlushed {
            gateway: Some((&context.identity.node).into()),
            watermark: self.row.written.watermark(),
            sequences,
        });
        send(upstream, body, context);
    }

    // Asks agents for usage that was lost with an answer.
    fn request_usage(&mut self, context: &mut Context) {
        let now = context.now;
        let is_due_again = |asked| now.since(asked) >= USAGE_REQUEST_INTERVAL;
        let mut upstreams: Vec<CompactString> = Vec::new();
        for waiting in &mut self.incomplete {
            if !waiting.asked_at.is_none_or(is_due_again) {
                continue;
            }
            waiting.asked_at = Some(now);
            upstreams.extend(
                waiting
                    .bill
                    .awaited
                    .iter()
                    .map(|step| step.upstream.clone()),
            );
        }
        upstreams.sort_unstable();
        upstreams.dedup();
        for upstream in upstreams {
            let body = Body::BillsWant(BillsWant {
                gateway: Some((&context.identity.node).into()),
            });
            send(&upstream, body, context);
        }
    }

    fn record_usage(&mut self, upstream: &CompactString, held: &BillsHeld, now: Millis) {
        for waiting in &mut self.incomplete {
            let is_past_arrival = now.since(waiting.waiting_since) >= RUN_ARRIVAL_LIMIT;
            let is_full_list = held.usages.len() >= held.total as usize;
            take_usage(
                &mut waiting.bill,
                upstream,
                held,
                is_past_arrival && is_full_list,
            );
        }
        self.queue_completed(now);
    }

    // Stops waiting for usage after `USAGE_WAIT_LIMIT`: an agent that is gone
    // can't report it any more. The bill is written without the missing usage,
    // or dropped if it has no steps.
    fn expire_incomplete(&mut self, context: &Context) {
        for waiting in &mut self.incomplete {
            if context.now.since(waiting.waiting_since) >= USAGE_WAIT_LIMIT {
                waiting.bill.awaited.clear();
            }
        }
        self.queue_completed(context.now);
    }

    fn queue_completed(&mut self, now: Millis) {
        let (ready, incomplete) = std::mem::take(&mut self.incomplete)
            .into_iter()
            .partition(|waiting| waiting.bill.awaited.is_empty());
        self.incomplete = incomplete;
        for IncompleteBill { bill, .. } in ready {
            self.queue_bill(bill, now);
        }
    }
}

// Moves the usage that an agent reports from a bill's awaited steps to its
// steps. A step that still runs stays awaited. A step that the agent does not
// know did not run if `absent` is set.
fn take_usage(bill: &mut Bill, upstream: &CompactString, held: &BillsHeld, absent: bool) {
    let sequence = bill.sequence;
    let steps = &mut bill.steps;
    bill.awaited.retain(|awaited| {
        if awaited.upstream != *upstream {
            return true;
        }
        let usage = held.usages.iter().find(|usage| {
            let request = usage.request.as_ref();
            request.is_some_and(|id| id.sequence == sequence) && usage.step == awaited.step
        });
        match usage {
            Some(usage) if !usage.finished => true,
            Some(usage) => {
                steps.push(BillStep::from(usage));
                false
            }
            None => !absent,
        }
    });
    bill.cost_micros = bill.steps.iter().map(|step| step.cost_micros).sum();
}

fn send(upstream: &CompactString, body: Body, context: &mut Context) {
    let addr = context
        .members
        .iter()
        .map(|(_, member)| member)
        .find(|member| member.upstream == *upstream && member.is_present())
        .map(|member| member.peer_addr.clone());
    if let Some(addr) = addr {
        context.send(&addr, body);
    }
}
