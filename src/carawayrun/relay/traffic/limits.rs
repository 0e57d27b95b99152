//! What upstreams allow this gateway: its shares of the limits that they name, and the
//! rest that they ask for.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::Traffic;
use crate::peer::message::{CountedRelays, UpstreamLimit};
use crate::relay::boot_clock;
use crate::relay::message::Answer;
use crate::relay::rate_limit::LimitNotice;
use crate::relay::view::{Upstream, UpstreamKey, View};

/// Time without a confirmed configuration after which the other gateways may have ceased to
/// count this one.
const MAX_CUT: Duration = Duration::from_mins(1);

impl Traffic {
    /// Records the limit that an upstream named in an answer, or that it named none.
    pub(in crate::relay) fn record_limit(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        limit: Option<f64>,
    ) {
        let notice = LimitNotice {
            limit,
            at: self.now(),
            is_own: true,
        };
        let view = self.view();
        let members = self.members.borrow();
        let has_changed = self.fleet(&view, |fleet, _| {
            fleet.record_limit(key, notice, &members, self.own_addr)
        });
        if has_changed {
            tracing::info!(upstream = %upstream.name, limit, "upstream named another limit of requests per second");
            self.load_changed.notify_one();
        }
    }

    /// Records that an upstream asked this gateway for rest.
    pub(in crate::relay) fn record_rest(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        rest: Duration,
    ) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        self.metrics.rests_asked.inc();
        if fleet.record_rest(key, rest, now) {
            tracing::info!(upstream = %upstream.name, rest_ms = rest.as_millis() as u64, "upstream asked for rest");
        }
        self.metrics
            .resting_upstreams
            .set(fleet.resting_count(now) as i64);
    }

    /// Records what an upstream says of leaving and of rest in an answer, on a connection
    /// of its present incarnation.
    pub(in crate::relay) fn record_word(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        answer: &Answer,
    ) {
        self.fleet.borrow_mut().record_answer(key);
        if answer.is_leaving {
            self.record_departure(key, upstream);
        }
        if let Some(rest) = answer.rest {
            self.record_rest(key, upstream, rest);
        }
    }

    /// Removes and returns the upstreams that started again and are to be asked whether
    /// what was heard before is their own word.
    pub(in crate::relay) fn take_restarted(&self) -> Vec<(UpstreamKey, Upstream)> {
        let view = self.view();
        self.fleet(&view, |fleet, _| fleet.take_restarted())
    }

    /// Path of the health checks of a service's upstreams.
    pub(in crate::relay) fn health_path(&self, service: &str) -> CompactString {
        let view = self.view();
        let mut services = view.catalog.iter().flat_map(|catalog| &catalog.services);
        let known = services.find(|known| known.name == service);
        known.map_or_else(CompactString::default, |known| known.health_path.clone())
    }

    /// Records that an upstream said in an answer that it is leaving.
    pub(in crate::relay) fn record_departure(&self, key: UpstreamKey, upstream: &Upstream) {
        if self.fleet.borrow_mut().record_departure(key, self.now()) {
            tracing::info!(upstream = %upstream.name, "upstream says that it is leaving");
            self.load_changed.notify_one();
        }
    }

    /// Records that whoever has an upstream's address now said that it is leaving.
    pub(in crate::relay) fn record_departure_of(&self, name: &str, addr: SocketAddr) {
        let key = self.fleet.borrow().find(name, addr);
        let view = self.view();
        if let Some((key, upstream)) = key.and_then(|key| Some((key, view.upstreams.get(key)?))) {
            self.record_departure(key, upstream);
        }
    }

    /// Upstreams that said so to this gateway.
    pub(in crate::relay) fn own_departures(&self) -> Vec<u64> {
        self.fleet.borrow_mut().own_departures(self.now())
    }

    /// Returns true if nothing may be sent to an upstream, as its data centre is evacuated.
    pub(in crate::relay) fn is_evacuated(&self, key: UpstreamKey) -> bool {
        let view = self.view();
        self.fleet(&view, |fleet, _| fleet.is_evacuated(key))
    }

    /// Time until one of a service's upstreams has rested; `None` unless all of them rest.
    pub(in crate::relay) fn time_to_end_of_rest(&self, service: &str) -> Option<Duration> {
        self.fleet.borrow().time_to_end_of_rest(service, self.now())
    }

    /// Takes a send to an upstream that may be sent to from this gateway's share of the
    /// upstream's limit and allowance, if it has any, and returns the time of it; `None` if
    /// a share is spent.
    pub(in crate::relay) fn take_send(&self, key: UpstreamKey) -> Option<Duration> {
        let now = self.now();
        let view = self.view();
        self.fleet(&view, |fleet, _| {
            if !fleet.accepts(key, now) {
                return None;
            }
            let is_limited = fleet.limit(key).is_some();
            let has_token = fleet.take_token(key, now);
            if is_limited && has_token {
                self.metrics.limited_sends.inc();
            }
            has_token.then_some(now)
        })
    }

    /// Takes a health check from this gateway's part of an upstream's allowance, if it has
    /// one; returns false if that is spent.
    pub(in crate::relay) fn take_check(&self, key: UpstreamKey) -> bool {
        self.fleet.borrow_mut().take_room(key, self.now())
    }

    /// Counts a send that was taken at `taken` as made now, after which nothing may wait;
    /// returns false if it must not be made any more.
    pub(in crate::relay) fn renew_send(&self, key: UpstreamKey, taken: Duration) -> bool {
        let now = self.now();
        let view = self.view();
        self.fleet(&view, |fleet, _| {
            fleet.accepts(key, now) && fleet.renew_token(key, taken, now)
        })
    }

    /// Time until the limits of a service's upstreams leave a request to this
    /// gateway; `None` if no upstream is known.
    pub(in crate::relay) fn time_to_send(&self, service: &str) -> Option<Duration> {
        self.fleet.borrow().time_to_token(service, self.now())
    }

    /// Returns what upstreams said about their limits in answers to this gateway.
    pub(in crate::relay) fn own_limits(&self) -> Vec<UpstreamLimit> {
        self.fleet.borrow().own_limits(self.now())
    }

    /// Returns true while requests to upstreams with an allowance can't be sent, as this
    /// gateway has just started.
    pub(in crate::relay) fn is_starting(&self) -> bool {
        let has_allowances = self.fleet.borrow().has_allowances();
        has_allowances && self.members.borrow().is_starting(self.now())
    }

    /// Which gateways this one counts, for the others.
    pub(in crate::relay) fn counted_relays(&self) -> CountedRelays {
        let position = self.random();
        self.members
            .borrow()
            .counted(self.own_addr, position, self.now())
    }

    /// Returns the addresses to which reports are sent.
    pub(in crate::relay) fn report_targets(&self, view: &View) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        members.report_targets(&view.peers, self.own_addr, self.now())
    }

    /// Updates the known gateways and this one's shares of the upstreams' limits.
    pub(super) fn update_members(&self) {
        let now = self.now();
        let view = self.view();
        let mut members = self.members.borrow_mut();
        let own = self.own_addr;
        if view.is_listed {
            let had_row = !members.is_listed() && view.peers.contains(&own);
            members.record_listed(&view.peers, now);
            if had_row {
                members.record_own_row();
            }
        }
        members.expire(now);
        if boot_clock::now().saturating_sub(view.confirmed_at) > MAX_CUT {
            members.forget_counted(now);
        }
        members.update_counted(own, now);
        let tolerance = self.settings().cold_tolerance;
        let (limited, resting, evacuated) = self.fleet(&view, |fleet, _| {
            fleet.update_shares(&members, own);
            fleet.expire_sends(now);
            fleet.update_allowances(view.catalog.as_ref(), tolerance, &members, own, now);
            let evacuated = fleet.evacuated_requests();
            (fleet.limited_count(), fleet.resting_count(now), evacuated)
        });
        self.metrics.evacuated_requests.set(evacuated.into());
        self.metrics.limited_upstreams.set(limited as i64);
        self.metrics.resting_upstreams.set(resting as i64);
    }
}
