//! Evidence about one subject: crashes, answers, quarantine and trials.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::subject::Criteria;

/// Time in which two crashes of one upstream are the same one: it takes longer to start
/// again, and gateways notice a crash at different times.
const CRASH_SPAN: Duration = Duration::from_secs(1);

/// Time after which one gateway tries one request of a subject in quarantine.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(3);

/// Factor by which each trial delays the next one, and the longest delay.
const TRIAL_BACKOFF: u32 = 4;
const MAX_TRIAL_DELAY: Duration = Duration::from_mins(10);

/// Time for which a gateway must have told that it holds requests back, before it makes
/// a trial: by then the others that do so too are known.
const HOLDING_TIME: Duration = Duration::from_secs(1);

/// Time after a held request for which a gateway goes first in making trials.
const HOLDER_TTL: Duration = Duration::from_secs(30);

/// Time after another gateway's last report for which answers to a subject are told.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// Time after an answer in which another gateway's quarantine is taken for an earlier
/// one: its age is younger than it was by the time that the report took.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// Time without news after which a quarantine is forgotten.
const FORGET_QUARANTINE_AFTER: Duration = Duration::from_mins(30);

/// Most crashes that are kept of a subject, the newest.
const MAX_CRASHES: usize = 128;

/// Crash of an upstream while it worked on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crash {
    /// Key of the upstream in reports.
    pub upstream: u32,
    /// Time on the caller's clock.
    pub at: Duration,
    /// Time from the send of the request to the crash.
    pub after: Duration,
    /// Chance that a sound request would have been lost in it; worked out when it is
    /// recorded.
    pub chance: f64,
}

impl Crash {
    /// Returns true if both are the same crash of one upstream.
    pub fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.at.abs_diff(other.at) < CRASH_SPAN
    }

    /// Time of the send.
    pub(super) fn sent_at(&self) -> Duration {
        self.at.saturating_sub(self.after)
    }
}

/// What a gateway knows of a subject. Times are on the caller's clock.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CrashEvidence {
    /// Crashes since the last answer, the earliest first.
    pub crashes: Vec<Crash>,
    /// Requests that one gateway lost in them, the most of any.
    pub losses: u32,
    /// Last answer: its begin for a part, its end for a request.
    pub answered_at: Option<Duration>,
    /// Start of the quarantine or of its last trial, while it lasts.
    pub quarantined_at: Option<Duration>,
    /// Trials in this quarantine.
    pub trials: u32,
    /// Those of them that ended without a crash or an answer, such as at an upstream that
    /// refused the request: they show nothing.
    pub void_trials: u32,
    /// Last time that this gateway held a request back.
    pub held_at: Option<Duration>,
}

impl CrashEvidence {
    // True if it says anything against the subject.
    pub(super) fn is_suspicion(&self) -> bool {
        !self.crashes.is_empty() || self.quarantined_at.is_some()
    }

    // Adds a crash unless it is known or an answer came later.
    pub(super) fn add_crash(&mut self, crash: Crash) {
        let is_answered = self.answered_at.is_some_and(|at| at >= crash.at);
        if is_answered || self.crashes.iter().any(|known| known.is_same(&crash)) {
            return;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    // Removes what an answer at `at` refutes.
    fn clear(&mut self, at: Duration) {
        self.crashes.retain(|crash| crash.at > at);
        if self.crashes.is_empty() {
            self.losses = 0;
        }
        self.quarantined_at = self.quarantined_at.filter(|since| *since > at);
        if self.quarantined_at.is_none() {
            self.trials = 0;
            self.void_trials = 0;
        }
    }

    // Time of the next trial; `None` for a subject that is not in quarantine.
    pub(super) fn trial_at(&self, criteria: &Criteria) -> Option<Duration> {
        let since = self.quarantined_at?;
        let trials = self.trials.saturating_sub(self.void_trials);
        if trials >= criteria.max_trials {
            return Some(Duration::MAX);
        }
        let backoff = TRIAL_BACKOFF.saturating_pow(trials);
        let delay = FIRST_TRIAL_AFTER.saturating_mul(backoff);
        Some(since + delay.min(MAX_TRIAL_DELAY))
    }

    // Takes over a quarantine that another gateway told. The one with more trials is
    // newer; of one and the same, the earliest time is the least delayed. Returns true
    // if it is new here.
    fn merge_quarantine(&mut self, told: &Self) -> bool {
        let Some(since) = told.quarantined_at else {
            return false;
        };
        if self
            .answered_at
            .is_some_and(|at| since <= at + REPORT_DELAY)
        {
            return false;
        }
        let known = self.quarantined_at;
        self.void_trials = self.void_trials.max(told.void_trials);
        match known {
            Some(_) if told.trials < self.trials => return false,
            Some(at) if told.trials == self.trials => self.quarantined_at = Some(at.min(since)),
            _ => {
                self.quarantined_at = Some(since);
                self.trials = told.trials;
            }
        }
        known.is_none()
    }
}

/// Evidence about one subject, own and of all gateways.
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// What this gateway saw itself.
    pub(super) own: CrashEvidence,
    /// What all gateways saw, as far as it is known here.
    pub(super) all: CrashEvidence,
    /// Last news of it.
    pub(super) seen_at: Duration,
    /// Last report of another gateway that suspects it, and the crashes told there.
    suspected_at: Option<Duration>,
    pub(super) told_crashes: usize,
    /// Last time that it was told to the others.
    pub(super) reported_at: Duration,
    /// First request that was held back here in this quarantine.
    held_since: Option<Duration>,
    /// Other gateways that hold requests back, with the last time of each.
    holders: BTreeMap<SocketAddr, Duration>,
    /// Description for operators, of requests that this gateway saw.
    pub(super) label: CompactString,
}

impl Entry {
    // Records a crash that this gateway saw.
    pub(super) fn record_crash(&mut self, crash: Crash) {
        self.seen_at = crash.at;
        self.own.losses += 1;
        self.all.losses = self.all.losses.max(self.own.losses);
        self.own.add_crash(crash);
        self.all.add_crash(crash);
    }

