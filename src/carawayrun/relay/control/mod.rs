//! The reducer of a relay: takes events read from the store and returns what to
//! publish and to write. It does no I/O and reads no clock.

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
use super::rollout::{Outcomes, RolloutEvidence, RolloutOrder, RolloutRow};
use super::view::{OutcomesView, Upstream, UpstreamKey, View};

/// Time after a store outage within which upstreams whose registrations lapsed
/// may register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);

/// Fraction of the drain limit for which an upstream whose registration lapsed
/// around a store outage is kept at most. It may have left after the outage, so
/// the drain limit counts from the read that showed its registration as missing.
const LAPSED_DRAIN_FRACTION: f64 = 0.6;

/// Longest delay of a gateway's write of a roll-out's next phase.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(800);

/// Input of the reducer. Times are on the boot clock, except for those of
/// [`Event::TableRead`], [`Event::Tick`] and the rows of roll-outs, which are on
/// the store's clock.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read.
    ConfigurationRead(Box<Catalog>),
    /// The configuration and the orders were known to be current at this time.
    ConfigurationConfirmed(Duration),
    /// A roll-out order was read.
    OrderRead(RolloutOrder),
    /// The roll-out order of a service was removed.
    OrderRemoved(CompactString),
    /// The registration of an upstream was read.
    UpstreamRegistered(Upstream),
    /// A registration was removed, or describes no usable upstream.
    UpstreamUnregistered(CompactString),
    /// All registrations were read; upstreams not among them are removed.
    RegistrationsRead(Vec<Upstream>),
    /// The store answered again after an outage of this length.
    StoreRecovered(Duration),
    /// The row of a roll-out was read, with its version.
    RolloutRead(RolloutRow, u64),
    /// Request outcomes that another gateway counted for an open roll-out were
    /// received.
    OutcomesReceived {
        /// Name of the gateway.
        node: CompactString,
        /// Its outcomes.
        outcomes: OutcomesView,
    },
    /// All rows of roll-outs were read.
    RolloutsSynced,
    /// This gateway's outcomes by service and version since its process started.
    OutcomesCounted(Vec<(CompactString, CompactString, Outcomes)>),
    /// This gateway read the table of the store with this number.
    TableRead(u32, Confirmation),
    /// The report addresses of the other gateways were read.
    GatewaysRead(Vec<SocketAddr>),
    /// The limits of the settings were read; they may have changed.
    LimitsRead {
        /// Largest share of a service's requests that a bad version may get.
        exposure_share: f64,
        /// Time after which a leaving upstream must get no new work.
        drain_limit: Duration,
    },
    /// The tick interval passed.
    Tick {
        /// Time of the store's clock, if known.
        store_now: Option<Duration>,
    },
}

/// Action that the caller carries out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Publish the newer view to the traffic thread.
    Publish,
    /// Write the row of a roll-out if its version in the store is still this one.
    AdvanceRollout(RolloutRow, u64),
}

/// Control state of a relay.
#[derive(Debug)]
pub struct State {
    write_delay: Duration,
    exposure_share: f64,
    drain_limit: Duration,
    catalog: Option<Arc<Catalog>>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: FxHashMap<CompactString, UpstreamKey>,
    /// Upstreams whose registrations lapsed around a store outage, with the time
    /// at which they are removed.
    lapsed: FxHashMap<CompactString, Duration>,
    recovered_at: Option<Duration>,
    rollouts: FxHashMap<CompactString, Rollout>,
    /// Rows of roll-outs whose order was not read yet: the tables are read
    /// concurrently, in either order.
    early_rows: FxHashMap<CompactString, (RolloutRow, u64)>,
    outcomes: FxHashMap<(CompactString, CompactString), Outcomes>,
    confirmed_at: Duration,
    registrations_synced: bool,
    rollouts_synced: bool,
    view: View,
}

impl State {
    /// Creates an empty state for the gateway `node`.
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

    /// Returns the view for the traffic thread.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// True while any roll-out is neither complete nor reverted.
    pub fn has_open_rollout(&self) -> bool {
        self.rollouts.values().any(Rollout::is_open)
    }

