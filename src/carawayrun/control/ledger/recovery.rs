//! Completion of the ledgers of dead gateways.
//!
//! A live gateway writes its row every few seconds. A row is therefore sealed
//! only after it has not changed for [`SEAL_DELAY`](super::dead_ledger::SEAL_DELAY),
//! so a network partition between gateways does not seal the ledger of a live
//! one. After that the agents are asked for the usage that they keep, and the
//! missing bills are written on condition of the sealed row's version.

use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};

use super::TableCalls;
use super::dead_ledger::DeadLedger;
use super::row::{self, PREFIX};
use crate::control::context::Context;
use crate::control::state::Role;
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::Envelope;
use crate::peer::message::envelope::Body;
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Time between two searches for incomplete ledgers of dead gateways.
const SEARCH_INTERVAL: Millis = Millis(60_000);

/// Longest random delay added to [`SEARCH_INTERVAL`].
const MAX_SEARCH_JITTER_MS: u64 = 30_000;

/// Rows per page of a search.
const SEARCH_PAGE_ROWS: u32 = 1_000;

/// Longest random delay before a dead gateway's row is read, so that usually
/// only one gateway completes it.
const MAX_START_JITTER_MS: u64 = 8_000;

/// Most ledgers that are completed at a time.
const MAX_RECOVERIES: usize = 4;

/// Ledgers of other incarnations that this gateway completes.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    ledgers: Vec<DeadLedger>,
    done: FxHashSet<NodeId>,
    search: Search,
}

#[derive(Debug, Default)]
struct Search {
    due: Option<Millis>,
    call: Option<u64>,
}

impl Recovery {
    pub(super) fn tick(&mut self, calls: &mut TableCalls, context: &mut Context) {
        self.search_ledgers(calls, context);
        self.recover_dead(context);
        self.ledgers
            .retain(|ledger| !ledger.is_idle() || !is_present(context, &ledger.node));
        for ledger in &mut self.ledgers {
            ledger.tick(calls, context);
        }
        self.remove_done();
    }

    pub(super) fn handle_message(&mut self, envelope: &Envelope, context: &mut Context) {
        let Some(Body::BillsHeld(held)) = &envelope.body else {
            return;
        };
        let Some((gateway, sender)) = held.gateway.as_ref().zip(envelope.sender.as_ref()) else {
            return;
        };
        let gateway = NodeId::from(gateway);
        if gateway == context.identity.node {
            return;
        }
        // An agent that was asked before sends usage that has finished since, so
        // recovery starts again.
        if !held.usages.is_empty() {
            self.done.remove(&gateway);
            self.start_recovery(gateway.clone(), context);
        }
        if let Some(ledger) = self
            .ledgers
            .iter_mut()
            .find(|ledger| ledger.node == gateway)
        {
            ledger.record_usage(sender, held, &envelope.reply_addr);
        }
    }

    pub(super) fn handle_table_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        calls: &mut TableCalls,
        context: &mut Context,
    ) {
        if self.search.call == Some(number) {
            self.search.call = None;
            if let Ok(TableAnswer::Rows(rows)) = result {
                self.recover_unsettled(rows, calls, context);
            }
            return;
        }
        for ledger in &mut self.ledgers {
            ledger.handle_table_answer(number, result, context);
        }
        self.remove_done();
    }

    fn search_ledgers(&mut self, calls: &mut TableCalls, context: &mut Context) {
        let due = *self.search.due.get_or_insert_with(|| {
            let wait_ms = context.rng.random_range(0..MAX_SEARCH_JITTER_MS);
            context.now + SEARCH_INTERVAL + Millis(wait_ms)
        });
        if context.now < due || self.search.call.is_some() {
            return;
        }
        self.search.due = None;
        self.list_ledgers("", calls, context);
    }

    fn list_ledgers(&mut self, after: &str, calls: &mut TableCalls, context: &mut Context) {
        let call = TableCall::List(ListCall {
            prefix: PREFIX.into(),
            after: after.into(),
            limit: SEARCH_PAGE_ROWS,
        });
        self.search.call = Some(calls.send(call, context));
    }

    fn recover_unsettled(&mut self, rows: &[Row], calls: &mut TableCalls, context: &mut Context) {
        for row in rows {
            let Some(node) = row::node_of(&row.key) else {
                continue;
            };
            let settled = row::parse(row).is_none_or(|stored| stored.row.settled);
            if !settled && !is_present(context, &node) {
                self.start_recovery(node, context);
            }
        }
        if rows.len() == SEARCH_PAGE_ROWS as usize {
            let last = rows.last().map_or("", |row| row.key.as_str());
            self.list_ledgers(last, calls, context);
        }
    }

    fn recover_dead(&mut self, context: &mut Context) {
        let dead: Vec<NodeId> = context
            .members
            .iter()
            .map(|(_, member)| member)
            .filter(|member| member.role == Role::Gateway && !member.is_present())
            .map(|member| member.node.clone())
            .collect();
        for node in dead {
            self.start_recovery(node, context);
        }
    }

    fn start_recovery(&mut self, node: NodeId, context: &mut Context) {
        let is_known =
            self.done.contains(&node) || self.ledgers.iter().any(|ledger| ledger.node == node);
        if is_known || self.ledgers.len() >= MAX_RECOVERIES {
            return;
        }
        let wait_ms = context.rng.random_range(0..MAX_START_JITTER_MS);
        let start = context.now + Millis(wait_ms);
        self.ledgers.push(DeadLedger::new(node, start));
    }

    fn remove_done(&mut self) {
        let (done, open) = std::mem::take(&mut self.ledgers)
            .into_iter()
            .partition(DeadLedger::is_done);
        self.ledgers = open;
        let done: Vec<DeadLedger> = done;
        self.done.extend(done.into_iter().map(|ledger| ledger.node));
    }
}

/// True if `node` is a member that is not known to be dead.
fn is_present(context: &Context, node: &NodeId) -> bool {
    context
        .members
        .key(&node.name)
        .and_then(|key| context.members.get(key))
        .is_some_and(|member| member.node == *node && member.is_present())
}

/// Usage by the agent that reported it.
pub(super) type UsageByAgent = FxHashMap<NodeId, super::dead_ledger::AgentUsage>;
