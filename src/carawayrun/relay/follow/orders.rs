//! Follows the operators' configuration, roll-out orders and evacuations of data centres.

use std::rc::Rc;
use std::time::Duration;

use super::{Follower, Table};
use crate::platform::{self, Keyspace};
use crate::relay::control::Event;
use crate::relay::readers::FollowedTable;
use crate::relay::rollout::OrderId;
use crate::store::feed::{Change, Cursor};
use crate::store::table::Row;

/// Longest wait of a feed call for configuration and orders, which is the interval
/// at which the reader confirms them. It is a small part of the time within which
/// a configuration must be in force, as the next reader only takes over once
/// confirmations stop.
const FEED_WAIT: Duration = Duration::from_millis(600);

impl Follower {
    pub(super) async fn follow_orders(self: Rc<Self>) {
        let mut cursor = None;
        loop {
            let Some(after) = self.current(cursor) else {
                cursor = self.read_orders().await;
                continue;
            };
            let wait = self
                .wait_to_read(Table::Orders, FEED_WAIT, FEED_WAIT, after)
                .await;
            match self.read_changes(Table::Orders, after, wait).await {
                Ok(feed) => {
                    cursor = Some(feed.cursor);
                    for change in feed.changes {
                        self.apply_operator_change(change);
                    }
                    self.record_read(Table::Orders, feed.now);
                }
                Err(next) => cursor = next,
            }
        }
    }

    async fn read_orders(&self) -> Option<Cursor> {
        let snapshot = self.read_snapshot(Keyspace::Orders).await?;
        self.with_table(Table::Orders, FollowedTable::clear);
        self.order_bytes.borrow_mut().clear();
        let era = snapshot.cursor.era;
        let evacuations = snapshot.rows.iter();
        let evacuations = evacuations.filter_map(|row| {
            let data_centre = platform::evacuated_data_centre(&row.key)?;
            Some((data_centre.into(), order_id(row, era)))
        });
        self.handle(Event::EvacuationsRead(evacuations.collect()));
        // Orders come first: with a configuration alone, requests would
        // go to any version.
        let is_order = |row: &&Row| platform::parse_order(row, snapshot.cursor.era).is_some();
        let (orders, others): (Vec<&Row>, Vec<&Row>) = snapshot.rows.iter().partition(is_order);
        for row in orders.into_iter().chain(others) {
            self.apply_operator_row(row);
        }
        self.record_read(Table::Orders, snapshot.now);
        Some(snapshot.cursor)
    }

    // Passes a change of the configuration or of an order to the reducer.
    fn apply_operator_change(&self, change: Change) {
        match change {
            Change::Put(row) => self.apply_operator_row(&row),
            Change::Deleted(key) => {
                self.with_table(Table::Orders, |followed| followed.remove_row(&key));
                self.order_bytes.borrow_mut().remove(&key);
                if let Some(service) = platform::order_service(&key) {
                    self.handle(Event::OrderRemoved(service.into()));
                }
                if let Some(data_centre) = platform::evacuated_data_centre(&key) {
                    self.handle(Event::EvacuationRemoved(data_centre.into()));
                }
            }
        }
    }

    // Applies a row of the operators: the configuration or an order.
    fn apply_operator_row(&self, row: &Row) {
        self.with_table(Table::Orders, |followed| {
            followed.insert_row(&row.key, row.version);
        });
        let bytes = row.value.get().len();
        self.order_bytes
            .borrow_mut()
            .insert(row.key.clone(), base64_length(bytes));
        tracing::info!(key = %row.key, row_version = row.version, era = self.era(), bytes, "row of the operators read");
        if let Some(data_centre) = platform::evacuated_data_centre(&row.key) {
            let id = order_id(row, self.era());
            self.handle(Event::EvacuationRead(data_centre.into(), id));
        }
        match platform::parse_catalog(row) {
            Some(Ok(catalog)) => self.handle(Event::ConfigurationRead(Box::new(catalog))),
            Some(Err(error)) => {
                self.handle(Event::ConfigurationUnreadable);
                if self.store.record_invalid(Keyspace::Orders, row) {
                    tracing::error!(%error, row_version = row.version, "configuration can't be read; the previous one is not confirmed, and API keys are refused after the revocation limit");
                }
            }
            None => {}
        }
        match platform::parse_order(row, self.era()) {
            Some(Ok(order)) => self.handle(Event::OrderRead(order)),
            Some(Err(error)) if self.store.record_invalid(Keyspace::Orders, row) => {
                tracing::error!(%error, key = %row.key, "roll-out order is invalid; ignored");
            }
            Some(Err(_)) | None => {}
        }
    }
}

// Identifies the order of a row that was read in `era`.
fn order_id(row: &Row, era: u64) -> OrderId {
    OrderId {
        era,
        version: row.version,
    }
}

// Length of a value in an answer of the store.
fn base64_length(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}
