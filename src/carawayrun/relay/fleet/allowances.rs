//! Upstreams with an allowance, as they may be cold.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Fleet, UpstreamQuery, UpstreamState};
use crate::relay::allowance::ColdTolerance;
use crate::relay::catalog::Catalog;
use crate::relay::members::Members;
use crate::relay::view::{RolloutView, Upstream, UpstreamKey};

impl UpstreamState {
    fn update_part(
        &mut self,
        upstream: &Upstream,
        allowance: Option<u32>,
        members: &Members,
        own_addr: SocketAddr,
        now: Duration,
    ) {
        self.part = allowance.map(|allowance| {
            let name = &upstream.name;
            members.part(own_addr, name, allowance, now)
        });
    }
}

impl Fleet {
    /// Updates the allowances of the services' upstreams to those of a newer catalog, and
    /// this gateway's parts in them.
    pub(in crate::relay) fn update_allowances(
        &mut self,
        catalog: Option<&Arc<Catalog>>,
        tolerance: ColdTolerance,
        members: &Members,
        own_addr: SocketAddr,
        now: Duration,
    ) {
        let division = Some(members.division(own_addr, now));
        let is_same = self.division == division && self.tolerance == Some(tolerance);
        if is_same && self.knows_allowances(catalog) {
            return;
        }
        self.division = division;
        self.tolerance = Some(tolerance);
        self.catalog = catalog.cloned();
        self.allowances.clear();
        for service in catalog.iter().flat_map(|catalog| &catalog.services) {
            if let Some(rate) = service.cold_rate {
                let allowance = tolerance.allowance(rate);
                self.allowances.insert(service.name.clone(), allowance);
            }
        }
        for (key, state) in &mut self.states {
            if let Some(upstream) = self.upstreams.get(key) {
                let allowance = self.allowances.get(&upstream.service).copied();
                state.update_part(upstream, allowance, members, own_addr, now);
            }
        }
    }

    /// Returns true if the upstreams of a service have an allowance, and this gateway's parts
    /// in it are not known yet.
    pub(in crate::relay) fn awaits_parts(&self, service: &str) -> bool {
        let has_parts = self.division.is_some_and(|division| division.is_counted);
        !has_parts && self.allowances.contains_key(service)
    }

    /// Returns true if the upstreams of any service have an allowance.
    pub(in crate::relay) fn has_allowances(&self) -> bool {
        !self.allowances.is_empty()
    }

    /// Returns true if the parts in the allowances of this catalog's services are known.
    pub(in crate::relay) fn knows_allowances(&self, catalog: Option<&Arc<Catalog>>) -> bool {
        match (&self.catalog, catalog) {
            (Some(known), Some(catalog)) => Arc::ptr_eq(known, catalog),
            (None, None) => true,
            _ => false,
        }
    }

    /// Time until this gateway may send a request to one of the upstreams that it could
    /// have now but for their allowances; `None` if there is no such upstream.
    pub(in crate::relay) fn time_to_room(
        &self,
        query: &UpstreamQuery<'_>,
        rollouts: &[RolloutView],
        now: Duration,
    ) -> Option<Duration> {
        let eligible = self.eligible_for(query, rollouts, now).into_iter();
        let usable = eligible.filter(|key| !self.is_ejected(*key, now));
        let mut usable: Vec<UpstreamKey> = usable.collect();
        // Those of a data centre that is ordered out are not waited for.
        let stays = |key: &UpstreamKey| self.evacuation_share(*key).is_none();
        if usable.iter().any(stays) {
            usable.retain(stays);
        }
        let times = usable.into_iter().filter_map(|key| {
            let state = &self.states[key];
            let is_limited = !state.limiter.has_token(state.share, now);
            let part = state.part.filter(|_| !is_limited)?;
            self.sends.time_to_room(state.digest, part, now)
        });
        times.min()
    }

    // True if this gateway's shares of the upstream's limit and allowance leave a request.
    pub(super) fn has_token(&self, key: UpstreamKey, now: Duration) -> bool {
        let Some(state) = self.states.get(key) else {
            return false;
        };
        let has_room = |part| self.sends.has_room(state.digest, part, now);
        state.limiter.has_token(state.share, now) && state.part.is_none_or(has_room)
    }

    /// Takes one request from the part of an upstream's allowance, if it has one; returns
    /// false if that is spent.
    pub(in crate::relay) fn take_room(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let Some(state) = self.states.get(key) else {
            return false;
        };
        let Some(part) = state.part else {
            return true;
        };
        let has_room = self.sends.has_room(state.digest, part, now);
        if has_room {
            self.sends.record(state.digest, now);
        }
        has_room
    }

    /// Counts a request that was taken from an upstream's allowance at `taken` as sent now;
    /// returns false if there is no room for it any more.
    pub(in crate::relay) fn renew_token(
        &mut self,
        key: UpstreamKey,
        taken: Duration,
        now: Duration,
    ) -> bool {
        let Some(state) = self.states.get(key) else {
            return false;
        };
        let part = state.part;
        part.is_none_or(|part| self.sends.renew(state.digest, taken, part, now))
    }

    /// Forgets sends that count no more.
    pub(in crate::relay) fn expire_sends(&mut self, now: Duration) {
        self.sends.expire(now);
    }
}
