//! The reducer of a relay: takes events read from the store and returns what to
//! publish and to write. It does no I/O and reads no clock.

mod history;
mod rollout;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use self::history::RegistrationHistory;
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

/// Time after a restore of the store within which operators and upstreams write
/// again what the copy lacks. An order that repeats a known one is the same order
/// until then, and a registration may be one of the copy. The users' recovery time
/// is 12 s; a gateway may notice the restore that long before the operators do.
const REWRITE_TIME: Duration = Duration::from_secs(30);

/// Longest delay of a gateway's write of a roll-out's next phase.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(800);

/// Registration of an upstream as it was read.
#[derive(Debug, Clone)]
pub struct Registration {
    /// The upstream.
    pub upstream: Upstream,
    /// Number of writes of the registration by the upstream's process, if given.
    pub sequence: Option<u64>,
}

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
    UpstreamRegistered(Registration),
    /// A registration was removed, or describes no usable upstream.
    UpstreamUnregistered(CompactString),
    /// All registrations were read; upstreams not among them are removed.
    RegistrationsRead(Vec<Registration>),
    /// The store answered again after an outage of this length.
    StoreRecovered(Duration),
    /// The store was restored from a copy: versions of rows that were read before
    /// have no meaning any more, and rows written shortly before are gone.
    StoreRestored,
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
    history: RegistrationHistory,
    recovered_at: Option<Duration>,
    /// Time of the last restore of the store.
    restored_at: Option<Duration>,
    rollouts: FxHashMap<CompactString, Rollout>,
    /// Roll-outs whose order a restored copy did not hold, but an earlier one.
    displaced: FxHashMap<CompactString, Rollout>,
    /// Rows of roll-outs in the store with their versions, by service.
    rows: FxHashMap<CompactString, (RolloutRow, u64)>,
    /// True from a restore of the store until `rows` was read again.
    has_stale_rows: bool,
    /// Orders that were read while `rows` was stale.
    early_orders: Vec<RolloutOrder>,
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
            history: RegistrationHistory::default(),
            recovered_at: None,
            restored_at: None,
            rollouts: FxHashMap::default(),
            displaced: FxHashMap::default(),
            rows: FxHashMap::default(),
            has_stale_rows: false,
            early_orders: Vec::new(),
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

    /// True while the rows of roll-outs must be followed.
    pub fn needs_rollout_rows(&self) -> bool {
        self.has_stale_rows
            || self.rollouts.values().any(|rollout| {
                rollout.is_open() || rollout.is_ahead_of(self.rows.get(&rollout.order.service))
            })
    }

    /// Applies one event and returns its effects; `now` is on the boot clock.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::ConfigurationRead(catalog) => self.apply_configuration(*catalog, &mut effects),
            Event::ConfigurationConfirmed(at) => self.confirm_configuration(at, &mut effects),
            Event::OrderRead(order) => self.apply_order(order, now, &mut effects),
            Event::OrderRemoved(service) => self.remove_order(&service, &mut effects),
            Event::UpstreamRegistered(registration) => {
                self.register_upstream(registration, now);
                self.publish_upstreams(&mut effects);
            }
            Event::UpstreamUnregistered(name) => {
                self.unregister_upstream(name, now);
                self.publish_upstreams(&mut effects);
            }
            Event::RegistrationsRead(registrations) => {
                self.sync_registrations(registrations, now);
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
            Event::StoreRestored => self.forget_versions(now),
            Event::RolloutRead(row, version) => self.apply_row(row, version, now, &mut effects),
            Event::OutcomesReceived { node, outcomes } => self.set_peer_outcomes(node, &outcomes),
            Event::RolloutsSynced => {
                self.rollouts_synced = true;
                self.has_stale_rows = false;
                for order in std::mem::take(&mut self.early_orders) {
                    self.apply_order(order, now, &mut effects);
                }
                self.publish(&mut effects);
            }
            Event::OutcomesCounted(outcomes) => self.update_outcomes(outcomes, now, &mut effects),
            Event::TableRead(table, confirmation) => {
                self.view.reads.retain(|(other, _)| *other != table);
                self.view.reads.push((table, confirmation));
                self.publish(&mut effects);
            }
            Event::GatewaysRead(peers) => {
                if self.view.peers != peers || !self.view.is_listed {
                    self.view.peers = peers;
                    self.view.is_listed = true;
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

    // Forgets the versions of rows, which the store gives out again. What the rows
    // said stays in force until they are read again.
    fn forget_versions(&mut self, now: Duration) {
        self.restored_at = Some(now);
        self.recovered_at = Some(now);
        self.rows.clear();
        self.has_stale_rows = true;
        self.early_orders.clear();
        for rollout in self.rollouts.values_mut() {
            rollout.is_confirmed = false;
        }
    }

    // True while rows may be those of a restored copy.
    fn is_recently_restored(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now.saturating_sub(at) < REWRITE_TIME)
    }

    // Adds an upstream or updates it; another incarnation gets a new key.
    fn register_upstream(&mut self, registration: Registration, now: Duration) {
        if self.is_recently_restored(now) && self.history.is_outdated(&registration) {
            tracing::info!(
                upstream = %registration.upstream.name,
                sequence = registration.sequence,
                "registration of the restored copy is outdated; ignored"
            );
            return;
        }
        self.history.record(&registration);
        let upstream = registration.upstream;
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
        self.remove_upstream(&name, now);
    }

    fn remove_upstream(&mut self, name: &str, now: Duration) {
        self.lapsed.remove(name);
        self.history.record_removal(name, now);
        if let Some(key) = self.by_name.remove(name) {
            self.upstreams.remove(key);
        }
    }

    // Replaces the registered upstreams by those that were read.
    fn sync_registrations(&mut self, registrations: Vec<Registration>, now: Duration) {
        let missing = self.by_name.keys().cloned();
        let missing: Vec<CompactString> = missing
            .filter(|name| {
                let mut known = registrations.iter();
                !known.any(|known| known.upstream.name == *name)
            })
            .collect();
        for registration in registrations {
            self.register_upstream(registration, now);
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

    // Starts the roll-out of an order if it is newer than the known one, or goes on
    // with a roll-out whose order was only written again after a restore.
    fn apply_order(&mut self, order: RolloutOrder, now: Duration, effects: &mut Vec<Effect>) {
        if self.has_stale_rows {
            // The rows say which version serves, so they come first.
            self.early_orders.push(order);
            return;
        }
        let service = order.service.clone();
        let known = self.rollouts.get(&service);
        if known.is_some_and(|known| known.order.id >= order.id) {
            return;
        }
        let id = order.id;
        let is_restored = self.is_recently_restored(now);
        let mut known = self.rollouts.remove(&service);
        let mut displaced = self.displaced.remove(&service);
        let repeated = known.take_if(|known| {
            (is_restored || known.order.id.era < id.era) && known.order.has_same_content(&order)
        });
        let repeated = repeated.or_else(|| {
            displaced.take_if(|other| is_restored && other.order.has_same_content(&order))
        });
        let rollout = match repeated {
            Some(mut rollout) => {
                rollout.renumber(id);
                rollout
            }
            None => self.new_rollout(order, known.as_ref()),
        };
        // The copy may hold the order before the known one, which is then written
        // again.
        let unconfirmed = known.filter(|known| known.order.id.era < id.era);
        if let Some(displaced) = unconfirmed.or(displaced) {
            self.displaced.insert(service.clone(), displaced);
        }
        self.rollouts.insert(service.clone(), rollout);
        self.adopt_row(&service, now);
        self.publish(effects);
    }

    // The row of the `known` roll-out is kept until the order's own row replaces it.
    fn new_rollout(&self, order: RolloutOrder, known: Option<&Rollout>) -> Rollout {
        tracing::info!(
            service = %order.service,
            to = %order.to,
            limit_s = order.limit.as_secs_f64(),
            order = order.id.version,
            era = order.id.era,
            "roll-out ordered"
        );
        let stored = self.rows.get(&order.service).map(|(row, _)| row);
        let row = known.and_then(|known| known.row.as_ref()).or(stored);
        let sums = self.outcomes.iter();
        let sums = sums.filter(|((service, _), _)| *service == order.service);
        let baseline = sums.map(|((_, version), seen)| (version.clone(), *seen));
        Rollout {
            row: row.cloned(),
            started_at: Duration::ZERO,
            baseline: baseline.collect(),
            own: RolloutEvidence::default(),
            updated_at: Duration::ZERO,
            peers: FxHashMap::default(),
            is_regression: false,
            is_confirmed: true,
            order,
        }
    }

    fn remove_order(&mut self, service: &str, effects: &mut Vec<Effect>) {
        if self.rollouts.remove(service).is_some() {
            tracing::info!(service, "roll-out order removed");
            self.publish(effects);
        }
    }

    // Records a roll-out's row in the store if it is newer than the known one. It is
    // kept if its order was not read yet: the tables are read concurrently.
    fn apply_row(
        &mut self,
        row: RolloutRow,
        version: u64,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.rows.get(&row.service);
        if known.is_some_and(|(_, known)| version <= *known) {
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
        let service = row.service.clone();
        self.rows.insert(service.clone(), (row, version));
        self.adopt_row(&service, now);
        self.publish(effects);
    }

    // Passes the stored row of a service to its roll-out, if its order is known to
    // be in the store: rows of other orders may bear the same number.
    fn adopt_row(&mut self, service: &str, now: Duration) {
        let rollout = self.rollouts.get_mut(service);
        let rollout = rollout.filter(|rollout| rollout.is_confirmed);
        if let Some((rollout, (row, _))) = rollout.zip(self.rows.get(service)) {
            rollout.adopt(row, now);
        }
    }

    // Replaces another gateway's evidence for the roll-out, if it has the same order.
    fn set_peer_outcomes(&mut self, node: CompactString, outcomes: &OutcomesView) {
        let rollout = self.rollouts.get_mut(&outcomes.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.id == outcomes.order) {
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
            self.remove_upstream(&name, now);
        }
        self.history.expire(now);
        self.publish_upstreams(effects);
        let write_delay = self.write_delay;
        let mut has_changed = false;
        let is_write_due = self.restored_at.is_none_or(|at| now >= at + write_delay);
        for rollout in self.rollouts.values_mut() {
            has_changed |= rollout.evaluate();
            let stored = self.rows.get(&rollout.order.service);
            if rollout.is_confirmed && !self.has_stale_rows {
                effects.extend(rollout.due_effect(stored, store_now, write_delay, is_write_due));
            }
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
