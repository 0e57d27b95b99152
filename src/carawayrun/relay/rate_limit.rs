//! Limits on the rate of requests that upstreams name.
//!
//! Load pattern: an upstream in need names the requests per second that it takes
//! from all gateways together, and each gateway knows only what it sends itself.
//! Each has a fixed share of the rate, worked out from the gateways that it knows,
//! and shares are not lent. So the sum holds also while gateways are disconnected
//! from each other or from the store. Where a share would be less than one request
//! at a time, only as many gateways send as the burst allows, chosen by rendezvous
//! hashing.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHasher;

/// Window over which the users count an upstream's requests, in seconds.
const WINDOW_S: f64 = 4.0;

/// Multiple of the named rate that all gateways together may send in a window.
const TOLERANCE: f64 = 1.5;

/// Requests allowed in a window in addition.
const SLACK: f64 = 5.0;

/// Seconds of the named rate that are left unused in a window: gateways that start
/// or end are counted by some and not by others, and requests may arrive closer
/// together than they were sent.
const RESERVE_S: f64 = 1.0;

/// Smallest rate that is used, in requests per second. Only an answer can say that
/// a limit of zero has ended.
const MIN_RATE: f64 = 0.1;

/// One gateway's share of the rate that an upstream named.
///
/// In the window, all shares together send at most their bursts and their rates.
/// The bursts are chosen so that this is the allowed number less the reserve.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateShare {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be sent at once.
    pub burst: f64,
}

impl RateShare {
    /// Returns the share of the gateway that is at `rank` among `gateways`, counted
    /// from zero; see [`rank`].
    pub fn new(limit: f64, rank: usize, gateways: usize) -> Self {
        let rate = limit.max(MIN_RATE);
        let allowed = (WINDOW_S * TOLERANCE - RESERVE_S).mul_add(limit, SLACK);
        let burst = WINDOW_S.mul_add(-rate, allowed);
        let senders = (burst as usize).clamp(1, gateways.max(1));
        if rank >= senders {
            return Self::default();
        }
        Self {
            rate: rate / senders as f64,
            burst: burst / senders as f64,
        }
    }
}

/// Returns how many of the `others` come before the gateway `own` at an upstream.
pub fn rank<'a>(
    upstream: &str,
    own: SocketAddr,
    others: impl Iterator<Item = &'a SocketAddr>,
) -> usize {
    let key = |addr: &SocketAddr| {
        let mut hasher = FxHasher::default();
        (upstream, addr).hash(&mut hasher);
        // The low bits of this hash depend on few bits of its input.
        (hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15), *addr)
    };
    let own_key = key(&own);
    others.filter(|other| key(other) > own_key).count()
}

/// Limit that an upstream named, or that it named none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// Requests per second that it takes from all gateways together.
    pub limit: Option<f64>,
    /// Time of the answer.
    pub at: Duration,
    /// True if this gateway got the answer itself.
    pub is_own: bool,
}

/// Requests that this gateway may send to an upstream that named a limit. Times are
/// on the caller's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimiter {
    notice: Option<LimitNotice>,
    /// Time of the answer that ended the last limit.
    ended_at: Option<Duration>,
    tokens: f64,
    updated_at: Duration,
}

impl RateLimiter {
    /// Latest known answer.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice
    }

    /// Limit that is in force.
    pub fn limit(&self) -> Option<f64> {
        self.notice?.limit
    }

    /// Records what an answer said about the limit; an older one than known is
    /// ignored. Returns true if the limit changed.
    pub fn record(&mut self, notice: LimitNotice) -> bool {
        if self.notice.is_some_and(|known| known.at > notice.at) {
            return false;
        }
        let before = self.limit();
        match (before, notice.limit) {
            // The bucket fills up at once.
            (None, Some(_)) => self.tokens = f64::INFINITY,
            (Some(_), None) => self.ended_at = Some(notice.at),
            _ => {}
        }
        self.notice = Some(notice);
        before != notice.limit
    }

    /// Time of the answer that ended the last limit, if none is in force.
    pub fn ended_at(&self) -> Option<Duration> {
        self.ended_at.filter(|_| self.limit().is_none())
    }

    /// Returns true if a request may be sent within `share`.
    pub fn has_token(&self, share: RateShare, now: Duration) -> bool {
        self.limit().is_none() || self.tokens_at(share, now) >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn take_token(&mut self, share: RateShare, now: Duration) {
        if self.limit().is_some() {
            self.tokens = self.tokens_at(share, now) - 1.0;
            self.updated_at = now;
        }
    }

    /// Time until a request may be sent; `None` if never within `share`.
    pub fn time_to_token(&self, share: RateShare, now: Duration) -> Option<Duration> {
        let missing = 1.0 - self.tokens_at(share, now);
        if self.limit().is_none() || missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let can_refill = share.rate > 0.0 && share.burst >= 1.0;
        can_refill.then(|| Duration::from_secs_f64(missing / share.rate))
    }

    fn tokens_at(&self, share: RateShare, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        elapsed.mul_add(share.rate, self.tokens).min(share.burst)
    }
}
