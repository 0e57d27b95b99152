//! The reducer of a relay: what the store says goes in, what to publish and to
//! write comes out. It does no I/O and reads no clock.

mod rollout;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use self::rollout::Rollout;
use super::catalog::Catalog;
use super::readers::Confirmation;
use super::rollout::{Order, Outcomes, RolloutRow, Seen};
use super::view::{OutcomesView, Upstream, UpstreamKey, View};

/// Time after an outage of the store in which registrations that lapsed
/// meanwhile may still come back.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Part of the time in which a leaving upstream must be left alone for which one
/// whose registration lapsed is kept. It may have left after the outage, so the
/// bound holds from the moment at which its absence was read.
const LAPSE_PART: f64 = 0.6;

/// How long the gateways' turns to move a roll-out on are apart at most.
const TURN_SPREAD: Duration = Duration::from_millis(800);

/// What happened; times are on the boot clock unless it says otherwise.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read.
    Configured(Box<Catalog>),
    /// All that operators declare was known at this moment.
    Confirmed(Duration),
    /// An order to roll out was read.
    Ordered(Order),
    /// An order to roll out was removed.
    OrderDropped(CompactString),
    /// A registration was read.
    Registered(Upstream),
    /// A registration is gone, or names no upstream to use.
    Unregistered(CompactString),
    /// All registrations were read: others are gone.
    RegistrationsRead(Vec<Upstream>),
    /// The store was reached again after this long.
    StoreReturned(Duration),
    /// The row of a roll-out was read.
    RolloutRead(RolloutRow, u64),
    /// Another gateway's outcomes of a roll-out were read.
    OutcomesRead {
        /// The gateway.
        node: CompactString,
        /// What it saw.
        told: OutcomesView,
    },
    /// All rows of roll-outs were read.
    RolloutsSynced,
    /// Own outcomes of all versions since the start.
    OutcomesSeen(Vec<(CompactString, CompactString, Outcomes)>),
    /// This gateway read a table of the store, by number.
    TableRead(u32, Confirmation),
    /// Where the other gateways take reports was read.
    GatewaysRead(Vec<SocketAddr>),
    /// The bounds of the settings, which may have changed.
    Bounded {
        /// Share of a service's requests that a bad version may get.
        exposure_share: f64,
        /// Time after which a leaving upstream must get no new work.
        drain_limit: Duration,
    },
    /// Time passed.
    Tick {
        /// The store's clock, where it is known.
        store_now: Option<Duration>,
    },
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// The traffic thread needs the newer view.
    Publish,
    /// Move a roll-out on where its row is still at this version.
    MoveRollout(RolloutRow, u64),
}

/// What a relay believes.
#[derive(Debug)]
pub struct State {
    turn: Duration,
    exposure_share: f64,
    drain_limit: Duration,
    catalog: Option<Arc<Catalog>>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: FxHashMap<CompactString, UpstreamKey>,
    /// Registrations that lapsed around an outage, and when they are gone.
    lapsing: FxHashMap<CompactString, Duration>,
    returned_at: Option<Duration>,
    rollouts: FxHashMap<CompactString, Rollout>,
    /// Rows of roll-outs whose order is not known yet: the tables are read side
    /// by side, and either may come first.
    early_rows: FxHashMap<CompactString, (RolloutRow, u64)>,
    outcomes: FxHashMap<(CompactString, CompactString), Outcomes>,
    confirmed_at: Duration,
    registrations_synced: bool,
    rollouts_synced: bool,
    view: View,
}

impl State {
    /// Knows nothing yet.
    pub fn new(node: &str, exposure_share: f64, drain_limit: Duration) -> Self {
        Self {
            turn: turn(node),
            exposure_share,
            drain_limit,
            catalog: None,
            upstreams: SlotMap::with_key(),
            by_name: FxHashMap::default(),
            lapsing: FxHashMap::default(),
            returned_at: None,
            rollouts: FxHashMap::default(),
            early_rows: FxHashMap::default(),
            outcomes: FxHashMap::default(),
            confirmed_at: Duration::ZERO,
            registrations_synced: false,
            rollouts_synced: false,
            view: View::default(),
        }
    }

    /// What the traffic thread is to know.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// True while the outcome of a roll-out is open.
    pub fn has_open_rollout(&self) -> bool {
        self.rollouts.values().any(Rollout::is_open)
    }

