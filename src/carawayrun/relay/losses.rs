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
const WAVE: Duration = Duration::from_secs(1);

/// Upstreams of other versions that must have gone: a single one crashes by
/// itself now and then.
const CRASHED: usize = 2;

/// What was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// A request without an answer.
    OfRequest,
    /// The rest of an answer that was counted when it began.
    OfAnswer,
}

#[derive(Debug)]
struct Waiting {
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
pub struct Losses {
    waiting: VecDeque<Waiting>,
    crashes: VecDeque<Crash>,
}

impl Losses {
    /// A request that was sent got no whole answer.
    pub fn lost(&mut self, service: &str, version: &str, loss: Loss, now: Duration) {
        self.waiting.push_back(Waiting {
            service: service.into(),
            version: version.into(),
            loss,
            at: now,
        });
    }

    /// An upstream took no connection.
    pub fn unreachable(
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
    pub fn settle(&mut self, now: Duration) -> Vec<(CompactString, CompactString, Loss)> {
        let mut counted = Vec::new();
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.at + WAVE <= now)
        {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            if self.crashed_beside(&waiting) < CRASHED {
                counted.push((waiting.service, waiting.version, waiting.loss));
            }
        }
        while self
            .crashes
            .front()
            .is_some_and(|crash| crash.at + WAVE * 2 <= now)
        {
            self.crashes.pop_front();
        }
        counted
    }

    // Upstreams of other versions of the service that went away around a loss.
    fn crashed_beside(&self, lost: &Waiting) -> usize {
        let beside = self.crashes.iter().filter(|crash| {
            crash.service == lost.service
                && crash.version != lost.version
                && crash.at + WAVE >= lost.at
                && crash.at <= lost.at + WAVE
        });
        let mut upstreams: Vec<UpstreamKey> = beside.map(|crash| crash.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    }
}
