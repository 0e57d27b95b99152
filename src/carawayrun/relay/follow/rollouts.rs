//! Follows the rows of roll-outs and writes their next phases.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{Follower, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::{Effect, Event};
use crate::relay::readers::FollowedTable;
use crate::relay::rollout::{Phase, RolloutRow};
use crate::store::feed::{Change, Cursor};
use crate::store::table::{Row, TableError};

/// Longest wait of a feed call for the rows of roll-outs.
const FEED_WAIT: Duration = Duration::from_secs(2);

/// Shortest interval between two feed calls for the rows of roll-outs.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

impl Follower {
    // The rows are followed only while a roll-out is open or its row must be
    // written again. They are read once at the start and after each restore of the
    // store, as those of ended roll-outs say which version serves.
    pub(super) async fn follow_rollouts(self: Rc<Self>) {
        let mut cursor = None;
        while cursor.is_none() {
            cursor = self.read_rollouts().await;
        }
        loop {
            if !self.state.borrow().needs_rollout_rows() {
                cursor = None;
                sleep(TICK_INTERVAL).await;
                continue;
            }
            let Some(after) = self.current(cursor) else {
                cursor = self.read_rollouts().await;
                continue;
            };
            let wait = self
                .wait_to_read(Table::Rollouts, FEED_WAIT, FEED_WAIT, after)
                .await;
            let begun = Instant::now();
            match self.read_changes(Table::Rollouts, after, wait).await {
                Ok(feed) => {
                    cursor = Some(feed.cursor);
                    for change in feed.changes {
                        if let Change::Put(row) = change {
                            self.apply_rollout_row(&row);
                        }
                    }
                    self.record_read(Table::Rollouts, feed.now);
                    sleep_until(begun + READ_INTERVAL).await;
                }
                Err(next) => cursor = next,
            }
        }
    }

    async fn read_rollouts(&self) -> Option<Cursor> {
        let snapshot = self.read_snapshot(Keyspace::Rollouts).await?;
        self.with_table(Table::Rollouts, FollowedTable::clear);
        for row in &snapshot.rows {
            self.apply_rollout_row(row);
        }
        self.record_read(Table::Rollouts, snapshot.now);
        self.handle(Event::RolloutsSynced);
        Some(snapshot.cursor)
    }

    // Passes a row of the roll-out table to the reducer; an invalid one is ignored.
    fn apply_rollout_row(&self, row: &Row) {
        self.with_table(Table::Rollouts, |followed| {
            followed.insert_row(&row.key, row.version);
        });
        match serde_json::from_str::<RolloutRow>(row.value.get()) {
            Ok(rollout) => self.handle(Event::RolloutRead(rollout, row.version)),
            Err(error) if self.store.record_invalid(Keyspace::Rollouts, row) => {
                tracing::warn!(%error, key = %row.key, "roll-out row invalid; ignored");
            }
            Err(_) => {}
        }
    }

    /// Sends ticks to the reducer and carries out their effects. Writes do not hold
    /// up the next tick.
    pub(super) async fn run_ticks(self: Rc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.update_lag();
            if self.state.borrow().has_open_rollout() {
                self.handle(Event::TalliesCounted(self.shared.tallies()));
                self.handle(Event::OutcomesCounted(self.shared.outcomes()));
            }
            let settings = self.shared.settings.load_full();
            self.handle(Event::LimitsRead {
                exposure_share: settings.exposure_share,
                exposure_slack: settings.exposure_slack,
                drain_limit: settings.drain_limit,
            });
            let store_now = self.store_now();
            for effect in self.reduce(Event::Tick { store_now }) {
                match effect {
                    Effect::Publish => self.publish(),
                    Effect::AdvanceRollout(row, version) => self.begin_write(row, version),
                }
            }
        }
    }

    // Writes a row, unless a write of the same service is under way: a row that is
    // still due is due again at the next tick.
    fn begin_write(self: &Rc<Self>, row: RolloutRow, version: u64) {
        if !self.writes.borrow_mut().insert(row.service.clone()) {
            return;
        }
        let follower = Rc::clone(self);
        actix_rt::spawn(async move {
            follower.write_rollout(&row, version).await;
            follower.writes.borrow_mut().remove(&row.service);
        });
    }

    async fn write_rollout(&self, row: &RolloutRow, version: u64) {
        self.shared.metrics.store_calls.inc();
        match self
            .store
            .commit(&platform::rollout_transaction(row, version))
            .await
        {
            Ok(()) => {
                if row.phase == Phase::Canary {
                    self.shared.metrics.rollouts_begun.inc();
                }
                tracing::info!(service = %row.service, phase = ?row.phase, order = row.order, from_version = version, era = self.era(), "roll-out phase written");
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
