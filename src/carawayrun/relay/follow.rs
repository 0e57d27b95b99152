//! The control thread: follows the store and feeds the reducer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

use super::RelaySettings;
use super::boot_clock;
use super::control::{Effect, Event, State};
use super::rollout::RolloutRow;
use super::traffic::Shared;
use super::view::Upstream;
use crate::platform::{self, Keyspace, StoreClient};
use crate::store::CallError;
use crate::store::feed::{Change, FeedError};
use crate::store::table::{Row, TableError, Transaction};

/// Longest wait of a feed for changes. An answer that brings none confirms the
/// configuration, so this is also how often it is confirmed.
const FEED_WAIT: Duration = Duration::from_millis(1_500);

/// Parts of the time in which a leaving upstream must be left alone between two
/// calls for registrations. Each upstream writes one every second or so, and
/// most change nothing, so a call for each write would bring little.
const REGISTRATIONS_PER_DRAIN: u32 = 2;

/// Shortest time between two calls for the rows of roll-outs.
const ROLLOUTS_PACE: Duration = Duration::from_millis(900);

/// Longest wait of a feed for the rows of roll-outs.
const ROLLOUTS_WAIT: Duration = Duration::from_millis(2_500);

/// Pause after a failed call, and how much of it is random: all gateways find
/// the store away at the same moment.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time without an answer after which the store counts as having been away.
const AWAY_AFTER: Duration = Duration::from_millis(2_400);

/// How often the reducer sees the time.
const TICK: Duration = Duration::from_millis(200);

/// Time between two readings of where the other gateways take reports. Those
/// that are already known to each other need none.
const GATEWAYS_PACE: Duration = Duration::from_secs(10);

/// Time until the second reading: at a common start the first one comes before
/// the others have written their row.
const GATEWAYS_FIRST: Duration = Duration::from_millis(1_500);

/// Age at which a gateway's row counts no more.
const GATEWAY_LIFE: Duration = Duration::from_secs(30);

/// Everything on the control thread; its tasks share it.
pub(super) struct Control {
    settings: RelaySettings,
    store: StoreClient,
    state: RefCell<State>,
    shared: Shared,
    /// The store's clock as last read, and when.
    store_clock: RefCell<Option<(Duration, Instant)>>,
    answered_at: RefCell<Instant>,
    rng: RefCell<SmallRng>,
}

/// Follows the store until the process ends.
pub(super) async fn run(settings: RelaySettings, shared: Shared) {
    let control = Rc::new(Control {
        store: StoreClient::new(settings.store),
        state: RefCell::new(State::new(&settings.node, settings.exposure_share)),
        settings,
        shared,
        store_clock: RefCell::default(),
        answered_at: RefCell::new(Instant::now()),
        rng: RefCell::new(SmallRng::from_os_rng()),
    });
    actix_rt::spawn(Rc::clone(&control).follow_orders());
    actix_rt::spawn(Rc::clone(&control).follow_registrations());
    actix_rt::spawn(Rc::clone(&control).follow_rollouts());
    actix_rt::spawn(Rc::clone(&control).follow_gateways());
    control.ticks().await;
}

impl Control {
    async fn follow_orders(self: Rc<Self>) {
        let mut version = None;
        loop {
            let Some(after) = version else {
                version = self.read_orders().await;
                continue;
            };
            let asked = boot_clock::now();
            match self.store.changes(Keyspace::Orders, after, FEED_WAIT).await {
                Ok(feed) => {
                    self.answered(feed.now);
                    let is_quiet = feed.changes.is_empty();
                    for change in feed.changes {
                        self.order_changed(change);
                    }
                    // An answer without changes was given after the whole wait.
                    let now = boot_clock::now();
                    let waited = is_quiet && now.saturating_sub(asked) >= FEED_WAIT;
                    let known = if waited { asked + FEED_WAIT } else { asked };
                    self.handle(Event::Confirmed(known));
                    version = Some(feed.version.max(after));
                }
                Err(error) => version = self.feed_failed(&error, after).await,
            }
        }
    }

    async fn read_orders(&self) -> Option<u64> {
        let asked = boot_clock::now();
        match self.store.snapshot(Keyspace::Orders).await {
            Ok(snapshot) => {
                self.answered(snapshot.now);
                for row in &snapshot.rows {
                    self.order_row(row);
                }
                self.handle(Event::Confirmed(asked));
                Some(snapshot.version)
            }
            Err(error) => {
                self.call_failed(&error.to_string()).await;
                None
            }
        }
    }

    fn order_changed(&self, change: Change) {
        match change {
            Change::Put(row) => self.order_row(&row),
            Change::Deleted(key) => {
                if let Some(service) = platform::ordered_service(&key) {
                    self.handle(Event::OrderDropped(service.into()));
                }
            }
        }
    }

