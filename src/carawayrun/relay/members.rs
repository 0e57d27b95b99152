//! Other gateways by their report addresses: who gets reports, and who may be sending
//! to the same upstreams.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHasher;

use super::allowance::{self, WINDOW};
use super::rate_limit::{RateShare, rank};
use crate::peer::message::CountedRelays;

/// Time for which a gateway counts after its last sign of life, as in the store:
/// it may only be disconnected, and sends its share.
const MEMBER_TTL: Duration = Duration::from_secs(90);

/// Time after which a gateway that is silent and not listed gets no more reports.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Time from the end of a gateway's process to the next one's first request: the platform's
/// restart, and the reading of the store.
const START_TIME: Duration = Duration::from_secs(1);

/// Time in which gateways that start together have read each other's rows.
const LISTING_TIME: Duration = Duration::from_secs(2);

/// Time in which all gateways that reach the store have read a row: they read each 30 s.
const READING_TIME: Duration = Duration::from_secs(32);

/// Longest time for which a gateway that has no parts yet is not ready for clients. All
/// that run have told by then that they count it.
const UNREADY_TIME: Duration = Duration::from_secs(4);

/// Most gateways in a report that are told to be counted, to leave room for the rest of a
/// datagram.
const MAX_REPORTED: usize = 32;

/// Gateways among which allowances are dealt out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    digest: u64,
    /// True once this gateway has parts.
    pub(super) is_counted: bool,
}

/// Other gateways and when each was last known to run. Times are on the caller's
/// clock.
#[derive(Debug, Default)]
pub struct Members {
    others: BTreeMap<SocketAddr, LastSeen>,
    /// Sum of the digests of their addresses.
    digest: u64,
    /// True once the gateways in the store were read.
    is_listed: bool,
    /// Time at which they were.
    listed_at: Duration,
    /// Time at which all others were known to count this gateway.
    counted_at: Option<Duration>,
}

#[derive(Debug)]
struct LastSeen {
    /// First sign of life.
    first_at: Duration,
    /// Last sign of life, a report or the store's list.
    at: Duration,
    reported_at: Option<Duration>,
    /// True once it reported that it counts this gateway.
    counts_own: bool,
    /// Time by which it stops, if its last report said that it does.
    stops_at: Option<Duration>,
}

impl LastSeen {
    fn new(now: Duration) -> Self {
        Self {
            first_at: now,
            at: now,
            reported_at: None,
            counts_own: false,
            stops_at: None,
        }
    }

    // Time until it takes requests. One that is silent may only be cut off from here.
    fn time_to_serve(&self, now: Duration) -> Duration {
        let serves_at = self.stops_at.map(|stops_at| stops_at + START_TIME);
        serves_at.unwrap_or_default().saturating_sub(now)
    }
}

impl Members {
    /// Records that a gateway sent a report, by which it stops within `stops_in`, if at all.
    pub fn record_report(&mut self, addr: SocketAddr, stops_in: Option<Duration>, now: Duration) {
        let seen = self.record_seen(addr, now);
        seen.reported_at = Some(now);
        seen.stops_at = stops_in.map(|stops_in| now + stops_in);
    }

    // Records a sign of life.
    fn record_seen(&mut self, addr: SocketAddr, now: Duration) -> &mut LastSeen {
        let digest = &mut self.digest;
        let seen = self.others.entry(addr).or_insert_with(|| {
            *digest = digest.wrapping_add(addr_digest(addr));
            LastSeen::new(now)
        });
        seen.at = now;
        seen
    }

    /// Records which gateways a gateway that reported counts.
    pub fn record_counted(&mut self, addr: SocketAddr, counted: &CountedRelays, own: SocketAddr) {
        let counts_own =
            counted.digest == self.digest(own) || counted.recent.contains(&addr_digest(own));
        if let Some(seen) = self.others.get_mut(&addr) {
            seen.counts_own |= counts_own;
        }
    }

