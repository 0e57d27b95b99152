//! Orders to the engine to load and unload versions.
//!
//! The row `work/upstream/<name>` names the incarnation of an agent that may
//! send orders, with its fencing number. This lease has no expiry. Each
//! incarnation acquires it once, at its start, by compare-and-set with the next
//! fencing number. It sends an order only after a read that shows it as the
//! holder. Once it sees another holder, it never sends orders again. Engines
//! that check the fencing number refuse late orders of an earlier incarnation
//! that resumes. For engines that don't, the current holder keeps comparing the
//! loaded versions with the configuration and corrects them.
//!
//! Orders are sent one at a time with a random delay between them, because all
//! upstreams share the rate-limited weight store.

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

/// Time between two calls while the table service does not answer.
const RETRY_DELAY: Millis = Millis(1_000);

/// Pause between the engine's answer to an order and the read of the lease for
/// the next order. The engine reports loaded versions with a lag.
const REPORT_DELAY: Millis = Millis(2_000);

/// Longest random delay added to [`REPORT_DELAY`].
const MAX_ORDER_JITTER: Millis = Millis(500);

/// Orders of one agent to its engine.
#[derive(Debug, Default)]
pub(crate) struct EngineOrders {
    lease: Lease,
    pending_call: Option<u64>,
    next_call: u64,
    wait_until: Millis,
    // Versions that the engine last reported as loaded; absent before its first
    // report.
    loaded_versions: Option<Vec<CompactString>>,
}

/// State of this incarnation's lease on its upstream.
#[derive(Debug, Default)]
enum Lease {
    /// The row has not been read yet.
    #[default]
    Unread,
    /// A write of the row was sent and is not confirmed yet.
    Acquiring { row: LeaseRow, version: u64 },
    /// The lease is held; an order is sent after the next read that confirms it.
    Held { fence: u64 },
    /// The engine has not answered an order yet.
    Ordering { fence: u64 },
    /// Another incarnation holds the lease, or the engine refused the fencing
    /// number.
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
                self.handle_table_answer(result, context);
            }
            Event::OrderAnswered(order, result) => self.record_result(order, *result, context),
            _ => {}
        }
    }

    fn is_pending_call(&self, ticket: Ticket) -> bool {
        ticket.component == Component::Orders && self.pending_call == Some(ticket.number)
    }

    fn tick(&mut self, context: &mut Context) {
        let is_waiting = self.pending_call.is_some() || context.now < self.wait_until;
        if is_waiting || context.lifecycle != Lifecycle::Running || !serves_engine(context) {
            return;
        }
        match &self.lease {
            // The lease is acquired even if there is nothing to order, so that an
            // earlier incarnation that resumes finds that it has lost it.
            Lease::Unread => self.read_lease(context),
            Lease::Held { .. } if self.next_order(context).is_some() => self.read_lease(context),
            Lease::Acquiring { row, version } => {
                let call = lease_write(context, row, *version);
                self.send_call(call, context);
            }
            Lease::Held { .. } | Lease::Ordering { .. } | Lease::Lost => {}
        }
    }

    // The next order, if any. Loads come before unloads, so that a version is
    // loaded before the one that it replaces is unloaded.
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

    fn handle_table_answer(
        &mut self,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        match result {
            Ok(TableAnswer::Rows(rows)) | Err(TableError::Conflict { rows }) => {
                self.apply_row(rows.first(), context);
            }
            Ok(TableAnswer::Committed) => {
                if let Lease::Acquiring { row, .. } = &self.lease {
                    self.lease = Lease::Held { fence: row.fence };
                }
            }
            Err(_) => self.wait_until = context.now + RETRY_DELAY,
        }
    }

    fn apply_row(&mut self, found: Option<&Row>, context: &mut Context) {
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

    // Sends the next order directly after a read that confirmed the lease.
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

    fn record_result(&mut self, order: &EngineOrder, result: OrderResult, context: &mut Context) {
        let Lease::Ordering { fence } = self.lease else {
            return;
        };
        self.lease = Lease::Held { fence };
        let jitter = Millis(context.rng.random_range(0..=MAX_ORDER_JITTER.0));
        self.wait_until = context.now + REPORT_DELAY + jitter;
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

// True if the row's holder is a later incarnation of this agent.
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
            value: to_raw_value(row).expect("a lease row can be written as JSON"),
        }],
        deletes: Vec::new(),
    })
}