    fn order_row(&self, row: &Row) {
        match platform::catalog(row) {
            Some(Ok(catalog)) => self.handle(Event::Configured(Box::new(catalog))),
            Some(Err(error)) => {
                tracing::error!(%error, row_version = row.version, "configuration not usable; the one before stays in force");
            }
            None => {}
        }
        match platform::order(row) {
            Some(Ok(order)) => self.handle(Event::Ordered(order)),
            Some(Err(error)) => {
                tracing::error!(%error, key = %row.key, "roll-out order not usable; ignored");
            }
            None => {}
        }
    }

    async fn follow_registrations(self: Rc<Self>) {
        let mut version = None;
        loop {
            let begun = Instant::now();
            let Some(after) = version else {
                version = self.read_registrations().await;
                continue;
            };
            let changes = self
                .store
                .changes(Keyspace::Registrations, after, FEED_WAIT);
            match changes.await {
                Ok(feed) => {
                    self.answered(feed.now);
                    for change in feed.changes {
                        self.registration_changed(change);
                    }
                    version = Some(feed.version.max(after));
                    sleep_until(begun + self.settings.drain_limit / REGISTRATIONS_PER_DRAIN).await;
                }
                Err(error) => version = self.feed_failed(&error, after).await,
            }
        }
    }

    async fn read_registrations(&self) -> Option<u64> {
        match self.store.snapshot(Keyspace::Registrations).await {
            Ok(snapshot) => {
                self.answered(snapshot.now);
                let upstreams = snapshot.rows.iter().filter_map(usable);
                self.handle(Event::RegistrationsRead(upstreams.collect()));
                Some(snapshot.version)
            }
            Err(error) => {
                self.call_failed(&error.to_string()).await;
                None
            }
        }
    }

    fn registration_changed(&self, change: Change) {
        let event = match change {
            Change::Put(row) => match usable(&row) {
                Some(upstream) => Event::Registered(upstream),
                None => Event::Unregistered(row.key),
            },
            Change::Deleted(key) => Event::Unregistered(key),
        };
        self.handle(event);
    }

    // Rows of roll-outs matter only while the outcome of one is open.
    async fn follow_rollouts(self: Rc<Self>) {
        // Also those that are over tell which version serves.
        let mut version = self.read_rollouts().await;
        while version.is_none() {
            version = self.read_rollouts().await;
        }
        self.handle(Event::RolloutsSynced);
        loop {
            if !self.state.borrow().has_open_rollout() {
                version = None;
                sleep(TICK).await;
                continue;
            }
            let begun = Instant::now();
            let Some(after) = version else {
                version = self.read_rollouts().await;
                continue;
            };
            match self
                .store
                .changes(Keyspace::Rollouts, after, ROLLOUTS_WAIT)
                .await
            {
                Ok(feed) => {
                    self.answered(feed.now);
                    for change in feed.changes {
                        if let Change::Put(row) = change {
                            self.rollout_row(&row);
                        }
                    }
                    version = Some(feed.version.max(after));
                    sleep_until(begun + ROLLOUTS_PACE).await;
                }
                Err(error) => version = self.feed_failed(&error, after).await,
            }
        }
    }

    async fn read_rollouts(&self) -> Option<u64> {
        match self.store.snapshot(Keyspace::Rollouts).await {
            Ok(snapshot) => {
                self.answered(snapshot.now);
                for row in &snapshot.rows {
                    self.rollout_row(row);
                }
                Some(snapshot.version)
            }
            Err(error) => {
                self.call_failed(&error.to_string()).await;
                None
            }
        }
    }

    async fn follow_gateways(self: Rc<Self>) {
        let mut pause = GATEWAYS_FIRST;
        loop {
            self.write_gateway().await;
            if let Err(error) = self.read_gateways().await {
                self.call_failed(&error.to_string()).await;
            }
            sleep(pause).await;
            pause = GATEWAYS_PACE;
        }
    }

    // The row says when it was written, so that those of hosts that are gone
    // can be told; before the store's clock is known there is none.
    async fn write_gateway(&self) {
        let Some(now) = self.store_now() else {
            return;
        };
        let row = GatewayRow {
            address: self.settings.peer_listen,
            written_ms: now.as_millis() as u64,
        };
        let node = &self.settings.node;
        self.tell(&platform::note(Keyspace::Gateways, node, &row))
            .await;
    }

    async fn read_gateways(&self) -> Result<(), CallError> {
        let snapshot = self.store.snapshot(Keyspace::Gateways).await?;
        self.answered(snapshot.now);
        let rows = snapshot.rows.iter().filter_map(|row| {
            serde_json::from_str::<GatewayRow>(row.value.get())
                .inspect_err(
                    |error| tracing::warn!(%error, key = %row.key, "gateway's row not readable"),
                )
                .ok()
        });
        let is_alive = |row: &GatewayRow| {
            snapshot
                .now
                .saturating_sub(Duration::from_millis(row.written_ms))
                < GATEWAY_LIFE
        };
        let peers = rows.filter(is_alive).map(|row| row.address).collect();
        self.handle(Event::GatewaysRead(peers));
        Ok(())
    }

