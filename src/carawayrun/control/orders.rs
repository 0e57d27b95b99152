//! Orders to the engine: which versions it should have loaded.
//!
//! An agent's life takes the row `work/upstream/<name>` once, at its start, by
//! compare-and-set, with a fencing number that is one higher. It orders only
//! after it has read the row and found itself there; where it finds a later
//! holder, it never orders again. Engines that check the number refuse what a
//! woken life sends all the same; for those that do not, the later holder
//! looks again and again at what is loaded and puts it right.
//!
//! Loads are paced: one at a time, with a random jitter before each, because
//! all upstreams share the rate-limited weight store.

use compact_str::{CompactString, ToCompactString, format_compact};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::value::to_raw_value;

use super::context::{Context, Lifecycle};
use super::effect::{Component, Effect, EngineOrder, OrderAction, Ticket, UpstreamAction};
use super::event::{Event, OrderResult};
use super::state::Role;
use super::time::Millis;
use crate::peer::NodeId;
use crate::resource::{Backend, Phase};
use crate::store::table::{Condition, Put, Row, TableAnswer, TableCall, TableError, Transaction};

/// Time between two tries while the table service does not answer.
const RETRY_DELAY: Millis = Millis(1_000);

/// Time between an accepted order and the next look at what is loaded; the
/// engine reports it with a lag.
const REPORT_DELAY: Millis = Millis(2_000);

/// Longest random jitter before an order.
const MAX_ORDER_JITTER: Millis = Millis(500);

/// The concern.
#[derive(Debug, Default)]
pub(crate) struct EngineOrders {
    lease: Lease,
    pending_call: Option<u64>,
    next_call: u64,
    next_action: Millis,
    // As the engine last reported; absent before its first report.
    loaded_versions: Option<Vec<CompactString>>,
}

/// Whether this life may order.
#[derive(Debug, Default)]
enum Lease {
    /// It has not read the row yet.
    #[default]
    Unread,
    /// It wrote the row, and must see whether that took effect.
    Acquiring { row: LeaseRow, version: u64 },
    /// It holds the row; an order is sent after the next read that shows it.
    Held { fence: u64 },
    /// The engine has been sent an order and has not answered yet.
    Ordering { fence: u64 },
    /// A later life holds the row.
    Lost,
}

/// The row `work/upstream/<name>`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct LeaseRow {
    holder: CompactString,
    fence: u64,
}

