//! Whether a lost request is held against its version.
//!
//! Load pattern: a rack or a data centre fails while a version is rolled out.
//! What was under way at the crashed upstreams is lost at once, while answers
//! that go well end seconds later, so for a moment a version seems to fail most
//! of its requests. A loss therefore waits a little. Where upstreams of another
//! version went away at the same time, hosts crashed, and it counts for neither
//! version. A version that crashes by itself takes no other one with it.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use super::view::UpstreamKey;

/// Time around a loss in which crashes count as its cause, and for which it
/// waits: a gateway comes upon crashed upstreams with its next few requests.
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);

/// Upstreams of other versions that must have gone: a single one crashes by
/// itself now and then.
const MIN_CRASHED_UPSTREAMS: usize = 2;

/// What was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// A request without an answer.
    Unanswered,
    /// The rest of an answer that was counted when it began.
    Interrupted,
}

#[derive(Debug)]
struct PendingLoss {
    service: CompactString,
    version: CompactString,
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

/// Losses that are not settled, and recent crashes; times are on the caller's
/// clock.
#[derive(Debug, Default)]
pub struct LossTracker {
    pending: VecDeque<PendingLoss>,
    crashes: VecDeque<Crash>,
}

impl LossTracker {
    /// A request that was sent got no whole answer.
    pub fn record_loss(&mut self, service: &str, version: &str, loss: Loss, now: Duration) {
        self.pending.push_back(PendingLoss {
            service: service.into(),
            version: version.into(),
            loss,
            at: now,
        });
    }

    /// An upstream took no connection.
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

    /// Takes the losses whose time is over and that are held against their
    /// version: the service and the version of each, and what was lost.
    pub fn take_attributed(&mut self, now: Duration) -> Vec<(CompactString, CompactString, Loss)> {
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
                counted.push((pending.service, pending.version, pending.loss));
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

    // Upstreams of other versions of the service that went away around a loss.
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
