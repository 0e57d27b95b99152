//! Upstreams that started again under their names.
//!
//! What an upstream said of itself binds the incarnation that said it. Its restart is
//! known here only once its registration is read, and what it says before that is
//! recorded as the word of the incarnation before. So a word that was heard shortly before
//! may be the new incarnation's. That one is doubtful until it answers on a connection
//! which was opened after its registration was read, as that answer is its own. It gets
//! requests meanwhile only where no other upstream is left: then a word that may be that
//! of a process which is gone counts less than a request that would be refused.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::view::UpstreamKey;

/// Longest time for which the restart of an upstream is not known here.
pub(super) const RESTART_LAG: Duration = Duration::from_secs(3);

/// Longest time for which an incarnation that does not answer is doubtful.
pub(super) const DOUBT_TIME: Duration = Duration::from_millis(700);

/// Incarnations that may have spoken before their restart was known. Times are on the
/// caller's clock.
#[derive(Debug, Default)]
pub(super) struct Restarts {
    /// End of each one's doubt.
    doubtful: FxHashMap<UpstreamKey, Duration>,
    /// Those that were not asked yet.
    unasked: Vec<UpstreamKey>,
}

impl Restarts {
    /// Records an incarnation whose predecessor spoke shortly before its registration
    /// was read.
    pub(super) fn record(&mut self, key: UpstreamKey, now: Duration) {
        self.doubtful.insert(key, now + DOUBT_TIME);
        self.unasked.push(key);
    }

    /// Records that an incarnation answered: what it says of itself is known from now on.
    pub(super) fn record_answer(&mut self, key: UpstreamKey) {
        self.doubtful.remove(&key);
    }

    /// Returns true if the word of an incarnation's predecessor may be its own.
    pub(super) fn is_doubtful(&self, key: UpstreamKey, now: Duration) -> bool {
        self.doubtful.get(&key).is_some_and(|end| *end > now)
    }

    /// Removes and returns the incarnations that are to be asked.
    pub(super) fn take_unasked(&mut self) -> Vec<UpstreamKey> {
        std::mem::take(&mut self.unasked)
    }

    /// Forgets upstreams that are no longer registered.
    pub(super) fn retain(&mut self, is_registered: impl Fn(UpstreamKey) -> bool) {
        self.doubtful.retain(|key, _| is_registered(*key));
        self.unasked.retain(|key| is_registered(*key));
    }
}
