//! The ledger of one dead life, until it is complete.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use tracing::info;

use super::recovery::HeldByAgent;
use super::row::{self, LedgerRow, Stored};
use super::{Backoff, Calls};
use crate::control::context::Context;
use crate::control::event::{Bill, BillStep};
use crate::control::state::Role;
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{self, BillsFlushed, BillsHeld, BillsWant, Usage};
use crate::store::table::{TableAnswer, TableCall, TableError};

/// Time a row must have been seen unchanged before it is sealed or taken over.
pub(super) const QUIET: Millis = Millis(30_000);

/// Time between two looks at a row.
const LOOK_PERIOD: Millis = Millis(15_000);

/// Time between two questions to agents.
const ASK_PERIOD: Millis = Millis(5_000);

/// Longest wait for attempts that agents say are still running.
const RUNNING_LIMIT: Millis = Millis(600_000);

/// Most bills of one batch.
const BATCH_BILLS: usize = 512;

/// What an agent holds of a dead gateway's requests.
#[derive(Debug, Default)]
pub(super) struct Held {
    peer_addr: CompactString,
    usages: BTreeMap<Attempt, Usage>,
    /// Number of usages that the agent said it holds.
    total: usize,
}

/// An attempt at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    sequence: u64,
    step: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Looks at the row until it was unchanged for long enough.
    Watching { seen: Option<Seen> },
    /// Closes the row to its gateway.
    Sealing,
    /// Asks the agents.
    Asking { since: Millis },
    /// Writes what is missing.
    Writing,
    /// Nothing is left to do.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    version: u64,
    since: Millis,
}

/// One ledger that is being completed.
#[derive(Debug)]
pub(super) struct Case {
    pub(super) node: NodeId,
    stage: Stage,
    due: Millis,
    call: Option<u64>,
    backoff: Backoff,
    stored: Stored,
    next: LedgerRow,
    held: HeldByAgent,
}

impl Case {
    /// Starts to look after a ledger at `start`.
    pub(super) fn open(node: NodeId, start: Millis) -> Self {
        Self {
            node,
            stage: Stage::Watching { seen: None },
            due: start,
            call: None,
            backoff: Backoff::default(),
            stored: Stored::default(),
            next: LedgerRow::default(),
            held: HeldByAgent::default(),
        }
    }

