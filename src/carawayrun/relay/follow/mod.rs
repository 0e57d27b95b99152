//! The control thread: follows the store's tables and passes what it reads to the
//! reducer.

mod gateways;
mod orders;
mod registrations;
mod rollouts;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::RelaySettings;
use super::boot_clock;
use super::control::{Effect, Event, State};
use super::outage::{Gap, OutageDetector};
use super::readers::{Confirmation, FollowedTable, ReadDecision};
use super::stalls;
use super::store_clock::StoreClock;
use super::traffic::{PeerUpdate, SharedState};
use crate::platform::{Keyspace, StoreClient};
use crate::store::feed::{Changes, Cursor, FeedError, Snapshot};

/// Time beyond the reader's usual interval for which a confirmation is valid: the
/// delay of its call and of the reports.
const CONFIRMATION_SLACK: Duration = Duration::from_millis(350);

/// Mean pause after a failed call, per live gateway. All gateways together so call
/// the store equally often, however many there are, and the first one that gets
/// an answer reports it to the others. The pause varies by half, as all gateways
/// notice an outage at once.
const RETRY_PAUSE_PER_GATEWAY: Duration = Duration::from_millis(120);

/// Longest feed of the orders, beyond one and a half times what all rows take: one that
/// holds several versions of a large configuration is not read, but the newest one alone.
const FEED_SLACK_BYTES: usize = 256 * 1024;

/// Bounds of the mean pause after a failed call; the actual one is 0.5 to 1.5 times
/// as long. The upper bound limits how late the end of a store outage is noticed.
const RETRY_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(1_500));

/// Error of a call whose answer the store gave before a restore.
const OUTDATED_ANSWER: &str = "answer from before the restore of the store";

/// A table that the gateways follow together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Table {
    Orders,
    Registrations,
    Rollouts,
}

impl Table {
    /// Tables by their numbers in reports.
    const ALL: [Self; 3] = [Self::Orders, Self::Registrations, Self::Rollouts];

    fn keyspace(self) -> Keyspace {
        match self {
            Self::Orders => Keyspace::Orders,
            Self::Registrations => Keyspace::Registrations,
            Self::Rollouts => Keyspace::Rollouts,
        }
    }
}

/// Number of the table of the configuration and the orders in reports.
pub(super) const ORDERS_TABLE: u32 = Table::Orders as u32;

/// State of the control thread, shared by its tasks.
struct Follower {
    settings: Arc<RelaySettings>,
    store: StoreClient,
    state: RefCell<State>,
    shared: SharedState,
    store_clock: RefCell<StoreClock>,
    tables: RefCell<[FollowedTable; Table::ALL.len()]>,
    /// Notified when updates of the other gateways were recorded.
    updates_recorded: Notify,
    /// Services whose roll-out's row is being written.
    writes: RefCell<FxHashSet<CompactString>>,
    /// Era of the last read, if any.
    era: Cell<Option<u64>>,
    /// Lengths of the rows of the orders in the store's answers, in bytes.
    order_bytes: RefCell<FxHashMap<CompactString, usize>>,
    /// Time of the store's last answer to this gateway, on the boot clock.
    answered_at: Cell<Duration>,
    outages: RefCell<OutageDetector>,
    /// Time for which other gateways have held newer orders; `None` if none does.
    lag: Cell<Option<Duration>>,
    rng: RefCell<SmallRng>,
}