    /// Takes in one event; `now` is on the boot clock.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Configured(catalog) => self.configured(*catalog, &mut effects),
            Event::Confirmed(at) => self.confirmed(at, &mut effects),
            Event::Ordered(order) => self.ordered(order, &mut effects),
            Event::OrderDropped(service) => self.order_dropped(&service, &mut effects),
            Event::Registered(upstream) => {
                self.registered(upstream);
                self.publish_upstreams(&mut effects);
            }
            Event::Unregistered(name) => {
                self.unregistered(name, now);
                self.publish_upstreams(&mut effects);
            }
            Event::RegistrationsRead(upstreams) => {
                self.registrations_read(upstreams, now);
                self.registrations_synced = true;
                self.publish_upstreams(&mut effects);
                self.publish(&mut effects);
            }
            Event::StoreReturned(away) => {
                tracing::info!(away_ms = away.as_millis() as u64, "store reached again");
                self.returned_at = Some(now);
            }
            Event::RolloutRead(row, version) => self.rollout_read(row, version, now, &mut effects),
            Event::OutcomesRead { node, told } => self.outcomes_read(node, &told),
            Event::RolloutsSynced => {
                self.rollouts_synced = true;
                self.publish(&mut effects);
            }
            Event::OutcomesSeen(outcomes) => self.outcomes_seen(outcomes, now, &mut effects),
            Event::TableRead(table, confirmation) => {
                self.view.reads.retain(|(other, _)| *other != table);
                self.view.reads.push((table, confirmation));
                self.publish(&mut effects);
            }
            Event::GatewaysRead(peers) => {
                if self.view.peers != peers {
                    self.view.peers = peers;
                    self.publish(&mut effects);
                }
            }
            Event::Bounded {
                exposure_share,
                drain_limit,
            } => {
                self.exposure_share = exposure_share;
                self.drain_limit = drain_limit;
            }
            Event::Tick { store_now } => self.tick(now, store_now, &mut effects),
        }
        effects
    }

    fn configured(&mut self, catalog: Catalog, effects: &mut Vec<Effect>) {
        let known = self.catalog.as_ref().map(|known| known.version);
        if known.is_some_and(|known| catalog.version <= known) {
            return;
        }
        tracing::info!(
            config = catalog.version,
            before = known.unwrap_or(0),
            routes = catalog.routes.len(),
            teams = catalog.teams.len(),
            "configuration in force"
        );
        self.catalog = Some(Arc::new(catalog));
        self.publish(effects);
    }

    fn confirmed(&mut self, at: Duration, effects: &mut Vec<Effect>) {
        if at > self.confirmed_at {
            self.confirmed_at = at;
            self.publish(effects);
        }
    }

    fn registered(&mut self, upstream: Upstream) {
        self.lapsing.remove(&upstream.name);
        let known = self.by_name.get(&upstream.name).copied();
        if let Some(known) = known.and_then(|key| self.upstreams.get_mut(key)) {
            let same = known.born_ms == upstream.born_ms
                && known.addr == upstream.addr
                && known.service == upstream.service
                && known.version == upstream.version;
            if same {
                if upstream.is_leaving && !known.is_leaving {
                    tracing::info!(upstream = %upstream.name, "upstream leaves");
                }
                *known = upstream;
                return;
            }
        }
        if let Some(key) = known {
            self.upstreams.remove(key);
        }
        tracing::info!(
            upstream = %upstream.name,
            service = %upstream.service,
            version = %upstream.version,
            born_ms = upstream.born_ms,
            restarted = known.is_some(),
            "upstream registered"
        );
        let name = upstream.name.clone();
        let key = self.upstreams.insert(upstream);
        self.by_name.insert(name, key);
    }

    fn unregistered(&mut self, name: CompactString, now: Duration) {
        let Some(key) = self.by_name.get(&name).copied() else {
            return;
        };
        let is_leaving = self.upstreams.get(key).is_none_or(|known| known.is_leaving);
        let returning = self.returned_at.map(|at| at + RETURN_TIME);
        if let Some(until) = returning.filter(|until| now < *until && !is_leaving) {
            let until = until.min(now + self.drain_limit.mul_f64(LAPSE_PART));
            tracing::info!(upstream = %name, "registration lapsed around an outage; kept for now");
            self.lapsing.entry(name).or_insert(until);
            return;
        }
        tracing::info!(upstream = %name, was_leaving = is_leaving, "upstream gone");
        self.remove(&name);
    }

    fn remove(&mut self, name: &str) {
        self.lapsing.remove(name);
        if let Some(key) = self.by_name.remove(name) {
            self.upstreams.remove(key);
        }
    }

    fn registrations_read(&mut self, upstreams: Vec<Upstream>, now: Duration) {
        let missing = self.by_name.keys().cloned();
        let missing: Vec<CompactString> = missing
            .filter(|name| !upstreams.iter().any(|known| known.name == *name))
            .collect();
        for upstream in upstreams {
            self.registered(upstream);
        }
        for name in missing {
            self.unregistered(name, now);
        }
    }

    fn publish_upstreams(&mut self, effects: &mut Vec<Effect>) {
        let is_same = self.view.upstreams.len() == self.upstreams.len()
            && self
                .upstreams
                .iter()
                .all(|(key, upstream)| self.view.upstreams.get(key) == Some(upstream));
        if !is_same {
            self.view.upstreams = Arc::new(self.upstreams.clone());
            self.publish(effects);
        }
    }

    fn ordered(&mut self, order: Order, effects: &mut Vec<Effect>) {
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|known| known.order.version >= order.version) {
            return;
        }
        tracing::info!(
            service = %order.service,
            to = %order.to,
            limit_s = order.limit.as_secs_f64(),
            order = order.version,
            "roll-out ordered"
        );
        // The row of an earlier order is replaced by this one's.
        let row = known.and_then(|known| known.row.clone());
        let row = row.or_else(|| self.early_rows.remove(&order.service));
        let sums = self.outcomes.iter();
        let sums = sums.filter(|((service, _), _)| *service == order.service);
        let before = sums.map(|((_, version), seen)| (version.clone(), *seen));
        let rollout = Rollout {
            row,
            begun_at: Duration::ZERO,
            before: before.collect(),
            own: Seen::default(),
            seen_at: Duration::ZERO,
            others: FxHashMap::default(),
            is_bad: false,
            order,
        };
        self.rollouts.insert(rollout.order.service.clone(), rollout);
        self.publish(effects);
    }

    fn order_dropped(&mut self, service: &str, effects: &mut Vec<Effect>) {
        if self.rollouts.remove(service).is_some() {
            tracing::info!(service, "roll-out order removed");
            self.publish(effects);
        }
    }

    fn rollout_read(
        &mut self,
        row: RolloutRow,
        version: u64,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(rollout) = self.rollouts.get_mut(&row.service) else {
            self.early_rows.insert(row.service.clone(), (row, version));
            return;
        };
        let known = rollout.row.as_ref().map_or(0, |(_, version)| *version);
        if version <= known {
            return;
        }
        tracing::info!(
            service = %row.service,
            to = %row.to,
            phase = ?row.phase,
            row_version = version,
            order = row.order,
            "roll-out moved on"
        );
        if rollout.current().is_none() {
            rollout.begun_at = now;
        }
        rollout.row = Some((row, version));
        self.publish(effects);
    }

    fn outcomes_read(&mut self, node: CompactString, told: &OutcomesView) {
        let rollout = self.rollouts.get_mut(&told.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.version == told.order) {
            rollout.others.insert(node, told.seen);
        }
    }

    fn outcomes_seen(
        &mut self,
        outcomes: Vec<(CompactString, CompactString, Outcomes)>,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        for (service, version, seen) in outcomes {
            self.outcomes.insert((service, version), seen);
        }
        for rollout in self.rollouts.values_mut() {
            let all = rollout.compare(&self.outcomes);
            let elapsed = now.saturating_sub(rollout.seen_at);
            rollout.own.advance(all, elapsed);
            rollout.seen_at = now;
        }
        self.publish(effects);
    }

    fn tick(&mut self, now: Duration, store_now: Option<Duration>, effects: &mut Vec<Effect>) {
        let gone: Vec<CompactString> = self
            .lapsing
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            tracing::info!(upstream = %name, "upstream gone; it did not come back after the outage");
            self.remove(&name);
        }
        self.publish_upstreams(effects);
        let turn = self.turn;
        let mut is_news = false;
        for rollout in self.rollouts.values_mut() {
            is_news |= rollout.judge();
            effects.extend(rollout.tick(store_now, turn));
        }
        if is_news {
            self.publish(effects);
        }
    }

    fn publish(&mut self, effects: &mut Vec<Effect>) {
        self.view.catalog.clone_from(&self.catalog);
        self.view.confirmed_at = self.confirmed_at;
        self.view.is_synced =
            self.catalog.is_some() && self.registrations_synced && self.rollouts_synced;
        let open = self.rollouts.values().filter(|rollout| rollout.is_open());
        self.view.outcomes = open.map(Rollout::outcomes).collect();
        let share = self.exposure_share;
        self.view.rollouts = self
            .rollouts
            .values()
            .map(|rollout| rollout.view(share))
            .collect();
        if !effects.contains(&Effect::Publish) {
            effects.push(Effect::Publish);
        }
    }
}

// A gateway's turn: a delay that differs between gateways.
fn turn(node: &str) -> Duration {
    let sum = node.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    TURN_SPREAD.mul_f64(f64::from(sum % 64) / 64.0)
}
