//! Follows the rows of roll-outs and writes their next phases.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{Follower, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::{Effect, Event};
use crate::relay::readers::FollowedTable;
use crate::relay::rollout::{Phase, RolloutRow};
use crate::store::feed::Change;
use crate::store::table::{Row, TableError};

/// Longest wait of a feed call for the rows of roll-outs.
const FEED_WAIT: Duration = Duration::from_secs(2);

/// Shortest interval between two feed calls for the rows of roll-outs.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

impl Follower {
    // The rows are followed only while a roll-out is open. They are read once at
    // the start, as those of ended roll-outs say which version serves.
    pub(super) async fn follow_rollouts(self: Rc<Self>) {
        let mut version = None;
        while version.is_none() {
            version = self.read_rollouts().await;
        }
        self.handle(Event::RolloutsSynced);
        loop {
            if !self.state.borrow().has_open_rollout() {
                version = None;
                sleep(TICK_INTERVAL).await;
                continue;
            }
            let Some(after) = version else {
                version = self.read_rollouts().await;
                continue;
            };
            self.wait_to_read(Table::Rollouts, FEED_WAIT).await;
            let begun = Instant::now();
            match self
                .store
                .changes(Keyspace::Rollouts, after, FEED_WAIT)
                .await
            {
                Ok(feed) => {
                    self.record_answer(feed.now);
                    self.record_era(Table::Rollouts, feed.era, feed.version, Some(after));
                    for change in feed.changes {
                        if let Change::Put(row) = change {
                            self.apply_rollout_row(&row);
                        }
                    }
                    self.record_read(Table::Rollouts, feed.now);
                    version = Some(feed.version.max(after));
                    sleep_until(begun + READ_INTERVAL).await;
                }
                Err(error) => version = self.recover_feed(&error, after).await,
            }
        }
    }

    async fn read_rollouts(&self) -> Option<u64> {
        match self.store.snapshot(Keyspace::Rollouts).await {
            Ok(snapshot) => {
                self.record_answer(snapshot.now);
                self.record_era(Table::Rollouts, snapshot.era, snapshot.version, None);
                self.with_table(Table::Rollouts, FollowedTable::clear);
                for row in &snapshot.rows {
                    self.apply_rollout_row(row);
                }
                self.record_read(Table::Rollouts, snapshot.now);
                Some(snapshot.version)
            }
            Err(error) => {
                self.back_off(&error.to_string()).await;
                None
            }
        }
    }

    // Passes a row of the roll-out table to the reducer; an invalid one is ignored.
    fn apply_rollout_row(&self, row: &Row) {
        self.with_table(Table::Rollouts, |followed| {
            followed.insert_row(&row.key, row.version);
        });
        match serde_json::from_str::<RolloutRow>(row.value.get()) {
            Ok(rollout) => self.handle(Event::RolloutRead(rollout, row.version)),
            Err(error) => tracing::warn!(%error, key = %row.key, "roll-out row invalid; ignored"),
        }
    }

    /// Sends ticks to the reducer and carries out their effects.
    pub(super) async fn run_ticks(self: Rc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            if self.state.borrow().has_open_rollout() {
                self.handle(Event::OutcomesCounted(self.shared.outcomes()));
            }
            let settings = self.shared.settings.load_full();
            self.handle(Event::LimitsRead {
                exposure_share: settings.exposure_share,
                drain_limit: settings.drain_limit,
            });
            let store_now = self.store_now();
            for effect in self.reduce(Event::Tick { store_now }) {
                match effect {
                    Effect::Publish => self.publish(),
                    Effect::AdvanceRollout(row, version) => self.write_rollout(row, version).await,
                }
            }
        }
    }

    async fn write_rollout(&self, row: RolloutRow, version: u64) {
        self.shared.metrics.store_calls.inc();
        match self
            .store
            .commit(&platform::rollout_transaction(&row, version))
            .await
        {
            Ok(()) => {
                if row.phase == Phase::Canary {
                    self.shared.metrics.rollouts_begun.inc();
                }
                tracing::info!(service = %row.service, phase = ?row.phase, order = row.order, from_version = version, era = self.era.get(), "roll-out phase written");
            }
            Err(TableError::Conflict { .. }) => {
                tracing::info!(service = %row.service, phase = ?row.phase, from_version = version, "roll-out phase already changed by another gateway");
            }
            Err(error) => {
                tracing::warn!(service = %row.service, phase = ?row.phase, %error, "roll-out phase not written; reading the row again");
            }
        }
        // Also shows whether the write took effect if its answer was lost.
        self.read_rollouts().await;
    }
}
