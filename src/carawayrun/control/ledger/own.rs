//! Bills of this gateway's own requests.

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use tracing::warn;

use super::row::{self, LedgerRow};
use super::sequences::Sequences;
use super::{Backoff, Calls};
use crate::control::context::{Context, Lifecycle};
use crate::control::event::{Bill, BillStep};
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{BillsFlushed, BillsHeld, BillsWant, Envelope};
use crate::store::table::{TableAnswer, TableCall, TableError, Transaction};

/// Bills that are written at once without waiting for more.
const FLUSH_COUNT: usize = 512;

/// Longest time a bill waits for others.
const FLUSH_AGE: Millis = Millis(5_000);

/// Longest time between two writes, so that others see that this gateway lives.
const BEAT_PERIOD: Millis = Millis(10_000);

/// Time between two questions to an agent about lost usage.
const ASK_PERIOD: Millis = Millis(1_000);

/// Time after which a run that an agent does not know of has not run there.
const ABSENT_AFTER: Millis = Millis(3_000);

/// Longest time a bill waits for an agent's word on lost usage; regions may lose
/// each other for an hour.
const ASK_LIMIT: Millis = Millis(2 * 3_600_000);

/// Time after which agents are told again what is written.
const REMIND_PERIOD: Millis = Millis(10_000);

/// Ledger of this life.
#[derive(Debug, Default)]
pub(super) struct Own {
    sealed: bool,
    version: u64,
    row: LedgerRow,
    // All that need no further bill once `due` is written.
    closed: Sequences,
    due: Vec<Bill>,
    due_since: Option<Millis>,
    open: Vec<OpenBill>,
    flight: Option<Flight>,
    last_write: Millis,
    agents: FxHashMap<CompactString, Contact>,
}

/// A bill that waits for an agent's word on lost usage.
#[derive(Debug)]
struct OpenBill {
    bill: Bill,
    since: Millis,
    asked: Option<Millis>,
}

/// A batch that is on its way.
#[derive(Debug)]
struct Flight {
    call: Option<u64>,
    retry_at: Millis,
    backoff: Backoff,
    transaction: Transaction,
    row: LedgerRow,
    bills: Vec<Bill>,
}

/// What an agent was told.
#[derive(Debug, Default)]
struct Contact {
    /// Highest request that ran there.
    last: u64,
    reminders: u32,
    told_at: Millis,
}

/// Times an agent is told again, as messages may be lost.
const REMINDERS: u32 = 2;

impl Own {
    pub(super) fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Bills that are not known to be in the table service.
    pub(super) fn unwritten(&self) -> usize {
        let flying = self.flight.as_ref().map_or(0, |flight| flight.bills.len());
        self.due.len() + self.open.len() + flying
    }

    pub(super) fn bill(&mut self, bill: &Bill, calls: &mut Calls, context: &mut Context) {
        if bill.awaited.is_empty() {
            self.close(bill.clone(), context.now);
        } else {
            self.open.push(OpenBill {
                bill: bill.clone(),
                since: context.now,
                asked: None,
            });
            self.ask(context);
        }
        self.flush(calls, context);
    }

    pub(super) fn tick(&mut self, calls: &mut Calls, context: &mut Context) {
        self.ask(context);
        self.give_up(context);
        self.flush(calls, context);
        self.remind(context);
        // A stopping process watches the count.
        context.view_changed |= context.lifecycle != Lifecycle::Running;
    }

    pub(super) fn receive(&mut self, envelope: &Envelope, context: &mut Context) {
        let Some(Body::BillsHeld(held)) = &envelope.body else {
            return;
        };
        let mine = held.gateway.as_ref().map(NodeId::from) == Some(context.identity.node.clone());
        let upstream = envelope
            .sender
            .as_ref()
            .and_then(|sender| context.members.key(&sender.name))
            .and_then(|key| context.members.get(key))
            .map(|member| member.upstream.clone());
        if let Some(upstream) = upstream.filter(|_| mine) {
            self.learn(&upstream, held, context.now);
        }
    }

    /// Takes the answer of a call; false where it was not this ledger's.
    pub(super) fn stored(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) -> bool {
        let Some(flight) = &mut self.flight else {
            return false;
        };
        if flight.call != Some(number) {
            return false;
        }
        flight.call = None;
        match result {
            Ok(_) => self.landed(context),
            Err(TableError::Conflict { rows }) => {
                let found = row::find(rows, &context.identity.node);
                let expected = flight.row.clone();
                let next = self.version + 1;
                if found.is_some_and(|found| found.version == next && found.row == expected) {
                    self.landed(context);
                } else {
                    self.seal(context);
                }
            }
            Err(error) => {
                if matches!(error, TableError::Invalid { .. }) {
                    warn!(name: "ledger.refused", %error, "the table service refused a batch");
                }
                flight.retry_at = context.now + flight.backoff.next();
            }
        }
        true
    }