/// Follows the store until the process ends.
pub(super) async fn run(shared: SharedState) {
    let settings = shared.settings.load_full();
    actix_rt::spawn(stalls::watch(Arc::clone(&shared.stalls)));
    let follower = Rc::new(Follower {
        store: StoreClient::new(settings.store, shared.metrics.store_reads.clone()),
        state: RefCell::new(State::new(
            &settings.node,
            settings.exposure_share,
            settings.drain_limit,
        )),
        settings,
        shared,
        store_clock: RefCell::default(),
        tables: RefCell::default(),
        updates_recorded: Notify::new(),
        writes: RefCell::default(),
        era: Cell::default(),
        order_bytes: RefCell::default(),
        answered_at: Cell::default(),
        outages: RefCell::default(),
        lag: Cell::default(),
        rng: RefCell::new(SmallRng::from_os_rng()),
    });
    actix_rt::spawn(Rc::clone(&follower).receive_updates());
    actix_rt::spawn(Rc::clone(&follower).follow_orders());
    actix_rt::spawn(Rc::clone(&follower).follow_registrations());
    actix_rt::spawn(Rc::clone(&follower).follow_rollouts());
    actix_rt::spawn(Rc::clone(&follower).sync_gateways());
    follower.run_ticks().await;
}

impl Follower {
    // Records the updates that other gateways send.
    async fn receive_updates(self: Rc<Self>) {
        loop {
            self.shared.peer_updated.notified().await;
            for (node, update) in self.shared.take_peer_updates() {
                self.record_update(&node, update);
            }
            self.updates_recorded.notify_waiters();
        }
    }

    // Takes over another gateway's outcomes and confirmations.
    fn record_update(&self, node: &str, update: PeerUpdate) {
        for outcomes in update.outcomes {
            let node = node.into();
            self.handle(Event::OutcomesReceived { node, outcomes });
        }
        for read in update.reads {
            let Some(table) = Table::ALL.get(read.table as usize) else {
                continue;
            };
            let confirmation = Confirmation {
                era: read.era,
                at: Duration::from_millis(read.at_ms),
                digest: read.digest,
            };
            self.with_table(*table, |followed| followed.record_peer(node, confirmation));
            self.confirm_table(*table);
        }
    }

    // Waits until this gateway has to read the changes of a table after `cursor`
    // itself. Returns the time for which that read may wait for a change, at most
    // `feed_wait`.
    async fn wait_to_read(
        &self,
        table: Table,
        interval: Duration,
        feed_wait: Duration,
        cursor: Cursor,
    ) -> Duration {
        let ttl = interval + CONFIRMATION_SLACK;
        while self.current(Some(cursor)).is_some() {
            let updated = self.updates_recorded.notified();
            let Some(now) = self.store_now() else {
                break;
            };
            let node = self.settings.node.as_str();
            let decision = self.with_table(table, |followed| followed.decide_read(node, now, ttl));
            let ReadDecision::Wait(wait) = decision else {
                let is_behind = self.with_table(table, |followed| followed.is_behind(now, ttl));
                return if is_behind { Duration::ZERO } else { feed_wait };
            };
            // The reader is determined anew after an update and after a timeout.
            let _ = timeout(wait, updated).await;
        }
        Duration::ZERO
    }

    // Calls `f` with the state of a followed table.
    fn with_table<T>(&self, table: Table, f: impl FnOnce(&mut FollowedTable) -> T) -> T {
        f(&mut self.tables.borrow_mut()[table as usize])
    }

    // Records that this gateway read a table as of the store's time `at`.
    fn record_read(&self, table: Table, at: Duration) {
        let era = self.era();
        let own = self.with_table(table, |followed| {
            followed.record_read(era, at);
            followed.own_confirmation()
        });
        if let Some(own) = own {
            self.handle(Event::TableRead(table as u32, own));
        }
        self.confirm_table(table);
    }

    // Publishes whether other gateways hold newer orders, and for how long they have.
    fn update_lag(&self) {
        let now = self.store_now().unwrap_or_default();
        let lag = self.with_table(Table::Orders, |followed| followed.lag(now));
        let before = self.lag.replace(lag);
        let as_ms = |lag: Duration| lag.as_millis() as u64;
        match (before, lag) {
            (None, Some(_)) => {
                tracing::info!("other gateways hold a newer configuration or newer orders");
            }
            (Some(before), None) => {
                tracing::info!(
                    behind_ms = as_ms(before),
                    "configuration and orders caught up"
                );
            }
            _ => {}
        }
        if before.is_some() != lag.is_some() {
            self.handle(Event::BehindChanged(lag.is_some()));
        }
        let seconds = lag.unwrap_or_default().as_secs_f64();
        self.shared.metrics.config_lag.set(seconds);
    }

