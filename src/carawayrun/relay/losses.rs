//! Attribution of lost requests to versions.
//!
//! Load pattern: a rack or a data centre fails during a roll-out. All requests in
//! flight at the crashed upstreams are lost at once, while successful answers end
//! seconds later, so for a moment a version appears to fail most of its requests.
//! A loss is therefore held back for a short time. If upstreams of another
//! version became unreachable around the same time, hosts have crashed and the
//! loss counts against neither version. A version that crashes by itself affects
//! upstreams of its own version only.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use super::tally::RouteDigest;
use super::view::UpstreamKey;

/// Time around a loss in which crashes count as its cause, and for which the loss
/// is held back: a gateway detects crashed upstreams with its next few requests.
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);

/// Upstreams of other versions that must have crashed for a loss to be ignored.
/// More than one, since single upstreams crash independently now and then.
const MIN_CRASHED_UPSTREAMS: usize = 2;

/// Kind of a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// A request got no complete answer.
    Unanswered,
    /// An answer was interrupted after it had been counted at its start.
    Interrupted,
}

#[derive(Debug)]
struct PendingLoss {
    service: CompactString,
    version: CompactString,
    route: RouteDigest,
    loss: Loss,
    at: Duration,
}

#[derive(Debug)]
struct Crash {
    upstream: UpstreamKey,
    service: CompactString,
    version: CompactString,
    at: Duration,
}

/// Losses that are not yet attributed, and recent crashes. Times are on the
/// caller's clock.
#[derive(Debug, Default)]
pub struct LossTracker {
    pending: VecDeque<PendingLoss>,
    crashes: VecDeque<Crash>,
}

impl LossTracker {
    /// Records that a request sent to a version got no complete answer.
    pub fn record_loss(
        &mut self,
        service: &str,
        version: &str,
        route: RouteDigest,
        loss: Loss,
        now: Duration,
    ) {
        self.pending.push_back(PendingLoss {
            service: service.into(),
            version: version.into(),
            route,
            loss,
            at: now,
        });
    }

    /// Records an upstream that refused a connection or could not be reached.
    pub fn record_unreachable(
        &mut self,
        upstream: UpstreamKey,
        service: &str,
        version: &str,
        now: Duration,
    ) {
        self.crashes.push_back(Crash {
            upstream,
            service: service.into(),
            version: version.into(),
            at: now,
        });
    }

    /// Removes the losses whose holding time has passed and returns those that
    /// count against their version, as service, version, route and kind.
    pub fn take_attributed(
        &mut self,
        now: Duration,
    ) -> Vec<(CompactString, CompactString, RouteDigest, Loss)> {
        let mut counted = Vec::new();
        while self
            .pending
            .front()
            .is_some_and(|pending| pending.at + CORRELATION_WINDOW <= now)
        {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            if self.count_correlated_crashes(&pending) < MIN_CRASHED_UPSTREAMS {
                counted.push((
                    pending.service,
                    pending.version,
                    pending.route,
                    pending.loss,
                ));
            }
        }
        while self
            .crashes
            .front()
            .is_some_and(|crash| crash.at + CORRELATION_WINDOW * 2 <= now)
        {
            self.crashes.pop_front();
        }
        counted
    }

    // Counts the upstreams of other versions of the service that crashed around a
    // loss.
    fn count_correlated_crashes(&self, loss: &PendingLoss) -> usize {
        let beside = self.crashes.iter().filter(|crash| {
            crash.service == loss.service
                && crash.version != loss.version
                && crash.at + CORRELATION_WINDOW >= loss.at
                && crash.at <= loss.at + CORRELATION_WINDOW
        });
        let mut upstreams: Vec<UpstreamKey> = beside.map(|crash| crash.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    }
}