    // Records an answer that this gateway or another one saw.
    pub(super) fn record_answer(&mut self, at: Duration) {
        self.all.answered_at = self.all.answered_at.max(Some(at));
        self.all.clear(at);
        self.own.clear(at);
        if self.all.quarantined_at.is_none() {
            self.held_since = None;
            self.holders.clear();
        }
    }

    // Adds what the gateway `from` told. Returns true if a quarantine begins here with
    // that.
    pub(super) fn receive(
        &mut self,
        told: &CrashEvidence,
        from: SocketAddr,
        now: Duration,
    ) -> bool {
        if told.is_suspicion() {
            self.suspected_at = Some(now);
            self.told_crashes = told.crashes.len();
        }
        if let Some(at) = told.answered_at {
            self.record_answer(at);
        }
        for crash in &told.crashes {
            self.all.add_crash(*crash);
        }
        if !self.all.crashes.is_empty() {
            self.all.losses = self.all.losses.max(told.losses);
        }
        let is_new = self.all.merge_quarantine(told);
        if let Some(at) = told.held_at.filter(|_| self.all.quarantined_at.is_some()) {
            self.holders.insert(from, at);
        }
        is_new
    }

    // Evidence for the others: crashes and answers that this gateway saw, and the
    // quarantine as it is known here, so that it outlasts who began it.
    pub(super) fn report(&self, max_crashes: usize) -> CrashEvidence {
        let own = &self.own;
        let first = own.crashes.len().saturating_sub(max_crashes);
        CrashEvidence {
            crashes: own.crashes[first..].to_vec(),
            losses: own.losses,
            answered_at: own.answered_at,
            quarantined_at: self.all.quarantined_at,
            trials: self.all.trials,
            void_trials: self.all.void_trials,
            held_at: own.held_at,
        }
    }

    // True if there is more than one crash.
    pub(super) fn is_repeated(&self) -> bool {
        self.all.crashes.len() > 1
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.all.quarantined_at.is_some()
    }

    pub(super) fn begin_quarantine(&mut self, now: Duration) {
        self.all.quarantined_at = Some(now);
        self.all.trials = 0;
        self.all.void_trials = 0;
    }

    pub(super) fn begin_trial(&mut self, now: Duration) {
        self.all.trials = self.all.trials.saturating_add(1);
        self.all.quarantined_at = Some(now);
    }

    // Records that the trial that had begun by `begun` ended without an answer. It counts
    // only if an upstream crashed under it.
    pub(super) fn end_trial(&mut self, begun: Duration) {
        let since = self.all.quarantined_at.filter(|since| *since <= begun);
        let Some(since) = since else {
            return;
        };
        if !self.all.crashes.iter().any(|crash| crash.at >= since) {
            self.all.void_trials = self.all.void_trials.saturating_add(1);
        }
    }

    // Records that a request was held back.
    pub(super) fn record_held(&mut self, now: Duration) {
        self.held_since.get_or_insert(now);
        self.own.held_at = Some(now);
    }

    // True if the gateway `own` is the one to make the next trial: the least address of
    // those that hold requests back, once these know of each other.
    pub(super) fn makes_trial(&self, own: SocketAddr, now: Duration) -> bool {
        let is_known = self
            .held_since
            .is_some_and(|since| now >= since + HOLDING_TIME);
        let mut earlier = self.holders.iter().filter(|(addr, _)| **addr < own);
        is_known && earlier.all(|(_, at)| now.saturating_sub(*at) >= HOLDER_TTL)
    }

    pub(super) fn is_suspected_elsewhere(&self, now: Duration) -> bool {
        let at = self.suspected_at;
        at.is_some_and(|at| now.saturating_sub(at) < SUSPICION_TTL)
    }

    pub(super) fn is_forgotten(&self, criteria: &Criteria, now: Duration) -> bool {
        if !self.is_quarantined() {
            return self.seen_at + criteria.forget_after <= now;
        }
        // What the others tell of a quarantine is no news, or they would keep it alive
        // among themselves.
        let crash = self.all.crashes.last().map(|crash| crash.at);
        let held = self.holders.values().copied().max().max(self.own.held_at);
        let last = self.all.quarantined_at.max(crash).max(held);
        last.is_none_or(|last| last + FORGET_QUARANTINE_AFTER <= now)
    }
}
