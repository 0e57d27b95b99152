//! Where the other gateways take reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Follower;
use crate::platform::{self, Keyspace};
use crate::relay::control::Event;
use crate::store::CallError;

/// Time between two readings. Gateways that know of each other need none.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// Time until the second reading: at a common start the first one comes before
/// the others have written their row.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Age at which a gateway's row counts no more.
const ROW_LIFETIME: Duration = Duration::from_secs(90);

/// A gateway's row.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct GatewayRow {
    address: SocketAddr,
    /// On the store's clock, so that rows of hosts that are gone can be told.
    written_ms: u64,
}

impl Follower {
    pub(super) async fn follow_gateways(self: Rc<Self>) {
        let mut interval = FIRST_READ_INTERVAL;
        loop {
            if let Err(error) = self.read_gateways().await {
                self.handle_call_error(&error.to_string()).await;
                continue;
            }
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
            tracing::info!(%error, "own address not written; it is written again soon");
        }
    }

    async fn read_gateways(&self) -> Result<(), CallError> {
        let snapshot = self.store.snapshot(Keyspace::Gateways).await?;
        self.record_answer(snapshot.now);
        let is_alive = |row: &GatewayRow| {
            let written = Duration::from_millis(row.written_ms);
            snapshot.now.saturating_sub(written) < ROW_LIFETIME
        };
        let rows = snapshot.rows.iter().filter_map(|row| {
            serde_json::from_str::<GatewayRow>(row.value.get())
                .inspect_err(
                    |error| tracing::warn!(%error, key = %row.key, "gateway's row not readable"),
                )
                .ok()
        });
        let peers = rows.filter(is_alive).map(|row| row.address).collect();
        self.handle(Event::GatewaysRead(peers));
        Ok(())
    }
}
