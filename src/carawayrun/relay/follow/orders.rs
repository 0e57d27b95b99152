//! What operators declare and order.

use std::rc::Rc;
use std::time::Duration;

use super::{Control, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::Event;
use crate::relay::readers::Followed;
use crate::store::feed::Change;
use crate::store::table::Row;

/// Longest wait of a feed for what operators declare: how often the reader
/// confirms it. A small part of the time in which a configuration must be in
/// force, as the next reader only takes over once confirmations stop.
const WAIT: Duration = Duration::from_millis(600);

impl Control {
    pub(super) async fn follow_orders(self: Rc<Self>) {
        let mut version = None;
        loop {
            let Some(after) = version else {
                version = self.read_orders().await;
                continue;
            };
            self.turn(Table::Orders, WAIT).await;
            match self.store.changes(Keyspace::Orders, after, WAIT).await {
                Ok(feed) => {
                    self.answered(feed.now);
                    for change in feed.changes {
                        self.order_changed(change);
                    }
                    self.table_read(Table::Orders, feed.now);
                    version = Some(feed.version.max(after));
                }
                Err(error) => version = self.feed_failed(&error, after).await,
            }
        }
    }

    async fn read_orders(&self) -> Option<u64> {
        match self.store.snapshot(Keyspace::Orders).await {
            Ok(snapshot) => {
                self.answered(snapshot.now);
                self.table(Table::Orders, Followed::clear);
                // A configuration alone would let requests go to any version.
                let is_order = |row: &&Row| platform::order(row).is_some();
                let (orders, others): (Vec<&Row>, Vec<&Row>) =
                    snapshot.rows.iter().partition(is_order);
                for row in orders.into_iter().chain(others) {
                    self.order_row(row);
                }
                self.table_read(Table::Orders, snapshot.now);
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
                self.table(Table::Orders, |followed| followed.remove(&key));
                if let Some(service) = platform::ordered_service(&key) {
                    self.handle(Event::OrderDropped(service.into()));
                }
            }
        }
    }

    fn order_row(&self, row: &Row) {
        self.table(Table::Orders, |followed| {
            followed.put(&row.key, row.version);
        });
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
}
