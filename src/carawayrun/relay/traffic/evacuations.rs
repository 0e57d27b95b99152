//! What operators are shown of data centres that are out of service.

use std::time::Duration;

use super::Traffic;
use crate::relay::boot_clock;
use crate::relay::evacuation::{EvacuatedDataCentre, Evacuation};
use crate::relay::follow::ORDERS_TABLE;
use crate::relay::view::View;

impl Traffic {
    /// Data centres that are ordered out of service, as this gateway knows them.
    pub(in crate::relay) fn evacuated_data_centres(&self) -> Vec<EvacuatedDataCentre> {
        let view = self.view();
        let now = boot_clock::now();
        let limit = self.settings().evacuation_limit;
        let (gateways, known_gateways) = self.count_same_orders(&view);
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let describe = |order: &Evacuation| {
            let (upstreams, running) =
                self.fleet(&view, |fleet, _| fleet.load_at(&order.data_centre));
            EvacuatedDataCentre {
                data_centre: order.data_centre.clone(),
                row_version: order.id.version,
                era: order.id.era,
                since_ms: age_ms(order.read_at),
                confirmed_ms: age_ms(view.confirmed_at),
                share: limit.map_or(1.0, |limit| order.share(limit, now)),
                gateways,
                known_gateways,
                upstreams,
                running,
            }
        };
        view.evacuations.iter().map(describe).collect()
    }

    // Gateways that hold the same orders as this one, and all that it hears of.
    fn count_same_orders(&self, view: &View) -> (u32, u32) {
        let own = view.reads.iter().find(|(table, _)| *table == ORDERS_TABLE);
        let own = own.map(|(_, read)| (read.era, read.digest));
        let fleet = self.fleet.borrow();
        let last_updates = self.last_updates.borrow();
        let is_same = |name: &&_| {
            let update = last_updates.get(*name);
            let reads = update.into_iter().flat_map(|update| &update.reads);
            let mut orders = reads.filter(|read| read.table == ORDERS_TABLE);
            orders.any(|read| Some((read.era, read.digest)) == own)
        };
        let same = fleet.peer_loads.gateways().filter(is_same).count() as u32;
        (same + 1, fleet.peer_loads.gateway_count() as u32 + 1)
    }
}
