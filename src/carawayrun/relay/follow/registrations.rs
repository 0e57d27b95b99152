//! Registrations of upstreams.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHasher;
use tokio::time::{Instant, sleep_until};

use super::{Control, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::Event;
use crate::relay::view::Upstream;
use crate::store::feed::Change;
use crate::store::table::Row;

/// Longest wait of a feed for registrations.
const WAIT: Duration = Duration::from_millis(600);

/// Readings in the time in which a leaving upstream must be left alone. Each
/// upstream writes once a second or so, and most of that changes nothing, so
/// a call for each write would bring little.
const READS_PER_DRAIN: f64 = 2.5;

impl Control {
    pub(super) async fn follow_registrations(self: Rc<Self>) {
        let mut version = None;
        loop {
            let drain_limit = self.shared.settings.load().drain_limit;
            let pace = drain_limit.div_f64(READS_PER_DRAIN);
            let Some(after) = version else {
                version = self.read_registrations().await;
                continue;
            };
            self.turn(Table::Registrations, pace.max(WAIT)).await;
            let begun = Instant::now();
            let changes = self.store.changes(Keyspace::Registrations, after, WAIT);
            match changes.await {
                Ok(feed) => {
                    self.answered(feed.now);
                    for change in feed.changes {
                        self.registration_changed(change);
                    }
                    self.table_read(Table::Registrations, feed.now);
                    version = Some(feed.version.max(after));
                    sleep_until(begun + pace).await;
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
                let upstreams: Vec<Upstream> = upstreams.collect();
                self.table(Table::Registrations, |followed| {
                    followed.clear();
                    for upstream in &upstreams {
                        followed.put(&upstream.name, content(upstream));
                    }
                });
                self.table_read(Table::Registrations, snapshot.now);
                self.handle(Event::RegistrationsRead(upstreams));
                Some(snapshot.version)
            }
            Err(error) => {
                self.call_failed(&error.to_string()).await;
                None
            }
        }
    }

    fn registration_changed(&self, change: Change) {
        let (key, upstream) = match change {
            Change::Put(row) => (row.key.clone(), usable(&row)),
            Change::Deleted(key) => (key, None),
        };
        self.table(Table::Registrations, |followed| match &upstream {
            Some(upstream) => followed.put(&key, content(upstream)),
            None => followed.remove(&key),
        });
        self.handle(match upstream {
            Some(upstream) => Event::Registered(upstream),
            None => Event::Unregistered(key),
        });
    }
}

// What of a registration matters to placement: not that it was written again.
fn content(upstream: &Upstream) -> u64 {
    let mut hasher = FxHasher::default();
    upstream.hash(&mut hasher);
    hasher.finish()
}

fn usable(row: &Row) -> Option<Upstream> {
    let upstream = platform::upstream(row);
    upstream
        .inspect_err(|error| tracing::warn!(%error, "registration names no upstream to use"))
        .ok()
}
