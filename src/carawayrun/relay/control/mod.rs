//! The reducer of a relay: takes events read from the store and returns what to
//! publish and to write. It does no I/O and reads no clock.

mod evacuations;
mod history;
mod orders;
mod registrations;
mod rollout;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use self::evacuations::Evacuations;
use self::history::RegistrationHistory;
use self::rollout::{DueInput, Rollout, VersionSlots};
use super::catalog::Catalog;
use super::evidence::Outcomes;
use super::readers::Confirmation;
use super::rollout::{OrderId, RolloutOrder, RolloutRow, TrafficOutlook};
use super::tally::{Tally, TallyKey};
use super::view::{OutcomesView, Upstream, UpstreamKey, View};

/// Time after a restore of the store within which operators write again what the copy
/// lacks. An order that repeats a known one is the same order until then. The users'
/// recovery time is 12 s; a gateway may notice the restore that long before the operators
/// do.
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
    /// Version of the row.
    pub version: u64,
    /// Time for which the upstream stays cold, as of the row.
    pub cold_for: Duration,
}

/// Input of the reducer. Times are on the boot clock, except for those of
/// [`Event::TableRead`], [`Event::Tick`] and the rows of roll-outs, which are on
/// the store's clock.
#[derive(Debug)]
pub enum Event {
    /// A configuration was read.
    ConfigurationRead(Box<Catalog>),
    /// The row of the configuration was read, but not what it says.
    ConfigurationUnreadable,
    /// The configuration and the orders were known to be current at this time.
    ConfigurationConfirmed(Duration),
    /// Other gateways were found to hold newer rows of the operators, or no longer to.
    BehindChanged(bool),
    /// A roll-out order was read.
    OrderRead(RolloutOrder),
    /// The roll-out order of a service was removed.
    OrderRemoved(CompactString),
    /// An order that takes a data centre out of service was read.
    EvacuationRead(CompactString, OrderId),
    /// The order that takes a data centre out of service was removed.
    EvacuationRemoved(CompactString),
    /// All orders that take data centres out of service were read; others were removed.
    EvacuationsRead(Vec<(CompactString, OrderId)>),
    /// The registration of an upstream was read.
    UpstreamRegistered(Registration),
    /// A registration was removed, or describes no usable upstream.
    UpstreamUnregistered(CompactString),
    /// All registrations were read; upstreams not among them are removed.
    RegistrationsRead(Vec<Registration>),
    /// The store answered again after an outage of this length.
    StoreRecovered(Duration),
    /// The store was restored from a copy: versions of rows that were read before
    /// have no meaning any more, and rows written shortly before are gone. Its newest
    /// version was this one when the restore was learned of.
    StoreRestored(u64),
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
    /// This gateway's attempts by service, version and route since its process started.
    TalliesCounted(Vec<(TallyKey, Tally)>),
    /// This gateway read the table of the store with this number.
    TableRead(u32, Confirmation),
    /// The report addresses of the other gateways were read.
    GatewaysRead(Vec<SocketAddr>),
    /// The address under which this gateway lists itself in the store was read.
    AddressSet(SocketAddr),
    /// The limits of the settings were read; they may have changed.
    LimitsRead {
        /// Largest share of a service's requests that a bad version may get.
        exposure_share: f64,
        /// Requests that it may get in addition.
        exposure_slack: f64,
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

/// Whether the newest configuration in the store could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewestConfiguration {
    Read,
    /// The known one is not confirmed while its row says something else.
    Unreadable,
}

/// Control state of a relay.
#[derive(Debug)]
pub struct State {
    write_delay: Duration,
    exposure_share: f64,
    exposure_slack: f64,
    drain_limit: Duration,
    catalog: Option<Arc<Catalog>>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: FxHashMap<CompactString, UpstreamKey>,
    /// Upstreams whose registrations lapsed around a store outage, with the time
    /// at which they are removed.
    lapsed: FxHashMap<CompactString, Duration>,
    /// Upstreams that are cold, with the time until which they are.
    cold: FxHashMap<CompactString, Duration>,
    history: RegistrationHistory,
    evacuations: Evacuations,
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
    tallies: FxHashMap<TallyKey, Tally>,
    /// Address under which this gateway lists itself in the store.
    own_addr: Option<SocketAddr>,
    /// The newest configuration in the store.
    newest: NewestConfiguration,
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
            exposure_slack: 0.0,
            drain_limit,
            catalog: None,
            upstreams: SlotMap::with_key(),
            by_name: FxHashMap::default(),
            lapsed: FxHashMap::default(),
            cold: FxHashMap::default(),
            history: RegistrationHistory::default(),
            evacuations: Evacuations::default(),
            recovered_at: None,
            restored_at: None,
            rollouts: FxHashMap::default(),
            displaced: FxHashMap::default(),
            rows: FxHashMap::default(),
            has_stale_rows: false,
            early_orders: Vec::new(),
            outcomes: FxHashMap::default(),
            tallies: FxHashMap::default(),
            own_addr: None,
            newest: NewestConfiguration::Read,
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

