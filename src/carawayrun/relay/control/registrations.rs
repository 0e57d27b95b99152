//! Registrations of upstreams in the control state.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use super::{Effect, Registration, State};
use crate::relay::view::Upstream;

/// Time after a store outage within which upstreams whose registrations lapsed
/// may register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);

/// Fraction of the drain limit for which an upstream whose registration lapsed
/// around a store outage is kept at most. It may have left after the outage, so
/// the drain limit counts from the read that showed its registration as missing.
const LAPSED_DRAIN_FRACTION: f64 = 0.6;

impl State {
    /// Upstream that a registration which was read stands for. One that is outdated
    /// stands for what is known already: for none if its removal is known.
    pub fn resolve<'a>(&'a self, registration: &'a Registration) -> Option<&'a Upstream> {
        if !self.history.is_outdated(registration) {
            return Some(&registration.upstream);
        }
        let name = &registration.upstream.name;
        let known = self.by_name.get(name);
        let known = known.filter(|_| !self.lapsed.contains_key(name));
        known.and_then(|key| self.upstreams.get(*key))
    }

    // Adds an upstream or updates it; another incarnation gets a new key.
    pub(super) fn register_upstream(&mut self, registration: Registration, now: Duration) {
        if self.history.is_outdated(&registration) {
            tracing::info!(
                upstream = %registration.upstream.name,
                sequence = registration.sequence,
                version = registration.version,
                "registration of the restored copy is outdated; ignored"
            );
            return;
        }
        self.history.record(&registration);
        self.record_cold(&registration, now);
        let upstream = registration.upstream;
        self.lapsed.remove(&upstream.name);
        let known = self.by_name.get(&upstream.name).copied();
        if let Some(known) = known.and_then(|key| self.upstreams.get_mut(key)) {
            let same = known.born_ms == upstream.born_ms
                && known.addr == upstream.addr
                && known.service == upstream.service
                && known.version == upstream.version;
            if same {
                if upstream.is_leaving && !known.is_leaving {
                    tracing::info!(upstream = %upstream.name, "upstream is leaving");
                }
                *known = upstream;
                return;
            }
        }
        if let Some(key) = known {
            self.upstreams.remove(key);
        }
        tracing::info!(
            upstream = %upstream.name,
            service = %upstream.service,
            version = %upstream.version,
            born_ms = upstream.born_ms,
            restarted = known.is_some(),
            "upstream registered"
        );
        let name = upstream.name.clone();
        let key = self.upstreams.insert(upstream);
        self.by_name.insert(name, key);
    }

    // Records whether an upstream is cold. Only the gateway that reads the table learns at
    // once that one has turned cold again; the others read no beats.
    fn record_cold(&mut self, registration: &Registration, now: Duration) {
        let name = &registration.upstream.name;
        let cold_for = registration.cold_for;
        if cold_for.is_zero() {
            if self.cold.remove(name).is_some() {
                tracing::info!(upstream = %name, "upstream is warm again");
            }
        } else if self.cold.insert(name.clone(), now + cold_for).is_none() {
            tracing::info!(upstream = %name, cold_ms = cold_for.as_millis() as u64, "upstream is cold");
        }
    }

    /// Forgets upstreams that are no longer cold.
    pub(super) fn expire_cold(&mut self, now: Duration) {
        self.cold.retain(|name, until| {
            let is_cold = *until > now;
            if !is_cold {
                tracing::info!(upstream = %name, "upstream is warm again");
            }
            is_cold
        });
    }

    /// Number of upstreams that are known to be cold.
    pub fn cold_count(&self) -> usize {
        self.cold.len()
    }

    // Removes an upstream; one that wasn't leaving is kept for some time if its
    // registration lapsed around a store outage.
    pub(super) fn unregister_upstream(&mut self, name: CompactString, now: Duration) {
        self.history.record_removal(&name, now);
        let Some(key) = self.by_name.get(&name).copied() else {
            return;
        };
        let is_leaving = self.upstreams.get(key).is_none_or(|known| known.is_leaving);
        let reregistration_end = self.recovered_at.map(|at| at + REREGISTRATION_TIME);
        if let Some(until) = reregistration_end.filter(|until| now < *until && !is_leaving) {
            let until = until.min(now + self.drain_limit.mul_f64(LAPSED_DRAIN_FRACTION));
            tracing::info!(upstream = %name, "registration lapsed around a store outage; upstream kept for now");
            self.lapsed.entry(name).or_insert(until);
            return;
        }
        tracing::info!(upstream = %name, was_leaving = is_leaving, "upstream unregistered");
        self.remove_upstream(&name);
    }

    pub(super) fn remove_upstream(&mut self, name: &str) {
        self.lapsed.remove(name);
        self.cold.remove(name);
        if let Some(key) = self.by_name.remove(name) {
            self.upstreams.remove(key);
        }
    }

    // Replaces the registered upstreams by those that were read.
    pub(super) fn sync_registrations(&mut self, registrations: Vec<Registration>, now: Duration) {
        let missing = self.by_name.keys().cloned();
        let missing: Vec<CompactString> = missing
            .filter(|name| {
                let mut known = registrations.iter();
                !known.any(|known| known.upstream.name == *name)
            })
            .collect();
        for registration in registrations {
            self.register_upstream(registration, now);
        }
        for name in missing {
            self.unregister_upstream(name, now);
        }
    }

    // Publishes the upstreams if they differ from those of the view.
    pub(super) fn publish_upstreams(&mut self, effects: &mut Vec<Effect>) {
        let is_same = self.view.upstreams.len() == self.upstreams.len()
            && self
                .upstreams
                .iter()
                .all(|(key, upstream)| self.view.upstreams.get(key) == Some(upstream));
        if !is_same {
            self.view.upstreams = Arc::new(self.upstreams.clone());
            self.publish(effects);
        }
    }
}
