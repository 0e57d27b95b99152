//! Upstreams in data centres that operators order out of service.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::rngs::SmallRng;

use super::Fleet;
use crate::relay::evacuation::Evacuation;
use crate::relay::view::UpstreamKey;

impl Fleet {
    /// Updates the shares of the data centres that are ordered out; `limit` is the time
    /// after an order from which it must be obeyed, `now` is on the boot clock.
    pub(in crate::relay) fn update_evacuations(
        &mut self,
        evacuations: &[Evacuation],
        limit: Option<Duration>,
        now: Duration,
    ) {
        self.evacuated.clear();
        if let Some(limit) = limit {
            let shares = evacuations.iter();
            let shares = shares.map(|order| (order.data_centre.clone(), order.share(limit, now)));
            self.evacuated.extend(shares);
        }
    }

    /// Returns all data centres to service.
    pub(in crate::relay) fn end_evacuations(&mut self) {
        self.evacuated.clear();
    }

    // Share of its usual requests that an upstream's data centre gets, if it is ordered out.
    pub(super) fn evacuation_share(&self, key: UpstreamKey) -> Option<f64> {
        let upstream = self.upstreams.get(key)?;
        let mut shares = self.evacuated.iter();
        let known = shares.find(|(data_centre, _)| *data_centre == upstream.data_centre);
        known.map(|(_, share)| *share)
    }

    /// Returns true if nothing may be sent to an upstream, whose data centre is ordered out.
    pub(in crate::relay) fn is_evacuated(&self, key: UpstreamKey) -> bool {
        self.evacuation_share(key).is_some_and(|share| share <= 0.0)
    }

    /// Number of upstreams in a data centre, and of all gateways' requests that run there.
    pub(in crate::relay) fn load_at(&self, data_centre: &str) -> (u32, u32) {
        let there = self.upstreams.iter();
        let there = there.filter(|(_, upstream)| upstream.data_centre == data_centre);
        there.fold((0, 0), |(upstreams, running), (key, _)| {
            let state = &self.states[key];
            let others = self.peer_loads.upstream_load(state.digest).in_flight;
            (upstreams + 1, running + state.in_flight + others)
        })
    }

    /// Number of this gateway's requests that run in data centres that are ordered out.
    pub(in crate::relay) fn evacuated_requests(&self) -> u32 {
        if self.evacuated.is_empty() {
            return 0;
        }
        let there = self.states.iter();
        let there = there.filter(|(key, _)| self.evacuation_share(*key).is_some());
        there.map(|(_, state)| state.in_flight).sum()
    }

    // Leaves out the upstreams of data centres that are ordered out, each data centre with
    // the chance of the part that has gone elsewhere, and only while others are left.
    pub(super) fn shift_evacuated(
        &self,
        keys: Vec<UpstreamKey>,
        rng: &mut SmallRng,
    ) -> Vec<UpstreamKey> {
        if self.evacuated.is_empty() {
            return keys;
        }
        let shares = self.evacuated.iter();
        let away = shares.filter(|(_, share)| !rng.random_bool(share.clamp(0.0, 1.0)));
        let away: Vec<&CompactString> = away.map(|(data_centre, _)| data_centre).collect();
        let is_kept = |key: &UpstreamKey| !away.contains(&&self.upstreams[*key].data_centre);
        let kept: Vec<UpstreamKey> = keys.iter().copied().filter(is_kept).collect();
        if kept.is_empty() { keys } else { kept }
    }
}