    // The batch is in the table, by this attempt or an earlier one.
    fn landed(&mut self, context: &mut Context) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.version += 1;
        self.row = flight.row;
        self.last_write = context.now;
        self.tell(&flight.bills, context);
    }

    // Another gateway took this life for dead. It completes the ledger from
    // what agents hold; this life must not write any more.
    fn seal(&mut self, context: &Context) {
        warn!(
            name: "ledger.sealed",
            node = %context.identity.node,
            unwritten = self.unwritten(),
            "another gateway closed this one's ledger"
        );
        self.sealed = true;
        self.flight = None;
        self.due.clear();
        self.open.clear();
    }

    fn close(&mut self, bill: Bill, now: Millis) {
        let is_new = self.closed.insert(bill.sequence);
        if is_new && !bill.steps.is_empty() {
            self.note_agents(&bill);
            self.due.push(bill);
            self.due_since.get_or_insert(now);
        }
    }

    fn note_agents(&mut self, bill: &Bill) {
        for step in &bill.steps {
            let contact = self.agents.entry(step.upstream.clone()).or_default();
            contact.last = contact.last.max(bill.sequence);
            contact.reminders = 0;
        }
    }

    fn flush(&mut self, calls: &mut Calls, context: &mut Context) {
        if self.sealed {
            return;
        }
        if self.flight.is_none() && self.is_due(context) {
            self.flight = Some(self.batch(context));
        }
        let Some(flight) = &mut self.flight else {
            return;
        };
        if flight.call.is_none() && flight.retry_at <= context.now {
            let call = TableCall::Commit(flight.transaction.clone());
            flight.call = Some(calls.make(call, context));
        }
    }

    fn is_due(&self, context: &Context) -> bool {
        let old = |since| context.now.since(since) >= FLUSH_AGE;
        let stopping = context.lifecycle != Lifecycle::Running && !self.due.is_empty();
        let beat = self.version == 0 || context.now.since(self.last_write) >= BEAT_PERIOD;
        beat || stopping || self.due.len() >= FLUSH_COUNT || self.due_since.is_some_and(old)
    }

    fn batch(&mut self, context: &Context) -> Flight {
        let bills = std::mem::take(&mut self.due);
        self.due_since = None;
        let has_bills = !bills.is_empty();
        let row = LedgerRow {
            written: self.closed.clone(),
            batch: self.row.batch + u64::from(has_bills),
            beat: self.row.beat + u64::from(!has_bills),
            ..LedgerRow::default()
        };
        let node = &context.identity.node;
        Flight {
            call: None,
            retry_at: context.now,
            backoff: Backoff::default(),
            transaction: row::transaction(node, self.version, &row, &bills),
            row,
            bills,
        }
    }

    // Agents may drop their copies.
    fn tell(&mut self, bills: &[Bill], context: &mut Context) {
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

    fn remind(&mut self, context: &mut Context) {
        let watermark = self.row.written.watermark();
        let due: Vec<CompactString> = self
            .agents
            .iter()
            .filter(|(_, contact)| contact.last <= watermark)
            .filter(|(_, contact)| context.now.since(contact.told_at) >= REMIND_PERIOD)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in due {
            self.send_flushed(&upstream, Vec::new(), context);
        }
        self.agents
            .retain(|_, contact| contact.reminders <= REMINDERS);
    }

    fn send_flushed(
        &mut self,
        upstream: &CompactString,
        sequences: Vec<u64>,
        context: &mut Context,
    ) {
        if let Some(contact) = self.agents.get_mut(upstream) {
            contact.told_at = context.now;
            contact.reminders += u32::from(sequences.is_empty());
        }
        let body = Body::BillsFlushed(BillsFlushed {
            gateway: Some((&context.identity.node).into()),
            watermark: self.row.written.watermark(),
            sequences,
        });
        send(upstream, body, context);
    }

    // Asks the agents about usage that got lost with an answer.
    fn ask(&mut self, context: &mut Context) {
        let now = context.now;
        let rested = |asked| now.since(asked) >= ASK_PERIOD;
        let mut upstreams: Vec<CompactString> = Vec::new();
        for open in &mut self.open {
            if !open.asked.is_none_or(rested) {
                continue;
            }
            open.asked = Some(now);
            upstreams.extend(open.bill.awaited.iter().map(|step| step.upstream.clone()));
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

    fn learn(&mut self, upstream: &CompactString, held: &BillsHeld, now: Millis) {
        for open in &mut self.open {
            let late = now.since(open.since) >= ABSENT_AFTER;
            let whole = held.usages.len() >= held.total as usize;
            settle(&mut open.bill, upstream, held, late && whole);
        }
        self.close_open(now);
    }

    // An agent that is gone has taken its knowledge with it.
    fn give_up(&mut self, context: &Context) {
        for open in &mut self.open {
            if context.now.since(open.since) >= ASK_LIMIT {
                open.bill.awaited.clear();
            }
        }
        self.close_open(context.now);
    }

    fn close_open(&mut self, now: Millis) {
        let (ready, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|open| open.bill.awaited.is_empty());
        self.open = open;
        for OpenBill { bill, .. } in ready {
            self.close(bill, now);
        }
    }
}

// Takes what an agent holds of a bill's awaited steps. What still runs is asked
// for again. What the agent does not hold did not run there, once a run that
// was still on its way must have arrived.
fn settle(bill: &mut Bill, upstream: &CompactString, held: &BillsHeld, absent: bool) {
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
