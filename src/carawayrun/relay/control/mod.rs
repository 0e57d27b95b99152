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
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);

/// Part of the time in which a leaving upstream must be left alone for which one
/// whose registration lapsed is kept. It may have left after the outage, so the
/// bound holds from the moment at which its absence was read.
const LAPSED_DRAIN_FRACTION: f64 = 0.6;

/// How long the gateways' turns to move a roll-out on are apart at most.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(800);

/// What happened; times are on the boot clock unless it says otherwise.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read.
    ConfigurationRead(Box<Catalog>),
    /// All that operators declare was known at this moment.
    ConfigurationConfirmed(Duration),
    /// An order to roll out was read.
    OrderRead(Order),
    /// An order to roll out was removed.
    OrderRemoved(CompactString),
    /// A registration was read.
    UpstreamRegistered(Upstream),
    /// A registration is gone, or names no upstream to use.
    UpstreamUnregistered(CompactString),
    /// All registrations were read: peers are gone.
    RegistrationsRead(Vec<Upstream>),
    /// The store was reached again after this long.
    StoreRecovered(Duration),
    /// The row of a roll-out was read.
    RolloutRead(RolloutRow, u64),
    /// Another gateway's outcomes of a roll-out were read.
    OutcomesReceived {
        /// The gateway.
        node: CompactString,
        /// What it saw.
        outcomes: OutcomesView,
    },
    /// All rows of roll-outs were read.
    RolloutsSynced,
    /// Own outcomes of all versions since the start.
    OutcomesCounted(Vec<(CompactString, CompactString, Outcomes)>),
    /// This gateway read a table of the store, by number.
    TableRead(u32, Confirmation),
    /// Where the other gateways take reports was read.
    GatewaysRead(Vec<SocketAddr>),
    /// The bounds of the settings, which may have changed.
    BoundsRead {
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
    AdvanceRollout(RolloutRow, u64),
}

