//! Outages of the store, as a gateway sees them.
//!
//! Load pattern: all registrations that lapse while the store is away would be removed
//! at its return, and their upstreams get no requests until they register again. So they
//! are kept for a while after an outage. An upstream that leaves must not be, so an outage
//! is what this gateway saw of the store: a gap between confirmations alone may be lost
//! reports, or a host that stood still.

use std::time::Duration;

/// Shortest gap between two confirmations of the registrations after which some may have
/// lapsed: two heartbeats of an upstream.
const MIN_GAP: Duration = Duration::from_millis(2_400);

/// Time for which the registrations were not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gap {
    /// Calls of this gateway to the store failed meanwhile.
    Outage(Duration),
    /// No call failed: the store was not asked, or the gateways did not hear each other.
    Silence(Duration),
}

/// What a gateway knows of the store's outages. Times are on the boot clock.
#[derive(Debug, Default)]
pub struct OutageDetector {
    confirmed_at: Option<Duration>,
    failed_at: Option<Duration>,
}

impl OutageDetector {
    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Records that the registrations are known as of `at`. Returns the gap that this
    /// ends, if it is long.
    pub fn record_confirmed(&mut self, at: Duration) -> Option<Gap> {
        let before = self.confirmed_at;
        self.confirmed_at = before.max(Some(at));
        let gap = at.saturating_sub(before?);
        if gap <= MIN_GAP {
            return None;
        }
        let has_failed = self.failed_at > before;
        Some(if has_failed {
            Gap::Outage(gap)
        } else {
            Gap::Silence(gap)
        })
    }

    /// Time as of which the registrations are known, if they are.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }
}
