//! Orders that take data centres out of service, in the control state.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use super::{Effect, State};
use crate::relay::evacuation::Evacuation;
use crate::relay::rollout::OrderId;

/// Orders in force, by data centre.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    orders: BTreeMap<CompactString, Order>,
}

#[derive(Debug)]
struct Order {
    evacuation: Evacuation,
    /// True unless the store was restored and its row was not read since.
    is_confirmed: bool,
}

impl Evacuations {
    /// Orders in force.
    pub(super) fn list(&self) -> Vec<Evacuation> {
        let orders = self.orders.values();
        orders.map(|order| order.evacuation.clone()).collect()
    }

    /// Returns true if a data centre is ordered out.
    pub(super) fn contains(&self, data_centre: &str) -> bool {
        self.orders.contains_key(data_centre)
    }

    /// Begins an era of the store: orders may be missing in the copy.
    pub(super) fn begin_era(&mut self) {
        for order in self.orders.values_mut() {
            order.is_confirmed = false;
        }
    }
}

impl State {
    // Puts an order in force. One that is in force already stays as it is, whatever its
    // version, since the load has begun to shift.
    pub(super) fn begin_evacuation(
        &mut self,
        data_centre: CompactString,
        id: OrderId,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(known) = self.evacuations.orders.get_mut(&data_centre) {
            known.is_confirmed = true;
            if id > known.evacuation.id {
                known.evacuation.id = id;
                self.publish(effects);
            }
            return;
        }
        // In a copy the order may be of any age.
        let is_dated = !self.confirmed_at.is_zero() && !self.is_recently_restored(now);
        let evacuation = Evacuation {
            data_centre: data_centre.clone(),
            id,
            read_at: now,
            ordered_after: is_dated.then_some(self.confirmed_at),
        };
        let there = |known: &&_| is_in(known, &data_centre);
        tracing::warn!(
            %data_centre,
            row_version = id.version,
            era = id.era,
            confirmed_ms = evacuation.ordered_after.map(|at| now.saturating_sub(at).as_millis() as u64),
            upstreams = self.upstreams.values().filter(there).count(),
            all_upstreams = self.upstreams.len(),
            "data centre ordered out of service"
        );
        let order = Order {
            evacuation,
            is_confirmed: true,
        };
        self.evacuations.orders.insert(data_centre, order);
        self.publish(effects);
    }

    // Ends an order whose row was removed.
    pub(super) fn end_evacuation(
        &mut self,
        data_centre: &str,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(order) = self.evacuations.orders.remove(data_centre) else {
            return;
        };
        let there = |known: &&_| is_in(known, data_centre);
        tracing::warn!(
            data_centre,
            row_version = order.evacuation.id.version,
            out_ms = now.saturating_sub(order.evacuation.read_at).as_millis() as u64,
            upstreams = self.upstreams.values().filter(there).count(),
            "data centre taken back into service"
        );
        self.publish(effects);
    }

    // Replaces the orders by those of all rows. One that a restored copy lacks stays in
    // force while operators may write it again.
    pub(super) fn sync_evacuations(
        &mut self,
        orders: Vec<(CompactString, OrderId)>,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let is_restored = self.is_recently_restored(now);
        let known = self.evacuations.orders.iter();
        let missing = known.filter(|(name, order)| {
            let is_listed = orders.iter().any(|(listed, _)| listed == *name);
            !is_listed && (order.is_confirmed || !is_restored)
        });
        let missing: Vec<CompactString> = missing.map(|(name, _)| name.clone()).collect();
        for data_centre in missing {
            self.end_evacuation(&data_centre, now, effects);
        }
        for (data_centre, id) in orders {
            self.begin_evacuation(data_centre, id, now, effects);
        }
    }

    // Ends the orders that were not written again after a restore.
    pub(super) fn expire_evacuations(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.is_recently_restored(now) {
            return;
        }
        let orders = self.evacuations.orders.iter();
        let lost = orders.filter(|(_, order)| !order.is_confirmed);
        let lost: Vec<CompactString> = lost.map(|(name, _)| name.clone()).collect();
        for data_centre in lost {
            self.end_evacuation(&data_centre, now, effects);
        }
    }
}

fn is_in(upstream: &crate::relay::view::Upstream, data_centre: &str) -> bool {
    upstream.data_centre == data_centre
}