    /// True while the newest configuration can't be read.
    pub fn is_configuration_unreadable(&self) -> bool {
        self.newest == NewestConfiguration::Unreadable
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
            Event::ConfigurationRead(catalog) => {
                self.newest = NewestConfiguration::Read;
                self.apply_configuration(*catalog, &mut effects);
            }
            Event::ConfigurationUnreadable => self.newest = NewestConfiguration::Unreadable,
            Event::ConfigurationConfirmed(at) => self.confirm_configuration(at, &mut effects),
            Event::BehindChanged(is_behind) => {
                self.view.is_behind = is_behind;
                self.publish(&mut effects);
            }
            Event::OrderRead(order) => self.apply_order(order, now, &mut effects),
            Event::OrderRemoved(service) => self.remove_order(&service, &mut effects),
            Event::EvacuationRead(data_centre, id) => {
                self.begin_evacuation(data_centre, id, now, &mut effects);
            }
            Event::EvacuationRemoved(data_centre) => {
                self.end_evacuation(&data_centre, now, &mut effects);
            }
            Event::EvacuationsRead(orders) => self.sync_evacuations(orders, now, &mut effects),
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
            Event::StoreRestored(copy_version) => {
                self.history.begin_era(copy_version);
                self.evacuations.begin_era();
                self.forget_versions(now);
            }
            Event::RolloutRead(row, version) => self.apply_row(row, version, now, &mut effects),
            Event::OutcomesReceived { node, outcomes } => self.set_peer_outcomes(node, outcomes),
            Event::RolloutsSynced => {
                self.rollouts_synced = true;
                self.has_stale_rows = false;
                for order in std::mem::take(&mut self.early_orders) {
                    self.apply_order(order, now, &mut effects);
                }
                self.publish(&mut effects);
            }
            Event::OutcomesCounted(outcomes) => self.update_outcomes(outcomes, now, &mut effects),
            Event::TalliesCounted(tallies) => self.update_tallies(tallies, now),
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
            Event::AddressSet(addr) => self.own_addr = Some(addr),
            Event::LimitsRead {
                exposure_share,
                exposure_slack,
                drain_limit,
            } => {
                self.exposure_share = exposure_share;
                self.exposure_slack = exposure_slack;
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
            faults = catalog.faults.len(),
            "configuration in force"
        );
        for fault in &catalog.faults {
            tracing::error!(config = catalog.version, entry = fault.kind, name = %fault.name, reason = %fault.reason, "entry of the configuration can't be used; its requests are refused");
        }
        self.catalog = Some(Arc::new(catalog));
        self.publish(effects);
    }

    // Records that the configuration was current at the time `at`.
    fn confirm_configuration(&mut self, at: Duration, effects: &mut Vec<Effect>) {
        if at > self.confirmed_at && !self.is_configuration_unreadable() {
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

    // True while operators may write again what a restored copy lacks.
    fn is_recently_restored(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now.saturating_sub(at) < REWRITE_TIME)
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
        self.history.expire(now);
        self.expire_evacuations(now, effects);
        self.expire_cold(now);
        self.publish_upstreams(effects);
        let write_delay = self.write_delay;
        let mut has_changed = false;
        let mut writes = Vec::new();
        let others = self.view.is_listed.then(|| self.count_other_gateways());
        let is_write_due = self.restored_at.is_none_or(|at| now >= at + write_delay);
        for rollout in self.rollouts.values_mut() {
            let slots = count_slots(&self.upstreams, &self.evacuations, &rollout.order);
            let evidence = rollout.evidence();
            let due = DueInput {
                store_now,
                write_delay,
                is_stored: rollout.is_confirmed && !self.has_stale_rows,
                repeats_rows: is_write_due,
                outlook: TrafficOutlook {
                    exposure_share: self.exposure_share,
                    exposure_slack: self.exposure_slack,
                    rate: evidence.outcomes.rate(),
                    is_complete: others.is_some_and(|others| rollout.peers.len() >= others),
                },
                load: rollout.update_load(slots, &evidence, now),
                evidence,
            };
            has_changed |= rollout.evaluate(&due);
            let stored = self.rows.get(&rollout.order.service);
            writes.extend(rollout.due_effect(stored, &due));
        }
        // A withdrawal takes effect before it is written, which may take seconds.
        if has_changed {
            self.publish(effects);
        }
        effects.extend(writes);
    }

    // Number of the gateways that are listed in the store, without this one.
    fn count_other_gateways(&self) -> usize {
        let peers = self.view.peers.iter();
        peers.filter(|peer| Some(**peer) != self.own_addr).count()
    }

    // Rebuilds the view and adds the effect that publishes it, once.
    fn publish(&mut self, effects: &mut Vec<Effect>) {
        self.view.catalog.clone_from(&self.catalog);
        self.view.confirmed_at = self.confirmed_at;
        self.view.evacuations = self.evacuations.list();
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

// Slots of the upstreams of a roll-out's service, by version, without those of data centres
// that are ordered out.
fn count_slots(
    upstreams: &SlotMap<UpstreamKey, Upstream>,
    evacuations: &Evacuations,
    order: &RolloutOrder,
) -> VersionSlots {
    let mut slots = VersionSlots::default();
    for upstream in upstreams.values() {
        let is_counted = !upstream.is_leaving && !evacuations.contains(&upstream.data_centre);
        if upstream.service == order.service && is_counted {
            let is_new = upstream.version == order.to;
            let sum = if is_new {
                &mut slots.new
            } else {
                &mut slots.old
            };
            *sum = sum.saturating_add(upstream.slots);
        }
    }
    slots
}

// Delay before a gateway writes a roll-out's next phase. It depends on the name,
// so that mostly one gateway writes.
fn write_delay(node: &str) -> Duration {
    let sum = node.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    MAX_WRITE_DELAY.mul_f64(f64::from(sum % 64) / 64.0)
}