impl EngineOrders {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        if context.identity.role != Role::Agent {
            return;
        }
        match event {
            Event::Tick => self.tick(context),
            Event::LoadChanged(load) => {
                let warm = load.warm.iter().map(CompactString::from);
                self.loaded_versions = Some(warm.collect());
            }
            Event::TableAnswered(ticket, result) if self.is_pending_call(*ticket) => {
                self.pending_call = None;
                self.handle_stored(result, context);
            }
            Event::OrderAnswered(order, result) => self.handle_result(order, *result, context),
            _ => {}
        }
    }

    fn is_pending_call(&self, ticket: Ticket) -> bool {
        ticket.component == Component::Orders && self.pending_call == Some(ticket.number)
    }

    fn tick(&mut self, context: &mut Context) {
        let is_waiting = self.pending_call.is_some() || context.now < self.next_action;
        if is_waiting || context.lifecycle != Lifecycle::Running || !serves_engine(context) {
            return;
        }
        match &self.lease {
            // The row is taken also where nothing is to be ordered, so that an
            // earlier life that wakes finds itself replaced.
            Lease::Unread => self.read_lease(context),
            Lease::Held { .. } if self.next_order(context).is_some() => self.read_lease(context),
            Lease::Acquiring { row, version } => {
                let call = lease_write(context, row, *version);
                self.send_call(call, context);
            }
            Lease::Held { .. } | Lease::Ordering { .. } | Lease::Lost => {}
        }
    }

    // What is to be ordered next, if anything: loads first, so that a version
    // that takes another's place is there before the other goes.
    fn next_order(&self, context: &Context) -> Option<(OrderAction, CompactString)> {
        let config = &context.config;
        let own = config.upstreams.by_name(&context.identity.upstream)?;
        let loaded = self.loaded_versions.as_ref()?;
        let is_active = |name: &&CompactString| {
            let version = config.versions.by_name(name);
            version.is_some_and(|version| version.spec.phase != Phase::Withdrawn)
        };
        let missing = own
            .spec
            .versions
            .iter()
            .filter(is_active)
            .find(|name| !loaded.contains(name));
        if let Some(name) = missing {
            return Some((OrderAction::Load, name.clone()));
        }
        let extra = loaded
            .iter()
            .find(|name| !own.spec.versions.contains(name))?;
        Some((OrderAction::Unload, extra.clone()))
    }

    fn handle_stored(&mut self, result: &Result<TableAnswer, TableError>, context: &mut Context) {
        match result {
            Ok(TableAnswer::Rows(rows)) | Err(TableError::Conflict { rows }) => {
                self.handle_row(rows.first(), context);
            }
            Ok(TableAnswer::Committed) => {
                if let Lease::Acquiring { row, .. } = &self.lease {
                    self.lease = Lease::Held { fence: row.fence };
                }
            }
            Err(_) => self.next_action = context.now + RETRY_DELAY,
        }
    }

    fn handle_row(&mut self, found: Option<&Row>, context: &mut Context) {
        let row = found.and_then(|row| serde_json::from_str::<LeaseRow>(row.value.get()).ok());
        let own_name = context.identity.node.to_compact_string();
        let own_row = row.as_ref().filter(|row| row.holder == own_name);
        match (&self.lease, own_row) {
            (Lease::Unread | Lease::Acquiring { .. }, None)
                if !is_held_by_later(row.as_ref(), context) =>
            {
                let version = found.map_or(0, |row| row.version);
                let fence = row.map_or(1, |row| row.fence + 1);
                let row = LeaseRow {
                    holder: own_name,
                    fence,
                };
                let call = lease_write(context, &row, version);
                self.lease = Lease::Acquiring { row, version };
                self.send_call(call, context);
            }
            (Lease::Acquiring { .. }, Some(own_row)) => {
                self.lease = Lease::Held {
                    fence: own_row.fence,
                };
            }
            (Lease::Held { fence }, Some(_)) => {
                let fence = *fence;
                self.send_order(fence, context);
            }
            _ => self.lose_lease(context),
        }
    }

    // Directly after the read that showed this life in the row.
    fn send_order(&mut self, fence: u64, context: &mut Context) {
        let Some((action, version)) = self.next_order(context) else {
            return;
        };
        self.lease = Lease::Ordering { fence };
        let order = EngineOrder {
            fence,
            action,
            version,
        };
        context
            .effects
            .push(Effect::Upstream(UpstreamAction::Order(order)));
    }

    fn handle_result(&mut self, order: &EngineOrder, result: OrderResult, context: &mut Context) {
        let Lease::Ordering { fence } = self.lease else {
            return;
        };
        self.lease = Lease::Held { fence };
        let jitter = Millis(context.rng.random_range(0..=MAX_ORDER_JITTER.0));
        self.next_action = context.now + REPORT_DELAY + jitter;
        match result {
            OrderResult::Accepted => {
                tracing::info!(
                    name: "engine.ordered",
                    action = ?order.action,
                    version = %order.version,
                    fence = order.fence
                );
            }
            OrderResult::Fenced(_) => self.lose_lease(context),
            OrderResult::Failed => {}
        }
    }

    fn lose_lease(&mut self, context: &Context) {
        tracing::warn!(name: "engine.orders_lost", upstream = %context.identity.upstream);
        self.lease = Lease::Lost;
    }

    fn read_lease(&mut self, context: &mut Context) {
        self.send_call(TableCall::Read(vec![row_key(context)]), context);
    }

    fn send_call(&mut self, call: TableCall, context: &mut Context) {
        let ticket = Ticket {
            component: Component::Orders,
            number: self.next_call,
        };
        self.next_call += 1;
        self.pending_call = Some(ticket.number);
        context.effects.push(Effect::CallTable(ticket, call));
    }
}

fn serves_engine(context: &Context) -> bool {
    let config = &context.config;
    let own = config.upstreams.by_name(&context.identity.upstream);
    own.and_then(|own| config.services.by_name(&own.spec.service))
        .is_some_and(|service| service.spec.backend == Backend::Engine)
}

// True where the row's holder is a later life of this name.
fn is_held_by_later(row: Option<&LeaseRow>, context: &Context) -> bool {
    let holder = row.and_then(|row| row.holder.parse::<NodeId>().ok());
    holder.is_some_and(|holder| {
        let own_node = &context.identity.node;
        holder.name == own_node.name && holder.incarnation > own_node.incarnation
    })
}

fn row_key(context: &Context) -> CompactString {
    format_compact!("work/upstream/{}", context.identity.upstream)
}

fn lease_write(context: &Context, row: &LeaseRow, version: u64) -> TableCall {
    let key = row_key(context);
    TableCall::Commit(Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        puts: vec![Put {
            key,
            value: to_raw_value(row).expect("an order row can be written as JSON"),
        }],
        deletes: Vec::new(),
    })
}
