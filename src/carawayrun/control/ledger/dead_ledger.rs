//! Completion of one dead gateway's ledger.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use tracing::info;

use super::recovery::UsageByAgent;
use super::row::{self, LedgerRow, StoredLedger};
use super::{Backoff, TableCalls};
use crate::control::context::Context;
use crate::control::event::{Bill, BillStep};
use crate::control::state::Role;
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{self, BillsFlushed, BillsHeld, BillsWant, Usage};
use crate::store::table::{TableAnswer, TableCall, TableError};

/// Time that a row must stay unchanged before it is sealed or taken over.
pub(super) const SEAL_DELAY: Millis = Millis(30_000);

/// Time between the answer to a read of the dead gateway's ledger row and the
/// next read.
const READ_INTERVAL: Millis = Millis(15_000);

/// Time between two requests to agents for their usage.
const USAGE_REQUEST_INTERVAL: Millis = Millis(5_000);

/// Longest time for which usage is collected: from agents that have not answered
/// and of attempts that are still running.
const COLLECTING_LIMIT: Millis = Millis(600_000);

/// Most bills in one batch.
const MAX_BATCH_BILLS: usize = 512;

/// Usage of a dead gateway's requests that one agent reported.
#[derive(Debug, Default)]
pub(super) struct AgentUsage {
    peer_addr: CompactString,
    usages: BTreeMap<UsageKey, Usage>,
    /// Number of usages that the agent keeps, as it reported.
    total: usize,
}

/// Identifies an attempt at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UsageKey {
    sequence: u64,
    step: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Reads the row until it has not changed for [`SEAL_DELAY`].
    Watching { seen: Option<SeenVersion> },
    /// Seals the row, so that its gateway can't write it any more.
    Sealing,
    /// Collects usage from the agents.
    Collecting { since: Millis },
    /// Writes the missing bills.
    Writing,
    /// The ledger is complete or can't be parsed.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SeenVersion {
    version: u64,
    since: Millis,
}

/// The ledger of a dead gateway that is being completed.
#[derive(Debug)]
pub(super) struct DeadLedger {
    pub(super) node: NodeId,
    stage: Stage,
    step_at: Millis,
    call: Option<u64>,
    backoff: Backoff,
    stored: StoredLedger,
    next_row: LedgerRow,
    usage_by_agent: UsageByAgent,
}

impl DeadLedger {
    /// A ledger whose row is first read at `start`.
    pub(super) fn new(node: NodeId, start: Millis) -> Self {
        Self {
            node,
            stage: Stage::Watching { seen: None },
            step_at: start,
            call: None,
            backoff: Backoff::default(),
            stored: StoredLedger::default(),
            next_row: LedgerRow::default(),
            usage_by_agent: UsageByAgent::default(),
        }
    }