/// What a relay believes.
#[derive(Debug)]
pub struct State {
    write_delay: Duration,
    exposure_share: f64,
    drain_limit: Duration,
    catalog: Option<Arc<Catalog>>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: FxHashMap<CompactString, UpstreamKey>,
    /// Registrations that lapsed around an outage, and when they are gone.
    lapsed: FxHashMap<CompactString, Duration>,
    recovered_at: Option<Duration>,
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
            write_delay: write_delay(node),
            exposure_share,
            drain_limit,
            catalog: None,
            upstreams: SlotMap::with_key(),
            by_name: FxHashMap::default(),
            lapsed: FxHashMap::default(),
            recovered_at: None,
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
            Event::ConfigurationRead(catalog) => self.apply_configuration(*catalog, &mut effects),
            Event::ConfigurationConfirmed(at) => self.confirm_configuration(at, &mut effects),
            Event::OrderRead(order) => self.apply_order(order, &mut effects),
            Event::OrderRemoved(service) => self.remove_order(&service, &mut effects),
            Event::UpstreamRegistered(upstream) => {
                self.register_upstream(upstream);
                self.publish_upstreams(&mut effects);
            }
            Event::UpstreamUnregistered(name) => {
                self.unregister_upstream(name, now);
                self.publish_upstreams(&mut effects);
            }
            Event::RegistrationsRead(upstreams) => {
                self.sync_registrations(upstreams, now);
                self.registrations_synced = true;
                self.publish_upstreams(&mut effects);
                self.publish(&mut effects);
            }
            Event::StoreRecovered(outage) => {
                tracing::info!(away_ms = outage.as_millis() as u64, "store reached again");
                self.recovered_at = Some(now);
            }
            Event::RolloutRead(row, version) => self.apply_row(row, version, now, &mut effects),
            Event::OutcomesReceived { node, outcomes } => self.set_peer_outcomes(node, &outcomes),
            Event::RolloutsSynced => {
                self.rollouts_synced = true;
                self.publish(&mut effects);
            }
            Event::OutcomesCounted(outcomes) => self.update_outcomes(outcomes, now, &mut effects),
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
            Event::BoundsRead {
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

    fn apply_configuration(&mut self, catalog: Catalog, effects: &mut Vec<Effect>) {
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

    fn confirm_configuration(&mut self, at: Duration, effects: &mut Vec<Effect>) {
        if at > self.confirmed_at {
            self.confirmed_at = at;
            self.publish(effects);
        }
    }

    fn register_upstream(&mut self, upstream: Upstream) {
        self.lapsed.remove(&upstream.name);
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

    fn unregister_upstream(&mut self, name: CompactString, now: Duration) {
        let Some(key) = self.by_name.get(&name).copied() else {
            return;
        };
        let is_leaving = self.upstreams.get(key).is_none_or(|known| known.is_leaving);
        let reregistration_end = self.recovered_at.map(|at| at + REREGISTRATION_TIME);
        if let Some(until) = reregistration_end.filter(|until| now < *until && !is_leaving) {
            let until = until.min(now + self.drain_limit.mul_f64(LAPSED_DRAIN_FRACTION));
            tracing::info!(upstream = %name, "registration lapsed around an outage; kept for now");
            self.lapsed.entry(name).or_insert(until);
            return;
        }
        tracing::info!(upstream = %name, was_leaving = is_leaving, "upstream gone");
        self.remove_upstream(&name);
    }

    fn remove_upstream(&mut self, name: &str) {
        self.lapsed.remove(name);
        if let Some(key) = self.by_name.remove(name) {
            self.upstreams.remove(key);
        }
    }

    fn sync_registrations(&mut self, upstreams: Vec<Upstream>, now: Duration) {
        let missing = self.by_name.keys().cloned();
        let missing: Vec<CompactString> = missing
            .filter(|name| !upstreams.iter().any(|known| known.name == *name))
            .collect();
        for upstream in upstreams {
            self.register_upstream(upstream);
        }
        for name in missing {
            self.unregister_upstream(name, now);
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

    fn apply_order(&mut self, order: Order, effects: &mut Vec<Effect>) {
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
        let baseline = sums.map(|((_, version), seen)| (version.clone(), *seen));
        let rollout = Rollout {
            row,
            begun_at: Duration::ZERO,
            baseline: baseline.collect(),
            own: Seen::default(),
            updated_at: Duration::ZERO,
            peers: FxHashMap::default(),
            is_bad: false,
            order,
        };
        self.rollouts.insert(rollout.order.service.clone(), rollout);
        self.publish(effects);
    }

    fn remove_order(&mut self, service: &str, effects: &mut Vec<Effect>) {
        if self.rollouts.remove(service).is_some() {
            tracing::info!(service, "roll-out order removed");
            self.publish(effects);
        }
    }

    fn apply_row(
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
        if rollout.current_row().is_none() {
            rollout.begun_at = now;
        }
        rollout.row = Some((row, version));
        self.publish(effects);
    }

    fn set_peer_outcomes(&mut self, node: CompactString, outcomes: &OutcomesView) {
        let rollout = self.rollouts.get_mut(&outcomes.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.version == outcomes.order) {
            rollout.peers.insert(node, outcomes.seen);
        }
    }

    fn update_outcomes(
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
            let elapsed = now.saturating_sub(rollout.updated_at);
            rollout.own.advance(all, elapsed);
            rollout.updated_at = now;
        }
        self.publish(effects);
    }

    fn tick(&mut self, now: Duration, store_now: Option<Duration>, effects: &mut Vec<Effect>) {
        let gone: Vec<CompactString> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            tracing::info!(upstream = %name, "upstream gone; it did not come back after the outage");
            self.remove_upstream(&name);
        }
        self.publish_upstreams(effects);
        let write_delay = self.write_delay;
        let mut has_changed = false;
        for rollout in self.rollouts.values_mut() {
            has_changed |= rollout.evaluate();
            effects.extend(rollout.tick(store_now, write_delay));
        }
        if has_changed {
            self.publish(effects);
        }
    }

    fn publish(&mut self, effects: &mut Vec<Effect>) {
        self.view.catalog.clone_from(&self.catalog);
        self.view.confirmed_at = self.confirmed_at;
        self.view.is_synced =
            self.catalog.is_some() && self.registrations_synced && self.rollouts_synced;
        let open = self.rollouts.values().filter(|rollout| rollout.is_open());
        self.view.outcomes = open.map(Rollout::outcomes_view).collect();
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

// A gateway's write_delay: a delay that differs between gateways.
fn write_delay(node: &str) -> Duration {
    let sum = node.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    MAX_WRITE_DELAY.mul_f64(f64::from(sum % 64) / 64.0)
}