    /// Which gateways this one counts, `own` included. `position` is random in 0..1.
    pub fn counted(&self, own: SocketAddr, position: f64, now: Duration) -> CountedRelays {
        let others = self.others.iter().filter(|(addr, seen)| {
            **addr != own && now.saturating_sub(seen.first_at) < READING_TIME
        });
        let mut recent: Vec<u64> = others.map(|(addr, _)| addr_digest(*addr)).collect();
        // Each report has another part of them if there are many.
        let start = (position * recent.len() as f64) as usize;
        let count = recent.len();
        recent.rotate_left(start.min(count));
        recent.truncate(MAX_REPORTED);
        CountedRelays {
            digest: self.digest(own),
            recent,
        }
    }

    // Sum of the digests of all gateways' addresses, `own` included.
    fn digest(&self, own: SocketAddr) -> u64 {
        if self.others.contains_key(&own) {
            self.digest
        } else {
            self.digest.wrapping_add(addr_digest(own))
        }
    }

    /// Determines whether all others count this gateway: each said so, or has read its row
    /// in the store.
    pub fn update_counted(&mut self, own: SocketAddr, now: Duration) {
        if !self.is_listed || self.counted_at.is_some() {
            return;
        }
        let mut others = self.others.iter().filter(|(addr, _)| **addr != own);
        let listed_for = now.saturating_sub(self.listed_at);
        // A list with the own row was read after that was written, so it has all relays that
        // started before.
        let has_own_row = self.others.contains_key(&own);
        let is_counted =
            has_own_row && listed_for >= LISTING_TIME && others.all(|(_, seen)| seen.counts_own);
        if is_counted || listed_for >= READING_TIME {
            self.counted_at = Some(now);
        }
    }

    /// What the parts of the gateway `own` follow from: they change only with it.
    pub fn division(&self, own: SocketAddr, now: Duration) -> Division {
        Division {
            digest: self.digest(own),
            is_counted: self.is_counted(now),
        }
    }

    /// Returns true while this gateway is about to get its parts, as it has just started.
    pub fn is_starting(&self, now: Duration) -> bool {
        !self.is_counted(now) && now < self.listed_at + UNREADY_TIME
    }

    fn is_counted(&self, now: Duration) -> bool {
        self.counted_at.is_some_and(|at| at + WINDOW <= now)
    }

    /// Forgets that the others count this gateway, which was cut off for long.
    pub fn forget_counted(&mut self, now: Duration) {
        self.counted_at = None;
        self.listed_at = now;
        for seen in self.others.values_mut() {
            seen.counts_own = false;
        }
    }

    /// Records the gateways that are listed in the store.
    pub fn record_listed(&mut self, addrs: &[SocketAddr], now: Duration) {
        if !self.is_listed {
            self.is_listed = true;
            self.listed_at = now;
        }
        for addr in addrs {
            self.record_seen(*addr, now);
        }
    }

    /// Records that this gateway's row in the store was an earlier process's, whose place
    /// it takes: all others count it.
    pub fn record_own_row(&mut self) {
        // The earlier process sent nothing after the start of this one, which is zero.
        self.counted_at = self.counted_at.or(Some(Duration::ZERO));
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
        let digest = &mut self.digest;
        self.others.retain(|addr, seen| {
            let is_kept = now.saturating_sub(seen.at) < MEMBER_TTL;
            if !is_kept {
                *digest = digest.wrapping_sub(addr_digest(*addr));
            }
            is_kept
        });
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

    /// Part of the gateway `own` in the allowance of an upstream; nothing before all
    /// others count it, and for a window after that: until then their parts may have been
    /// greater, or an earlier process of this gateway may have sent.
    pub fn part(&self, own: SocketAddr, upstream: &str, allowance: u32, now: Duration) -> u32 {
        let Some(gateways) = self.count(own).filter(|_| self.is_counted(now)) else {
            return 0;
        };
        let others = self.others.keys().filter(|addr| **addr != own);
        allowance::part(allowance, rank(upstream, own, others), gateways)
    }
}

// Hash of a gateway's address.
fn addr_digest(addr: SocketAddr) -> u64 {
    let mut hasher = FxHasher::default();
    addr.hash(&mut hasher);
    // The sums of hashes of neighbouring addresses would be alike.
    let mixed = hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}
