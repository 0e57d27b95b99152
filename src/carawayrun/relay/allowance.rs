//! Requests that upstreams which may be cold take from all gateways together.
//!
//! Load pattern: an upstream that has started, or that lost its caches, crashes if too many
//! requests come within a second, and it may turn cold at any moment, of which gateways
//! learn seconds later. So the allowance of a cold upstream holds for all upstreams of such
//! a service, at any time. It is dealt out to the gateways one request at a time, so that
//! each knows its part without asking: the parts of gateways that know of each other add
//! up to the allowance, and those of gateways that also count some which are gone to less.
//! A gateway that others may not know yet has no part; see `members`.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

/// Time in which a part may be used once: a second, and what may pass between the record
/// of a send and its first byte on a busy host.
pub const WINDOW: Duration = Duration::from_millis(1_100);

/// Part of the allowance that is not dealt out: a host may stand still between the record
/// of a send and its first byte.
const RESERVED_SHARE: f64 = 0.06;

/// What cold upstreams tolerate beyond the rate that their service names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate.
    pub multiple: f64,
    /// Requests in a second in addition.
    pub slack: f64,
}

impl ColdTolerance {
    /// Requests in any second that all gateways together may send to an upstream which
    /// takes `rate` a second while it is cold.
    pub fn allowance(self, rate: f64) -> u32 {
        let allowed = rate.mul_add(self.multiple, self.slack);
        let reserved = (allowed * RESERVED_SHARE).ceil();
        // A service whose upstreams take nothing while they are cold would never start.
        (allowed - reserved).max(1.0) as u32
    }
}

/// Returns the part of an allowance that the gateway at `rank` among `gateways` has,
/// counted from zero.
pub fn part(allowance: u32, rank: usize, gateways: usize) -> u32 {
    let left = (allowance as usize).saturating_sub(rank);
    left.div_ceil(gateways.max(1)) as u32
}

/// Requests that this gateway sent to one upstream within the window, the oldest first.
/// Times are on the caller's clock.
#[derive(Debug, Clone, Default)]
pub struct SendLog {
    sends: VecDeque<Duration>,
}

impl SendLog {
    /// Returns true if a request may be sent within `part`.
    pub fn has_room(&self, part: u32, now: Duration) -> bool {
        self.time_to_room(part, now)
            .is_some_and(|time| time.is_zero())
    }

    /// Time until a request may be sent; `None` if never within `part`.
    pub fn time_to_room(&self, part: u32, now: Duration) -> Option<Duration> {
        // The send whose end makes room for the next one.
        let last = (part as usize).checked_sub(1)?;
        let sent = self.sends.iter().rev().nth(last);
        Some(sent.map_or(Duration::ZERO, |sent| (*sent + WINDOW).saturating_sub(now)))
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: Duration) {
        self.expire(now);
        self.sends.push_back(now);
    }

    /// Moves a request that was recorded at `recorded` to now, when its first byte is
    /// sent; returns false if there is no room for it any more.
    pub fn renew(&mut self, recorded: Duration, part: u32, now: Duration) -> bool {
        let index = self.sends.iter().position(|sent| *sent == recorded);
        if let Some(index) = index {
            self.sends.remove(index);
        }
        let has_room = self.has_room(part, now);
        if has_room {
            self.record(now);
        }
        has_room
    }

    fn expire(&mut self, now: Duration) {
        while self.sends.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.sends.pop_front();
        }
    }
}

/// Sends of this gateway by the key of the upstream in reports: a restart and a lapse of
/// its registration begin no new window.
#[derive(Debug, Default)]
pub struct SendLogs {
    logs: FxHashMap<u32, SendLog>,
}

impl SendLogs {
    /// Returns true if a request may be sent to an upstream within `part`.
    pub fn has_room(&self, upstream: u32, part: u32, now: Duration) -> bool {
        let log = self.logs.get(&upstream);
        log.map_or(part > 0, |log| log.has_room(part, now))
    }

    /// Time until a request may be sent to an upstream; `None` if never within `part`.
    pub fn time_to_room(&self, upstream: u32, part: u32, now: Duration) -> Option<Duration> {
        let log = self.logs.get(&upstream);
        log.map_or((part > 0).then_some(Duration::ZERO), |log| {
            log.time_to_room(part, now)
        })
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, upstream: u32, now: Duration) {
        self.logs.entry(upstream).or_default().record(now);
    }

    /// Moves the record of a request to now; see [`SendLog::renew`].
    pub fn renew(&mut self, upstream: u32, recorded: Duration, part: u32, now: Duration) -> bool {
        let log = self.logs.entry(upstream).or_default();
        log.renew(recorded, part, now)
    }

    /// Forgets upstreams without a send in the window.
    pub fn expire(&mut self, now: Duration) {
        self.logs.retain(|_, log| {
            log.expire(now);
            !log.sends.is_empty()
        });
    }
}
