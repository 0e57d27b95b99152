//! Other gateways by their report addresses: who gets reports, and who may be sending
//! to the same upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::rate_limit::{RateShare, rank};

/// Time for which a gateway counts after its last sign of life, as in the store:
/// it may only be disconnected, and sends its share.
const MEMBER_TTL: Duration = Duration::from_secs(90);

/// Time after which a gateway that is silent and not listed gets no more reports.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Time from the end of a gateway's process to the next one's first request: the platform's
/// restart, and the reading of the store.
const START_TIME: Duration = Duration::from_secs(1);

/// Other gateways and when each was last known to run. Times are on the caller's
/// clock.
#[derive(Debug, Default)]
pub struct Members {
    others: BTreeMap<SocketAddr, LastSeen>,
    /// True once the gateways in the store were read.
    is_listed: bool,
}

#[derive(Debug)]
struct LastSeen {
    /// Last sign of life, a report or the store's list.
    at: Duration,
    reported_at: Option<Duration>,
    /// Time by which it stops, if its last report said that it does.
    stops_at: Option<Duration>,
}

impl LastSeen {
    // Time until it takes requests. One that is silent may only be cut off from here.
    fn time_to_serve(&self, now: Duration) -> Duration {
        let serves_at = self.stops_at.map(|stops_at| stops_at + START_TIME);
        serves_at.unwrap_or_default().saturating_sub(now)
    }
}

impl Members {
    /// Records that a gateway sent a report, by which it stops within `stops_in`, if at all.
    pub fn record_report(&mut self, addr: SocketAddr, stops_in: Option<Duration>, now: Duration) {
        let seen = LastSeen {
            at: now,
            reported_at: Some(now),
            stops_at: stops_in.map(|stops_in| now + stops_in),
        };
        self.others.insert(addr, seen);
    }

    /// Records the gateways that are listed in the store.
    pub fn record_listed(&mut self, addrs: &[SocketAddr], now: Duration) {
        self.is_listed = true;
        for addr in addrs {
            let seen = self.others.entry(*addr).or_insert(LastSeen {
                at: now,
                reported_at: None,
                stops_at: None,
            });
            seen.at = now;
        }
    }

    /// Addresses to send reports to: those of gateways that reported recently and the
    /// `listed` ones, without the gateway's `own`.
    pub fn report_targets(
        &self,
        listed: &[SocketAddr],
        own: SocketAddr,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let reports = |addr: &SocketAddr| {
            let reported_at = self.others.get(addr).and_then(|seen| seen.reported_at);
            reported_at.is_some_and(|at| now.saturating_sub(at) < REPORT_TTL)
        };
        let heard = self.others.keys().filter(|addr| reports(addr));
        let others = listed.iter().filter(|addr| !reports(addr));
        let all = heard.chain(others).copied();
        all.filter(|addr| *addr != own).collect()
    }

    /// Gateways other than `own` that reported within `ttl`.
    pub fn reporting(
        &self,
        own: SocketAddr,
        now: Duration,
        ttl: Duration,
    ) -> impl Iterator<Item = SocketAddr> {
        let recent = self.others.iter().filter(move |(addr, seen)| {
            let reported_at = seen.reported_at.filter(|_| **addr != own);
            reported_at.is_some_and(|at| now.saturating_sub(at) < ttl)
        });
        recent.map(|(addr, _)| *addr)
    }

    /// Time until a gateway takes requests, zero if one other than `own` may do now. `own`
    /// itself stops within `stops_in`.
    pub fn time_to_serve(&self, own: SocketAddr, stops_in: Duration, now: Duration) -> Duration {
        let others = self.others.iter().filter(|(addr, _)| **addr != own);
        let times = others.map(|(_, seen)| seen.time_to_serve(now));
        times.fold(stops_in + START_TIME, Duration::min)
    }

    /// True once the gateways in the store were read.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Forgets gateways that gave no sign of life for long.
    pub fn expire(&mut self, now: Duration) {
        self.others
            .retain(|_, seen| now.saturating_sub(seen.at) < MEMBER_TTL);
    }

    /// Number of gateways, `own` included; `None` before the others are known.
    pub fn count(&self, own: SocketAddr) -> Option<usize> {
        let others = self.others.keys().filter(|addr| **addr != own);
        self.is_listed.then(|| others.count() + 1)
    }

    /// Returns true if `own` has the least address of all gateways that are known; false
    /// before the others are.
    pub fn is_first(&self, own: SocketAddr) -> bool {
        self.is_listed && self.others.keys().all(|addr| *addr >= own)
    }

    /// Share of the gateway `own` in the limit of an upstream; nothing before the
    /// other gateways are known.
    pub fn rate_share(&self, own: SocketAddr, upstream: &str, limit: f64) -> RateShare {
        let Some(gateways) = self.count(own) else {
            return RateShare::default();
        };
        let others = self.others.keys().filter(|addr| **addr != own);
        RateShare::new(limit, rank(upstream, own, others), gateways)
    }
}