    /// Applies one event and returns its effects; `now` is on the boot clock.
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
                tracing::info!(
                    away_ms = outage.as_millis() as u64,
                    "store reachable again after an outage"
                );
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
            Event::LimitsRead {
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

    // Puts a configuration in force if it is newer than the known one.
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

    // Records that the configuration was current at the time `at`.
    fn confirm_configuration(&mut self, at: Duration, effects: &mut Vec<Effect>) {
        if at > self.confirmed_at {
            self.confirmed_at = at;
            self.publish(effects);
        }
    }

    // Adds an upstream or updates it; another incarnation gets a new key.
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
                    tracing::info!(upstream = %upstream.name, "upstream is leaving");
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

    // Removes an upstream; one that wasn't leaving is kept for some time if its
    // registration lapsed around a store outage.
    fn unregister_upstream(&mut self, name: CompactString, now: Duration) {
        let Some(key) = self.by_name.get(&name).copied() else {
            return;
        };
        let is_leaving = self.upstreams.get(key).is_none_or(|known| known.is_leaving);
        let reregistration_end = self.recovered_at.map(|at| at + REREGISTRATION_TIME);
        if let Some(until) = reregistration_end.filter(|until| now < *until && !is_leaving) {
            let until = until.min(now + self.drain_limit.mul_f64(LAPSED_DRAIN_FRACTION));
            tracing::info!(upstream = %name, "registration lapsed around a store outage; upstream kept for now");
            self.lapsed.entry(name).or_insert(until);
            return;
        }
        tracing::info!(upstream = %name, was_leaving = is_leaving, "upstream unregistered");
        self.remove_upstream(&name);
    }

    fn remove_upstream(&mut self, name: &str) {
        self.lapsed.remove(name);
        if let Some(key) = self.by_name.remove(name) {
            self.upstreams.remove(key);
        }
    }

    // Replaces the registered upstreams by those that were read.
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

    // Publishes the upstreams if they differ from those of the view.
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

    // Starts the roll-out of an order if it is newer than the known one.
    fn apply_order(&mut self, order: RolloutOrder, effects: &mut Vec<Effect>) {
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
        // The row of an earlier order is kept until this order's row replaces it.
        let row = known.and_then(|known| known.row.clone());
        let row = row.or_else(|| self.early_rows.remove(&order.service));
        let sums = self.outcomes.iter();
        let sums = sums.filter(|((service, _), _)| *service == order.service);
        let baseline = sums.map(|((_, version), seen)| (version.clone(), *seen));
        let rollout = Rollout {
            row,
            started_at: Duration::ZERO,
            baseline: baseline.collect(),
            own: RolloutEvidence::default(),
            updated_at: Duration::ZERO,
            peers: FxHashMap::default(),
            is_regression: false,
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

    // Takes over a roll-out's row if it is newer than the known one; a row whose
    // order was not read yet is kept in `early_rows`.
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
            "roll-out row read"
        );
        if rollout.current_row().is_none() {
            rollout.started_at = now;
        }
        rollout.row = Some((row, version));
        self.publish(effects);
    }

    // Replaces another gateway's evidence for the roll-out, if it has the same order.
    fn set_peer_outcomes(&mut self, node: CompactString, outcomes: &OutcomesView) {
        let rollout = self.rollouts.get_mut(&outcomes.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.version == outcomes.order) {
            rollout.peers.insert(node, outcomes.evidence);
        }
    }

    // Takes this gateway's total outcomes and updates its evidence for each roll-out.
    fn update_outcomes(
        &mut self,
        outcomes: Vec<(CompactString, CompactString, Outcomes)>,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        for (service, version, total) in outcomes {
            self.outcomes.insert((service, version), total);
        }
        for rollout in self.rollouts.values_mut() {
            let all = rollout.compare(&self.outcomes);
            let elapsed = now.saturating_sub(rollout.updated_at);
            rollout.own.update(all, elapsed);
            rollout.updated_at = now;
        }
        self.publish(effects);
    }

    // Removes lapsed upstreams whose time has passed, evaluates the roll-outs and
    // returns the writes that are due.
    fn tick(&mut self, now: Duration, store_now: Option<Duration>, effects: &mut Vec<Effect>) {
        let expired: Vec<CompactString> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            tracing::info!(upstream = %name, "upstream removed; it did not register again after the store outage");
            self.remove_upstream(&name);
        }
        self.publish_upstreams(effects);
        let write_delay = self.write_delay;
        let mut has_changed = false;
        for rollout in self.rollouts.values_mut() {
            has_changed |= rollout.evaluate();
            effects.extend(rollout.due_effects(store_now, write_delay));
        }
        if has_changed {
            self.publish(effects);
        }
    }

    // Rebuilds the view and adds the effect that publishes it, once.
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

// Delay before a gateway writes a roll-out's next phase. It depends on the name,
// so that mostly one gateway writes.
fn write_delay(node: &str) -> Duration {
    let sum = node.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    MAX_WRITE_DELAY.mul_f64(f64::from(sum % 64) / 64.0)
}
