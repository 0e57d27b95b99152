//! Completing the ledgers of gateways that died.
//!
//! A gateway that lives writes its row every few seconds, so the row itself
//! tells: it is sealed only after it was seen unchanged for [`QUIET`], however
//! the network is divided. Then the agents are asked for the usage they hold,
//! and the bills that are missing are written on condition of the sealed row.

use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};

use super::Calls;
use super::case::Case;
use super::row::{self, PREFIX};
use crate::control::context::Context;
use crate::control::state::Role;
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::Envelope;
use crate::peer::message::envelope::Body;
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Time between two searches for ledgers that nobody completes.
const SEARCH_PERIOD: Millis = Millis(60_000);

/// Random part of it.
const SEARCH_JITTER_MS: u64 = 30_000;

/// Rows read at once in a search.
const SEARCH_ROWS: u32 = 1_000;

/// Longest random wait before a dead gateway's ledger is looked at, so that
/// mostly one of the others does.
const START_JITTER_MS: u64 = 8_000;

/// Most ledgers that are completed at a time.
const MAX_CASES: usize = 4;

/// Ledgers of other lives that this gateway looks after.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    cases: Vec<Case>,
    done: FxHashSet<NodeId>,
    search: Search,
}

#[derive(Debug, Default)]
struct Search {
    due: Option<Millis>,
    call: Option<u64>,
}

impl Recovery {
    pub(super) fn tick(&mut self, calls: &mut Calls, context: &mut Context) {
        self.search(calls, context);
        self.notice_dead(context);
        self.cases
            .retain(|case| !case.is_idle() || !has(context, &case.node));
        for case in &mut self.cases {
            case.tick(calls, context);
        }
        self.finish();
    }

    pub(super) fn receive(&mut self, envelope: &Envelope, context: &mut Context) {
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
        // An agent that was asked once tells of what ended since then.
        if !held.usages.is_empty() {
            self.done.remove(&gateway);
            self.open(gateway.clone(), context);
        }
        if let Some(case) = self.cases.iter_mut().find(|case| case.node == gateway) {
            case.learn(sender, held, &envelope.reply_addr);
        }
    }

    pub(super) fn stored(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        calls: &mut Calls,
        context: &mut Context,
    ) {
        if self.search.call == Some(number) {
            self.search.call = None;
            if let Ok(TableAnswer::Rows(rows)) = result {
                self.found(rows, calls, context);
            }
            return;
        }
        for case in &mut self.cases {
            case.stored(number, result, context);
        }
        self.finish();
    }

    fn search(&mut self, calls: &mut Calls, context: &mut Context) {
        let due = *self.search.due.get_or_insert_with(|| {
            let wait_ms = context.rng.random_range(0..SEARCH_JITTER_MS);
            context.now + SEARCH_PERIOD + Millis(wait_ms)
        });
        if context.now < due || self.search.call.is_some() {
            return;
        }
        self.search.due = None;
        self.list("", calls, context);
    }

    fn list(&mut self, after: &str, calls: &mut Calls, context: &mut Context) {
        let call = TableCall::List(ListCall {
            prefix: PREFIX.into(),
            after: after.into(),
            limit: SEARCH_ROWS,
        });
        self.search.call = Some(calls.make(call, context));
    }

    fn found(&mut self, rows: &[Row], calls: &mut Calls, context: &mut Context) {
        for row in rows {
            let Some(node) = row::node_of(&row.key) else {
                continue;
            };
            let settled = row::read(row).is_none_or(|stored| stored.row.settled);
            if !settled && !has(context, &node) {
                self.open(node, context);
            }
        }
        if rows.len() == SEARCH_ROWS as usize {
            let last = rows.last().map_or("", |row| row.key.as_str());
            self.list(last, calls, context);
        }
    }

    fn notice_dead(&mut self, context: &mut Context) {
        let dead: Vec<NodeId> = context
            .members
            .iter()
            .map(|(_, member)| member)
            .filter(|member| member.role == Role::Gateway && !member.is_present())
            .map(|member| member.node.clone())
            .collect();
        for node in dead {
            self.open(node, context);
        }
    }

    fn open(&mut self, node: NodeId, context: &mut Context) {
        let known = self.done.contains(&node) || self.cases.iter().any(|case| case.node == node);
        if known || self.cases.len() >= MAX_CASES {
            return;
        }
        let wait_ms = context.rng.random_range(0..START_JITTER_MS);
        let start = context.now + Millis(wait_ms);
        self.cases.push(Case::open(node, start));
    }

    fn finish(&mut self) {
        let (done, open) = std::mem::take(&mut self.cases)
            .into_iter()
            .partition(Case::is_done);
        self.cases = open;
        let done: Vec<Case> = done;
        self.done.extend(done.into_iter().map(|case| case.node));
    }
}

/// True where this life is a member that is not known to be dead.
fn has(context: &Context, node: &NodeId) -> bool {
    context
        .members
        .key(&node.name)
        .and_then(|key| context.members.get(key))
        .is_some_and(|member| member.node == *node && member.is_present())
}

/// Usages by the agent that holds them.
pub(super) type HeldByAgent = FxHashMap<NodeId, super::case::Held>;