    fn store_now(&self) -> Option<Duration> {
        let clock = *self.store_clock.borrow();
        clock.map(|(then, at)| then + at.elapsed())
    }

    fn rollout_row(&self, row: &Row) {
        let text = row.value.get();
        match serde_json::from_str::<RolloutRow>(text) {
            Ok(rollout) => self.handle(Event::RolloutRead(rollout, row.version)),
            Err(error) => tracing::warn!(%error, key = %row.key, "roll-out not readable; ignored"),
        }
    }

    async fn ticks(self: Rc<Self>) {
        loop {
            sleep(TICK).await;
            self.look_at_outcomes();
            let store_now = self.store_now();
            let effects = self.reduce(Event::Tick { store_now });
            for effect in effects {
                self.carry_out(effect).await;
            }
        }
    }

    fn look_at_outcomes(&self) {
        if !self.state.borrow().has_open_rollout() {
            return;
        }
        let evidence = self
            .shared
            .evidence
            .lock()
            .expect("no holder of the lock panics");
        let sums = evidence.iter();
        let sums = sums.map(|((service, version), seen)| (service.clone(), version.clone(), *seen));
        let sums = sums.collect();
        drop(evidence);
        self.handle(Event::OutcomesSeen(sums));
        let mut told = self
            .shared
            .told
            .lock()
            .expect("no holder of the lock panics");
        let told = std::mem::take(&mut *told);
        for (node, told) in told {
            self.handle(Event::OutcomesRead { node, told });
        }
    }

    async fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Publish => self.publish(),
            Effect::MoveRollout(row, version) => self.move_rollout(row, version).await,
        }
    }

    async fn move_rollout(&self, row: RolloutRow, version: u64) {
        match self.store.commit(&platform::status(&row, version)).await {
            Ok(()) => {
                self.shared.metrics.store_calls.inc();
                tracing::info!(service = %row.service, phase = ?row.phase, from_version = version, "roll-out moved on by this gateway");
            }
            Err(TableError::Conflict { .. }) => {
                tracing::info!(service = %row.service, phase = ?row.phase, from_version = version, "another gateway moved the roll-out on first");
            }
            Err(error) => {
                tracing::warn!(service = %row.service, phase = ?row.phase, %error, "roll-out not moved on; read again");
            }
        }
        // Also settles a lost answer.
        self.read_rollouts().await;
    }

    async fn tell(&self, writes: &Transaction) {
        self.shared.metrics.store_calls.inc();
        if let Err(error) = self.store.commit(writes).await {
            tracing::info!(%error, "own row not written; the next one replaces it");
        }
    }

    // Events outside of ticks have no effect but a newer view.
    fn handle(&self, event: Event) {
        for effect in self.reduce(event) {
            if effect == Effect::Publish {
                self.publish();
            }
        }
    }

    fn reduce(&self, event: Event) -> Vec<Effect> {
        self.state.borrow_mut().handle(event, boot_clock::now())
    }

    fn publish(&self) {
        let view = self.state.borrow().view();
        let version = view.catalog.as_ref().map_or(0, |catalog| catalog.version);
        self.shared.metrics.config_version.set(version as i64);
        self.shared
            .metrics
            .upstreams
            .set(view.upstreams.len() as i64);
        self.shared.view.store(Arc::new(view));
        self.shared.published.notify_waiters();
    }

    fn answered(&self, store_now: Duration) {
        self.shared.metrics.store_calls.inc();
        *self.store_clock.borrow_mut() = Some((store_now, Instant::now()));
        let before = self.answered_at.replace(Instant::now());
        let away = before.elapsed();
        if away > AWAY_AFTER {
            self.handle(Event::StoreReturned(away));
        }
    }

    // The version from which to go on; none where all rows must be read again.
    async fn feed_failed(&self, error: &FeedError, after: u64) -> Option<u64> {
        match error {
            FeedError::HistoryDropped => {
                tracing::info!(after, "store dropped its history; all rows are read again");
                None
            }
            FeedError::Call { source } => {
                self.call_failed(&source.to_string()).await;
                Some(after)
            }
        }
    }

    async fn call_failed(&self, error: &str) {
        self.shared.metrics.store_calls.inc();
        self.shared.metrics.store_failures.inc();
        let away = self.answered_at.borrow().elapsed();
        if self.shared.metrics.lines.take(true) {
            tracing::warn!(
                error,
                away_ms = away.as_millis() as u64,
                "store did not answer"
            );
        }
        let random: f64 = self.rng.borrow_mut().random();
        sleep(RETRY_PAUSE.mul_f64(0.5 + random)).await;
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct GatewayRow {
    address: SocketAddr,
    written_ms: u64,
}

fn usable(row: &Row) -> Option<Upstream> {
    platform::upstream(row)
        .inspect_err(
            |error| tracing::warn!(%error, "registration not usable; it names no upstream"),
        )
        .ok()
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let node: &CompactString = &self.settings.node;
        f.debug_struct("Control")
            .field("node", node)
            .finish_non_exhaustive()
    }
}
