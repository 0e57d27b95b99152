//! Follows the registrations of upstreams.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHasher;
use tokio::time::{Instant, sleep_until};

use super::{Follower, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::{Event, Registration};
use crate::relay::view::Upstream;
use crate::store::feed::{Change, Cursor};
use crate::store::table::Row;

/// Longest wait of a feed call for registrations.
const FEED_WAIT: Duration = Duration::from_millis(600);

/// Reads of the registrations per drain limit, which is the time within which a
/// leaving upstream must get no new work. Each upstream writes its row about once
/// a second, mostly without a change, so a call for each write would bring little.
const READS_PER_DRAIN_LIMIT: f64 = 2.5;

impl Follower {
    pub(super) async fn follow_registrations(self: Rc<Self>) {
        let mut cursor = None;
        loop {
            let drain_limit = self.shared.settings.load().drain_limit;
            let interval = drain_limit.div_f64(READS_PER_DRAIN_LIMIT);
            let Some(after) = self.current(cursor) else {
                cursor = self.read_registrations().await;
                continue;
            };
            let wait = self
                .wait_to_read(
                    Table::Registrations,
                    interval.max(FEED_WAIT),
                    FEED_WAIT,
                    after,
                )
                .await;
            let begun = Instant::now();
            match self.read_changes(Table::Registrations, after, wait).await {
                Ok(feed) => {
                    cursor = Some(feed.cursor);
                    for change in feed.changes {
                        self.apply_registration_change(change);
                    }
                    self.record_read(Table::Registrations, feed.now);
                    sleep_until(begun + interval).await;
                }
                Err(next) => cursor = next,
            }
        }
    }

    async fn read_registrations(&self) -> Option<Cursor> {
        let snapshot = self.read_snapshot(Keyspace::Registrations).await?;
        let rows = snapshot.rows.iter();
        let registrations = rows.filter_map(|row| self.parse_registration(row));
        let registrations: Vec<Registration> = registrations.collect();
        self.with_table(Table::Registrations, |followed| {
            followed.clear();
            let state = self.state.borrow();
            for upstream in registrations.iter().filter_map(|row| state.resolve(row)) {
                followed.insert_row(&upstream.name, content_hash(upstream));
            }
        });
        self.record_read(Table::Registrations, snapshot.now);
        self.handle(Event::RegistrationsRead(registrations));
        Some(snapshot.cursor)
    }

    // Passes a change of a registration to the reducer.
    fn apply_registration_change(&self, change: Change) {
        let (key, registration) = match change {
            Change::Put(row) => (row.key.clone(), self.parse_registration(&row)),
            Change::Deleted(key) => (key, None),
        };
        self.with_table(Table::Registrations, |followed| {
            let state = self.state.borrow();
            match registration.as_ref().and_then(|row| state.resolve(row)) {
                Some(upstream) => followed.insert_row(&key, content_hash(upstream)),
                None => followed.remove_row(&key),
            }
        });
        self.handle(match registration {
            Some(registration) => Event::UpstreamRegistered(registration),
            None => Event::UpstreamUnregistered(key),
        });
    }

    fn parse_registration(&self, row: &Row) -> Option<Registration> {
        let parsed = platform::parse_registration(row);
        if let Err(error) = &parsed
            && self.store.record_invalid(Keyspace::Registrations, row)
        {
            tracing::warn!(%error, "registration is invalid; ignored");
        }
        parsed.ok()
    }
}

// Hash of what placement uses of a registration; the same after a heartbeat that
// changes nothing else. Gateways whose hashes differ read on, so it is taken of what a row
// stands for here: one that is ignored as the copy's by this gateway only is read again
// until all agree.
fn content_hash(upstream: &Upstream) -> u64 {
    let mut hasher = FxHasher::default();
    upstream.hash(&mut hasher);
    hasher.finish()
}
