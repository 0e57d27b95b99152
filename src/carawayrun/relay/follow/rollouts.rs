//! Rows of roll-outs, and moving them on.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{Control, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::{Effect, Event};
use crate::relay::readers::Followed;
use crate::relay::rollout::RolloutRow;
use crate::store::feed::Change;
use crate::store::table::{Row, TableError};

/// Longest wait of a feed for the rows of roll-outs.
const WAIT: Duration = Duration::from_secs(2);

/// Shortest time between two calls for them.
const PACE: Duration = Duration::from_millis(500);

/// How often the reducer sees the time.
const TICK: Duration = Duration::from_millis(200);

impl Control {
    // Rows of roll-outs matter only while the outcome of one is open; those
    // that are over tell a process that starts which version serves.
    pub(super) async fn follow_rollouts(self: Rc<Self>) {
        let mut version = None;
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
            let Some(after) = version else {
                version = self.read_rollouts().await;
                continue;
            };
            self.turn(Table::Rollouts, WAIT).await;
            let begun = Instant::now();
            match self.store.changes(Keyspace::Rollouts, after, WAIT).await {
                Ok(feed) => {
                    self.answered(feed.now);
                    for change in feed.changes {
                        if let Change::Put(row) = change {
                            self.rollout_row(&row);
                        }
                    }
                    self.table_read(Table::Rollouts, feed.now);
                    version = Some(feed.version.max(after));
                    sleep_until(begun + PACE).await;
                }
                Err(error) => version = self.feed_failed(&error, after).await,
            }
        }
    }

    async fn read_rollouts(&self) -> Option<u64> {
        match self.store.snapshot(Keyspace::Rollouts).await {
            Ok(snapshot) => {
                self.answered(snapshot.now);
                self.table(Table::Rollouts, Followed::clear);
                for row in &snapshot.rows {
                    self.rollout_row(row);
                }
                self.table_read(Table::Rollouts, snapshot.now);
                Some(snapshot.version)
            }
            Err(error) => {
                self.call_failed(&error.to_string()).await;
                None
            }
        }
    }

    fn rollout_row(&self, row: &Row) {
        self.table(Table::Rollouts, |followed| {
            followed.put(&row.key, row.version);
        });
        match serde_json::from_str::<RolloutRow>(row.value.get()) {
            Ok(rollout) => self.handle(Event::RolloutRead(rollout, row.version)),
            Err(error) => tracing::warn!(%error, key = %row.key, "roll-out not readable; ignored"),
        }
    }

    /// Shows the reducer the time, and carries out what is due.
    pub(super) async fn ticks(self: Rc<Self>) {
        loop {
            sleep(TICK).await;
            if self.state.borrow().has_open_rollout() {
                self.handle(Event::OutcomesSeen(self.shared.outcomes()));
            }
            let settings = self.shared.settings.load_full();
            self.handle(Event::Bounded {
                exposure_share: settings.exposure_share,
                drain_limit: settings.drain_limit,
            });
            let store_now = self.store_now();
            for effect in self.reduce(Event::Tick { store_now }) {
                match effect {
                    Effect::Publish => self.publish(),
                    Effect::MoveRollout(row, version) => self.move_rollout(row, version).await,
                }
            }
        }
    }

    async fn move_rollout(&self, row: RolloutRow, version: u64) {
        self.shared.metrics.store_calls.inc();
        match self.store.commit(&platform::status(&row, version)).await {
            Ok(()) => {
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
}
