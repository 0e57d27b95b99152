//! Exchange of report addresses between gateways, by rows of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Follower;
use crate::platform::{self, Keyspace};
use crate::relay::control::Event;
use crate::store::feed::Snapshot;

/// Interval between two reads. Gateways that receive each other's reports learn
/// the addresses from these, so the rows matter only where no report arrives.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// Time until the second read: when all gateways start at once, the first read
/// comes before the others have written their rows.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Age at which a gateway's row is ignored.
const ROW_LIFETIME: Duration = Duration::from_secs(90);

/// Row that a gateway writes about itself.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct GatewayRow {
    address: SocketAddr,
    /// Time of the write on the store's clock, in milliseconds. An old one marks
    /// the row of a host that no longer exists.
    written_ms: u64,
}

impl Follower {
    // Polls the addresses of the other gateways and writes the own one after each
    // read.
    pub(super) async fn sync_gateways(self: Rc<Self>) {
        self.handle(Event::AddressSet(self.settings.peer_listen));
        let mut interval = FIRST_READ_INTERVAL;
        loop {
            let Some(snapshot) = self.read_snapshot(Keyspace::Gateways).await else {
                continue;
            };
            self.apply_gateways(&snapshot);
            self.write_gateway().await;
            sleep(interval).await;
            interval = READ_INTERVAL;
        }
    }

    async fn write_gateway(&self) {
        let Some(now) = self.store_now() else {
            return;
        };
        let row = GatewayRow {
            address: self.settings.peer_listen,
            written_ms: now.as_millis() as u64,
        };
        let node = &self.settings.node;
        let writes = platform::put_transaction(Keyspace::Gateways, node, &row);
        self.shared.metrics.store_calls.inc();
        if let Err(error) = self.store.commit(&writes).await {
            tracing::info!(%error, "own report address not written; retried at the next read");
        }
    }

    // Passes the addresses of the gateways that are alive to the reducer.
    fn apply_gateways(&self, snapshot: &Snapshot) {
        let is_alive = |row: &GatewayRow| {
            let written = Duration::from_millis(row.written_ms);
            snapshot.now.saturating_sub(written) < ROW_LIFETIME
        };
        let rows = snapshot.rows.iter().filter_map(|row| {
            let parsed = serde_json::from_str::<GatewayRow>(row.value.get());
            if let Err(error) = &parsed
                && self.store.record_invalid(Keyspace::Gateways, row)
            {
                tracing::warn!(%error, key = %row.key, "gateway row invalid; ignored");
            }
            parsed.ok()
        });
        let peers = rows.filter(is_alive).map(|row| row.address).collect();
        self.handle(Event::GatewaysRead(peers));
    }
}
