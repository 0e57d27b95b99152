//! Orders to the engine: which versions it should have loaded.
//!
//! An agent's life takes the row `work/upstream/<name>` once, at its start, by
//! compare-and-set, with a fencing number that is one higher. It orders only
//! after it has read the row and found itself there; where it finds a later
//! holder, it never orders again. Engines that check the number refuse what a
//! woken life sends all the same; for those that do not, the later holder
//! looks again and again at what is loaded and puts it right.
//!
//! Loads are paced: one at a time, with a random pause before each, because
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
const RETRY: Millis = Millis(1_000);

/// Time between an accepted order and the next look at what is loaded; the
/// engine reports it with a lag.
const SETTLE: Millis = Millis(2_000);

/// Longest random pause before an order.
const MAX_PAUSE: Millis = Millis(500);

/// The concern.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    holding: Holding,
    calling: Option<u64>,
    next_number: u64,
    next_time: Millis,
    // As the engine last reported; absent before its first report.
    loaded: Option<Vec<CompactString>>,
}

/// Whether this life may order.
#[derive(Debug, Default)]
enum Holding {
    /// It has not read the row yet.
    #[default]
    New,
    /// It wrote the row, and must see whether that took effect.
    Taking { row: OrderRow, version: u64 },
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
struct OrderRow {
    holder: CompactString,
    fence: u64,
}

impl Orders {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        if context.identity.role != Role::Agent {
            return;
        }
        match event {
            Event::Tick => self.tick(context),
            Event::LoadChanged(load) => {
                let warm = load.warm.iter().map(CompactString::from);
                self.loaded = Some(warm.collect());
            }
            Event::TableAnswered(ticket, result) if self.is_awaited(*ticket) => {
                self.calling = None;
                self.stored(result, context);
            }
            Event::OrderAnswered(order, result) => self.ordered(order, *result, context),
            _ => {}
        }
    }

    fn is_awaited(&self, ticket: Ticket) -> bool {
        ticket.component == Component::Orders && self.calling == Some(ticket.number)
    }

    fn tick(&mut self, context: &mut Context) {
        let rests = self.calling.is_some() || context.now < self.next_time;
        if rests || context.lifecycle != Lifecycle::Running || !is_engine(context) {
            return;
        }
        match &self.holding {
            // The row is taken also where nothing is to be ordered, so that an
            // earlier life that wakes finds itself replaced.
            Holding::New => self.read(context),
            Holding::Held { .. } if self.next_order(context).is_some() => self.read(context),
            Holding::Taking { row, version } => {
                let commit = commit(context, row, *version);
                self.call(commit, context);
            }
            Holding::Held { .. } | Holding::Ordering { .. } | Holding::Lost => {}
        }
    }

    // What is to be ordered next, if anything: loads first, so that a version
    // that takes another's place is there before the other goes.
    fn next_order(&self, context: &Context) -> Option<(OrderAction, CompactString)> {
        let config = &context.config;
        let own = config.upstreams.by_name(&context.identity.upstream)?;
        let loaded = self.loaded.as_ref()?;
        let active = |name: &&CompactString| {
            let version = config.versions.by_name(name);
            version.is_some_and(|version| version.spec.phase != Phase::Withdrawn)
        };
        let missing = own
            .spec
            .versions
            .iter()
            .filter(active)
            .find(|name| !loaded.contains(name));
        if let Some(name) = missing {
            return Some((OrderAction::Load, name.clone()));
        }
        let extra = loaded
            .iter()
            .find(|name| !own.spec.versions.contains(name))?;
        Some((OrderAction::Unload, extra.clone()))
    }

    fn stored(&mut self, result: &Result<TableAnswer, TableError>, context: &mut Context) {
        match result {
            Ok(TableAnswer::Rows(rows)) | Err(TableError::Conflict { rows }) => {
                self.read_row(rows.first(), context);
            }
            Ok(TableAnswer::Committed) => {
                if let Holding::Taking { row, .. } = &self.holding {
                    self.holding = Holding::Held { fence: row.fence };
                }
            }
            Err(_) => self.next_time = context.now + RETRY,
        }
    }

    fn read_row(&mut self, found: Option<&Row>, context: &mut Context) {
        let row = found.and_then(|row| serde_json::from_str::<OrderRow>(row.value.get()).ok());
        let me = context.identity.node.to_compact_string();
        let mine = row.as_ref().filter(|row| row.holder == me);
        match (&self.holding, mine) {
            (Holding::New | Holding::Taking { .. }, None) if !is_later(row.as_ref(), context) => {
                let version = found.map_or(0, |row| row.version);
                let fence = row.map_or(1, |row| row.fence + 1);
                let row = OrderRow { holder: me, fence };
                let call = commit(context, &row, version);
                self.holding = Holding::Taking { row, version };
                self.call(call, context);
            }
            (Holding::Taking { .. }, Some(mine)) => {
                self.holding = Holding::Held { fence: mine.fence };
            }
            (Holding::Held { fence }, Some(_)) => {
                let fence = *fence;
                self.order(fence, context);
            }
            _ => self.lose(context),
        }
    }

    // Directly after the read that showed this life in the row.
    fn order(&mut self, fence: u64, context: &mut Context) {
        let Some((action, version)) = self.next_order(context) else {
            return;
        };
        self.holding = Holding::Ordering { fence };
        let order = EngineOrder {
            fence,
            action,
            version,
        };
        context
            .effects
            .push(Effect::Upstream(UpstreamAction::Order(order)));
    }

    fn ordered(&mut self, order: &EngineOrder, result: OrderResult, context: &mut Context) {
        let Holding::Ordering { fence } = self.holding else {
            return;
        };
        self.holding = Holding::Held { fence };
        let pause = Millis(context.rng.random_range(0..=MAX_PAUSE.0));
        self.next_time = context.now + SETTLE + pause;
        match result {
            OrderResult::Accepted => {
                tracing::info!(
                    name: "engine.ordered",
                    action = ?order.action,
                    version = %order.version,
                    fence = order.fence
                );
            }
            OrderResult::Fenced(_) => self.lose(context),
            OrderResult::Failed => {}
        }
    }

    fn lose(&mut self, context: &Context) {
        tracing::warn!(name: "engine.orders_lost", upstream = %context.identity.upstream);
        self.holding = Holding::Lost;
    }

    fn read(&mut self, context: &mut Context) {
        self.call(TableCall::Read(vec![row_key(context)]), context);
    }

    fn call(&mut self, call: TableCall, context: &mut Context) {
        let ticket = Ticket {
            component: Component::Orders,
            number: self.next_number,
        };
        self.next_number += 1;
        self.calling = Some(ticket.number);
        context.effects.push(Effect::CallTable(ticket, call));
    }
}

fn is_engine(context: &Context) -> bool {
    let config = &context.config;
    let own = config.upstreams.by_name(&context.identity.upstream);
    own.and_then(|own| config.services.by_name(&own.spec.service))
        .is_some_and(|service| service.spec.backend == Backend::Engine)
}

// True where the row's holder is a later life of this name.
fn is_later(row: Option<&OrderRow>, context: &Context) -> bool {
    let holder = row.and_then(|row| row.holder.parse::<NodeId>().ok());
    holder.is_some_and(|holder| {
        let me = &context.identity.node;
        holder.name == me.name && holder.incarnation > me.incarnation
    })
}

fn row_key(context: &Context) -> CompactString {
    format_compact!("work/upstream/{}", context.identity.upstream)
}

fn commit(context: &Context, row: &OrderRow, version: u64) -> TableCall {
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