    /// True while the row is being watched and no agent has reported usage.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Watching { .. }) && self.usage_by_agent.is_empty()
    }

    pub(super) fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    pub(super) fn tick(&mut self, calls: &mut TableCalls, context: &mut Context) {
        if self.call.is_some() || context.now < self.step_at {
            return;
        }
        match self.stage {
            Stage::Watching { .. } => self.read_row(calls, context),
            Stage::Sealing => self.seal(calls, context),
            Stage::Collecting { since } if self.has_all_usage(since, context) => {
                self.write_missing(calls, context);
            }
            Stage::Collecting { .. } => self.request_usage(context),
            Stage::Writing => self.write_missing(calls, context),
            Stage::Done => {}
        }
    }

    /// Records usage that an agent reports, possibly in several messages.
    pub(super) fn record_usage(
        &mut self,
        agent: &message::Node,
        held: &BillsHeld,
        reply_addr: &str,
    ) {
        let known = self.usage_by_agent.entry(agent.into()).or_default();
        known.peer_addr = reply_addr.into();
        if held.usages.len() >= held.total as usize {
            // The message is complete: a running attempt missing from it is gone.
            known.usages.retain(|_, usage| usage.finished);
            known.total = 0;
        }
        known.total = known.total.max(held.total as usize);
        for usage in &held.usages {
            known.usages.insert(UsageKey::new(usage), usage.clone());
        }
    }

    pub(super) fn handle_table_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        if self.call != Some(number) {
            return;
        }
        self.call = None;
        match result {
            Ok(TableAnswer::Rows(rows)) => match row::find(rows, &self.node) {
                Some(stored) => self.apply_row(stored, context),
                None => self.stage = Stage::Done,
            },
            Ok(TableAnswer::Committed) => self.record_committed(context),
            // Another gateway wrote the row first, its own gateway is alive, or
            // an earlier call of this one took effect. The row shows which.
            Err(TableError::Conflict { .. } | TableError::Lost { .. }) => self.watch_again(context),
            Err(_) => self.step_at = context.now + self.backoff.next_delay(),
        }
    }

    fn watch_again(&mut self, context: &Context) {
        self.stage = Stage::Watching { seen: None };
        self.step_at = context.now + self.backoff.next_delay();
    }

    fn read_row(&mut self, calls: &mut TableCalls, context: &mut Context) {
        let call = TableCall::Read(vec![row::key(&self.node)]);
        self.call = Some(calls.send(call, context));
    }

    fn apply_row(&mut self, stored: StoredLedger, context: &mut Context) {
        self.backoff = Backoff::default();
        self.step_at = context.now + READ_INTERVAL;
        let Stage::Watching { seen } = &mut self.stage else {
            return;
        };
        let version = stored.version;
        self.stored = stored;
        if self.stored.row.sealed && self.stored.row.sealer == own_name(context) {
            self.start_collecting(context);
            return;
        }
        if self.stored.row.settled {
            self.finish_settled(context);
            return;
        }
        match *seen {
            Some(seen) if seen.version == version => {
                if context.now.since(seen.since) >= SEAL_DELAY {
                    self.stage = Stage::Sealing;
                    self.step_at = context.now;
                }
            }
            _ => {
                *seen = Some(SeenVersion {
                    version,
                    since: context.now,
                });
            }
        }
    }

    // Writes bills for usage that was reported after another gateway had
    // completed the ledger.
    fn finish_settled(&mut self, context: &mut Context) {
        if self.missing_bills().is_empty() {
            self.notify_flushed(context);
            self.stage = Stage::Done;
        } else {
            self.stage = Stage::Writing;
            self.step_at = context.now;
        }
    }

    fn seal(&mut self, calls: &mut TableCalls, context: &mut Context) {
        self.next_row = LedgerRow {
            sealed: true,
            sealer: own_name(context),
            ..self.stored.row.clone()
        };
        self.commit(&[], calls, context);
    }

    fn commit(&mut self, bills: &[Bill], calls: &mut TableCalls, context: &mut Context) {
        let transaction = row::transaction(&self.node, self.stored.version, &self.next_row, bills);
        self.call = Some(calls.send(TableCall::Commit(transaction), context));
    }

    fn record_committed(&mut self, context: &mut Context) {
        self.backoff = Backoff::default();
        self.stored = StoredLedger {
            version: self.stored.version + 1,
            row: self.next_row.clone(),
        };
        if self.stage == Stage::Sealing {
            info!(name: "ledger.seal", gateway = %self.node, "sealed a dead gateway's ledger");
            self.start_collecting(context);
        } else if self.stored.row.settled && self.missing_bills().is_empty() {
            info!(name: "ledger.settled", gateway = %self.node, "completed a dead gateway's ledger");
            self.notify_flushed(context);
            self.stage = Stage::Done;
        }
    }

    fn start_collecting(&mut self, context: &Context) {
        self.stage = Stage::Collecting { since: context.now };
        self.step_at = context.now;
    }

    fn request_usage(&mut self, context: &mut Context) {
        self.step_at = context.now + USAGE_REQUEST_INTERVAL;
        let body = Body::BillsWant(BillsWant {
            gateway: Some((&self.node).into()),
        });
        for (agent, addr) in present_agents(context) {
            if !self.has_answered(&agent) {
                context.send(&addr, body.clone());
            }
        }
    }

    // True once every live agent has reported all of its usage and all attempts
    // have finished, or `COLLECTING_LIMIT` has passed; at the earliest after
    // `USAGE_REQUEST_INTERVAL`.
    fn has_all_usage(&self, since: Millis, context: &Context) -> bool {
        let has_waited = context.now.since(since) >= USAGE_REQUEST_INTERVAL;
        let late = context.now.since(since) >= COLLECTING_LIMIT;
        let answered = |agent: &NodeId| self.has_answered(agent) || late;
        has_waited
            && present_agents(context)
                .iter()
                .all(|(agent, _)| answered(agent))
    }

    fn has_answered(&self, agent: &NodeId) -> bool {
        self.usage_by_agent
            .get(agent)
            .is_some_and(AgentUsage::is_complete)
    }

    fn write_missing(&mut self, calls: &mut TableCalls, context: &mut Context) {
        self.stage = Stage::Writing;
        let mut bills = self.missing_bills();
        let has_more = bills.len() > MAX_BATCH_BILLS;
        bills.truncate(MAX_BATCH_BILLS);
        self.next_row = LedgerRow {
            batch: self.stored.row.batch + u64::from(!bills.is_empty()),
            sealed: true,
            sealer: own_name(context),
            settled: !has_more,
            ..self.stored.row.clone()
        };
        for bill in &bills {
            self.next_row.written.insert(bill.sequence);
        }
        self.commit(&bills, calls, context);
    }

    // Bills of requests that agents reported and the ledger does not contain.
    fn missing_bills(&self) -> Vec<Bill> {
        let mut bills: BTreeMap<u64, Bill> = BTreeMap::new();
        let usages = self
            .usage_by_agent
            .values()
            .flat_map(|held| held.usages.values());
        for usage in usages.filter(|usage| usage.finished || usage.cost_micros > 0) {
            let sequence = request_sequence(usage);
            if self.stored.row.written.contains(sequence) {
                continue;
            }
            let bill = bills.entry(sequence).or_insert_with(|| Bill {
                sequence,
                team: usage.team.as_str().into(),
                service: usage.service.as_str().into(),
                cost_micros: 0,
                steps: Vec::new(),
                awaited: Vec::new(),
            });
            bill.cost_micros += usage.cost_micros;
            bill.steps.push(BillStep::from(usage));
        }
        let mut bills: Vec<Bill> = bills.into_values().collect();
        for bill in &mut bills {
            bill.steps.sort_by_key(|step| step.step);
        }
        bills
    }

    // Tells the agents to drop their copies of the usage.
    fn notify_flushed(&self, context: &mut Context) {
        for held in self.usage_by_agent.values() {
            let body = Body::BillsFlushed(BillsFlushed {
                gateway: Some((&self.node).into()),
                watermark: self.stored.row.written.watermark(),
                sequences: held.usages.values().map(request_sequence).collect(),
            });
            context.send(&held.peer_addr, body);
        }
    }
}

impl AgentUsage {
    // True if all usages were reported and all attempts have finished.
    fn is_complete(&self) -> bool {
        let finished = self.usages.values().all(|usage| usage.finished);
        finished && self.usages.len() >= self.total
    }
}

impl UsageKey {
    fn new(usage: &Usage) -> Self {
        Self {
            sequence: request_sequence(usage),
            step: usage.step,
        }
    }
}

fn request_sequence(usage: &Usage) -> u64 {
    usage.request.as_ref().map_or(0, |id| id.sequence)
}

fn own_name(context: &Context) -> CompactString {
    context.identity.node.to_compact_string()
}

fn present_agents(context: &Context) -> Vec<(NodeId, CompactString)> {
    context
        .members
        .iter()
        .map(|(_, member)| member)
        .filter(|member| member.role == Role::Agent && member.is_present())
        .map(|member| (member.node.clone(), member.peer_addr.clone()))
        .collect()
}