    // Passes to the reducer the time as of which a table is known.
    fn confirm_table(&self, table: Table) {
        if table == Table::Orders {
            self.update_lag();
        }
        let era = self.era();
        let at = self.with_table(table, |followed| followed.confirmed_at(era));
        let Some(at) = at.and_then(|at| self.store_clock.borrow().boot_time(at)) else {
            return;
        };
        match table {
            Table::Orders => self.handle(Event::ConfigurationConfirmed(at)),
            Table::Registrations => {
                let gap = self.outages.borrow_mut().record_confirmed(at);
                match gap {
                    Some(Gap::Outage(outage)) => self.handle(Event::StoreRecovered(outage)),
                    Some(Gap::Silence(silence)) => tracing::warn!(
                        silent_ms = silence.as_millis() as u64,
                        "registrations were not confirmed, though no call to the store failed"
                    ),
                    None => {}
                }
            }
            Table::Rollouts => {}
        }
    }

    fn store_now(&self) -> Option<Duration> {
        self.store_clock.borrow().now(boot_clock::now())
    }

    // Handles an event other than a tick; its only effect is a newer view.
    fn handle(&self, event: Event) {
        for effect in self.reduce(event) {
            if effect == Effect::Publish {
                self.publish();
            }
        }
    }

    // Passes an event to the reducer and returns its effects.
    fn reduce(&self, event: Event) -> Vec<Effect> {
        let mut state = self.state.borrow_mut();
        let effects = state.handle(event, boot_clock::now());
        let cold = state.cold_count() as i64;
        self.shared.metrics.cold_upstreams.set(cold);
        let is_unreadable = state.is_configuration_unreadable();
        self.shared
            .metrics
            .unreadable_config
            .set(is_unreadable.into());
        effects
    }

    // Publishes the reducer's view to the traffic thread and updates its metrics.
    fn publish(&self) {
        let view = self.state.borrow().view();
        let metrics = &self.shared.metrics;
        let version = view.catalog.as_ref().map_or(0, |catalog| catalog.version);
        metrics.config_version.set(version as i64);
        let faults = view.catalog.as_ref().map(|catalog| catalog.faults.len());
        metrics.config_faults.set(faults.unwrap_or_default() as i64);
        metrics.upstreams.set(view.upstreams.len() as i64);
        metrics
            .evacuated_data_centres
            .set(view.evacuations.len() as i64);
        self.shared.view.store(Arc::new(view));
        self.shared.view_published.notify_waiters();
    }

    // Era of the store as far as it is known.
    fn era(&self) -> u64 {
        self.era.get().unwrap_or_default()
    }

    // Returns the cursor unless the store was restored since.
    fn current(&self, cursor: Option<Cursor>) -> Option<Cursor> {
        cursor.filter(|cursor| cursor.era == self.era())
    }

    // Counts an answer up to `cursor` that the store gave at its time `store_now`, and
    // updates the estimate of its clock. Returns false if the answer is from before a
    // restore that is already known.
    fn accept_answer(&self, cursor: Cursor, store_now: Duration) -> bool {
        let Cursor { era, version } = cursor;
        self.shared.metrics.store_calls.inc();
        self.answered_at.set(boot_clock::now());
        let before = self.era.get();
        if before.is_some_and(|before| era < before) {
            tracing::warn!(
                era,
                before,
                "answer of the store is from before its restore"
            );
            return false;
        }
        let restored = before.filter(|before| *before < era);
        self.era.set(Some(era));
        self.shared.metrics.store_era.set(era as i64);
        let mut clock = self.store_clock.borrow_mut();
        if restored.is_some() {
            *clock = StoreClock::default();
        }
        clock.observe(store_now, boot_clock::now());
        drop(clock);
        if let Some(before) = restored {
            tracing::warn!(
                era,
                before,
                "era of the store changed: it was restored from a copy; reading all rows again"
            );
            self.handle(Event::StoreRestored(version));
            self.updates_recorded.notify_waiters();
        }
        true
    }