    /// True where nothing was done yet and no agent has told of anything.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Watching { .. }) && self.held.is_empty()
    }

    pub(super) fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    pub(super) fn tick(&mut self, calls: &mut Calls, context: &mut Context) {
        if self.call.is_some() || context.now < self.due {
            return;
        }
        match self.stage {
            Stage::Watching { .. } => self.look(calls, context),
            Stage::Sealing => self.seal(calls, context),
            Stage::Asking { since } if self.is_complete(since, context) => {
                self.write(calls, context);
            }
            Stage::Asking { .. } => self.ask(context),
            Stage::Writing => self.write(calls, context),
            Stage::Done => {}
        }
    }

    /// Takes what an agent holds; it may come in parts.
    pub(super) fn learn(&mut self, agent: &message::Node, held: &BillsHeld, reply_addr: &str) {
        let known = self.held.entry(agent.into()).or_default();
        known.peer_addr = reply_addr.into();
        if held.usages.len() >= held.total as usize {
            // All that it holds, so what was running and is not there has gone.
            known.usages.retain(|_, usage| usage.finished);
            known.total = 0;
        }
        known.total = known.total.max(held.total as usize);
        for usage in &held.usages {
            known.usages.insert(Attempt::of(usage), usage.clone());
        }
    }

    pub(super) fn stored(
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
                Some(stored) => self.looked(stored, context),
                None => self.stage = Stage::Done,
            },
            Ok(TableAnswer::Committed) => self.committed(context),
            // Another gateway was faster, the dead one lives, or an earlier
            // attempt of ours took effect: the row tells.
            Err(TableError::Conflict { .. } | TableError::Lost { .. }) => self.watch(context),
            Err(_) => self.due = context.now + self.backoff.next(),
        }
    }

    fn watch(&mut self, context: &Context) {
        self.stage = Stage::Watching { seen: None };
        self.due = context.now + self.backoff.next();
    }

    fn look(&mut self, calls: &mut Calls, context: &mut Context) {
        let call = TableCall::Read(vec![row::key(&self.node)]);
        self.call = Some(calls.make(call, context));
    }

    fn looked(&mut self, stored: Stored, context: &mut Context) {
        self.backoff = Backoff::default();
        self.due = context.now + LOOK_PERIOD;
        let Stage::Watching { seen } = &mut self.stage else {
            return;
        };
        let version = stored.version;
        self.stored = stored;
        if self.stored.row.sealed && self.stored.row.sealer == me(context) {
            self.start_asking(context);
            return;
        }
        if self.stored.row.settled {
            self.settled(context);
            return;
        }
        match *seen {
            Some(seen) if seen.version == version => {
                if context.now.since(seen.since) >= QUIET {
                    self.stage = Stage::Sealing;
                    self.due = context.now;
                }
            }
            _ => {
                *seen = Some(Seen {
                    version,
                    since: context.now,
                });
            }
        }
    }

    // Somebody completed it; only what came after that is left.
    fn settled(&mut self, context: &mut Context) {
        if self.missing().is_empty() {
            self.tell(context);
            self.stage = Stage::Done;
        } else {
            self.stage = Stage::Writing;
            self.due = context.now;
        }
    }

    fn seal(&mut self, calls: &mut Calls, context: &mut Context) {
        self.next = LedgerRow {
            sealed: true,
            sealer: me(context),
            ..self.stored.row.clone()
        };
        self.commit(&[], calls, context);
    }

    fn commit(&mut self, bills: &[Bill], calls: &mut Calls, context: &mut Context) {
        let transaction = row::transaction(&self.node, self.stored.version, &self.next, bills);
        self.call = Some(calls.make(TableCall::Commit(transaction), context));
    }

    fn committed(&mut self, context: &mut Context) {
        self.backoff = Backoff::default();
        self.stored = Stored {
            version: self.stored.version + 1,
            row: self.next.clone(),
        };
        if self.stage == Stage::Sealing {
            info!(name: "ledger.seal", gateway = %self.node, "sealed a dead gateway's ledger");
            self.start_asking(context);
        } else if self.stored.row.settled && self.missing().is_empty() {
            info!(name: "ledger.settled", gateway = %self.node, "completed a dead gateway's ledger");
            self.tell(context);
            self.stage = Stage::Done;
        }
    }

    fn start_asking(&mut self, context: &Context) {
        self.stage = Stage::Asking { since: context.now };
        self.due = context.now;
    }

    fn ask(&mut self, context: &mut Context) {
        self.due = context.now + ASK_PERIOD;
        let body = Body::BillsWant(BillsWant {
            gateway: Some((&self.node).into()),
        });
        for (agent, addr) in agents(context) {
            if !self.is_answered(&agent) {
                context.send(&addr, body.clone());
            }
        }
    }

    // Every agent that is not dead has told of finished attempts only.
    fn is_complete(&self, since: Millis, context: &Context) -> bool {
        let asked = context.now.since(since) >= ASK_PERIOD;
        let late = context.now.since(since) >= RUNNING_LIMIT;
        let answered = |agent: &NodeId| self.is_answered(agent) || late;
        asked && agents(context).iter().all(|(agent, _)| answered(agent))
    }

    fn is_answered(&self, agent: &NodeId) -> bool {
        self.held.get(agent).is_some_and(Held::is_complete)
    }

    fn write(&mut self, calls: &mut Calls, context: &mut Context) {
        self.stage = Stage::Writing;
        let mut bills = self.missing();
        let more = bills.len() > BATCH_BILLS;
        bills.truncate(BATCH_BILLS);
        self.next = LedgerRow {
            batch: self.stored.row.batch + u64::from(!bills.is_empty()),
            sealed: true,
            sealer: me(context),
            settled: !more,
            ..self.stored.row.clone()
        };
        for bill in &bills {
            self.next.written.insert(bill.sequence);
        }
        self.commit(&bills, calls, context);
    }

    // Bills of the requests that agents hold and the ledger does not have.
    fn missing(&self) -> Vec<Bill> {
        let mut bills: BTreeMap<u64, Bill> = BTreeMap::new();
        let usages = self.held.values().flat_map(|held| held.usages.values());
        for usage in usages.filter(|usage| usage.finished || usage.cost_micros > 0) {
            let sequence = sequence(usage);
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

    // Agents may drop what they hold.
    fn tell(&self, context: &mut Context) {
        for held in self.held.values() {
            let body = Body::BillsFlushed(BillsFlushed {
                gateway: Some((&self.node).into()),
                watermark: self.stored.row.written.watermark(),
                sequences: held.usages.values().map(sequence).collect(),
            });
            context.send(&held.peer_addr, body);
        }
    }
}

impl Held {
    fn is_complete(&self) -> bool {
        let finished = self.usages.values().all(|usage| usage.finished);
        finished && self.usages.len() >= self.total
    }
}

impl Attempt {
    fn of(usage: &Usage) -> Self {
        Self {
            sequence: sequence(usage),
            step: usage.step,
        }
    }
}

fn sequence(usage: &Usage) -> u64 {
    usage.request.as_ref().map_or(0, |id| id.sequence)
}

fn me(context: &Context) -> CompactString {
    context.identity.node.to_compact_string()
}

fn agents(context: &Context) -> Vec<(NodeId, CompactString)> {
    context
        .members
        .iter()
        .map(|(_, member)| member)
        .filter(|member| member.role == Role::Agent && member.is_present())
        .map(|member| (member.node.clone(), member.peer_addr.clone()))
        .collect()
}
