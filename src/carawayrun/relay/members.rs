//! Gateways that may be sending to the same upstreams, by their report addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::rate_limit::{RateShare, rank};

/// Time for which a gateway counts after its last sign of life, as in the store:
/// it may only be disconnected, and sends its share.
const MEMBER_TTL: Duration = Duration::from_secs(90);

/// Other gateways and when each was last known to run. Times are on the caller's
/// clock.
#[derive(Debug, Default)]
pub struct Members {
    others: BTreeMap<SocketAddr, Duration>,
    /// True once the gateways in the store were read.
    is_listed: bool,
}

impl Members {
    /// Records that a gateway sent a report.
    pub fn record_report(&mut self, addr: SocketAddr, now: Duration) {
        self.others.insert(addr, now);
    }

    /// Records the gateways that are listed in the store.
    pub fn record_listed(&mut self, addrs: &[SocketAddr], now: Duration) {
        self.is_listed = true;
        self.others.extend(addrs.iter().map(|addr| (*addr, now)));
    }

    /// True once the gateways in the store were read.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Forgets gateways that gave no sign of life for long.
    pub fn expire(&mut self, now: Duration) {
        self.others
            .retain(|_, seen| now.saturating_sub(*seen) < MEMBER_TTL);
    }

    /// Number of gateways, `own` included; `None` before the others are known.
    pub fn count(&self, own: SocketAddr) -> Option<usize> {
        let others = self.others.keys().filter(|addr| **addr != own);
        self.is_listed.then(|| others.count() + 1)
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