    // Reads all rows of a keyspace; pauses and returns `None` if the call failed.
    async fn read_snapshot(&self, keyspace: Keyspace) -> Option<Snapshot> {
        let begun = boot_clock::now();
        let error = match self.store.snapshot(keyspace).await {
            Ok(snapshot) if self.accept_answer(snapshot.cursor, snapshot.now) => {
                return Some(snapshot);
            }
            Ok(_) => OUTDATED_ANSWER.to_owned(),
            Err(error) => error.to_string(),
        };
        self.back_off(keyspace, begun, &error).await;
        None
    }

    // Reads the changes of a table after `after`, waiting for one at most `wait`.
    // Returns as error the cursor from which to continue; `None` if all rows must be
    // read again.
    async fn read_changes(
        &self,
        table: Table,
        after: Cursor,
        wait: Duration,
    ) -> Result<Changes, Option<Cursor>> {
        let begun = boot_clock::now();
        let limit = self.feed_limit(table);
        let changes = self
            .store
            .changes(table.keyspace(), after.version, wait, limit);
        match changes.await {
            Ok(feed) if self.continues(table, after, &feed) => Ok(feed),
            Ok(_) => Err(None),
            Err(FeedError::HistoryDropped) => {
                tracing::info!(
                    ?after,
                    "store dropped its change history; reading all rows again"
                );
                Err(None)
            }
            Err(FeedError::TooLong) => {
                tracing::info!(
                    ?table,
                    ?after,
                    limit,
                    "changes are longer than the rows; reading all rows again"
                );
                Err(None)
            }
            Err(FeedError::Call { source }) => {
                let error = source.to_string();
                self.back_off(table.keyspace(), begun, &error).await;
                Err(Some(after))
            }
        }
    }

    // Longest feed of a table that is read.
    fn feed_limit(&self, table: Table) -> usize {
        match table {
            Table::Orders => {
                let rows: usize = self.order_bytes.borrow().values().sum();
                rows + rows / 2 + FEED_SLACK_BYTES
            }
            Table::Registrations | Table::Rollouts => usize::MAX,
        }
    }

    // Accepts the answer of a feed call and returns true if its changes follow
    // those up to `after`. Otherwise all rows must be read again.
    fn continues(&self, table: Table, after: Cursor, feed: &Changes) -> bool {
        let Cursor { era, version } = feed.cursor;
        if !self.accept_answer(feed.cursor, feed.now) {
            return false;
        }
        let continues = era == after.era && version >= after.version;
        if !continues {
            tracing::warn!(
                ?table,
                ?after,
                era,
                version,
                "changes do not continue from the cursor"
            );
        }
        continues
    }

    // Counts and logs a failed read of `keyspace`, then pauses until the next call may
    // be made.
    async fn back_off(&self, keyspace: Keyspace, begun: Duration, error: &str) {
        self.shared.metrics.store_calls.inc();
        self.shared.metrics.store_failures.inc();
        let now = boot_clock::now();
        self.outages.borrow_mut().record_failure(now);
        let registrations_at = self.outages.borrow().confirmed_at();
        let age_ms = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        if self.shared.metrics.log_limiter.take_line(true) {
            tracing::warn!(
                error,
                ?keyspace,
                took_ms = age_ms(begun),
                answered_ms = age_ms(self.answered_at.get()),
                registrations_age_ms = age_ms(registrations_at.unwrap_or_default()),
                "store call failed"
            );
        }
        let gateways = self.shared.gateways.load(Ordering::Relaxed) + 1;
        let pause =
            (RETRY_PAUSE_PER_GATEWAY * gateways).clamp(RETRY_PAUSE_BOUNDS.0, RETRY_PAUSE_BOUNDS.1);
        let random: f64 = self.rng.borrow_mut().random();
        sleep(pause.mul_f64(0.5 + random)).await;
    }
}
