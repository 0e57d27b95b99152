//! Quarantine of prompt parts under which upstreams crash.
//!
//! Load pattern: one part of a prompt crashes each engine that begins to answer a
//! request with it. Each repeat takes one more engine down, with all that it was
//! answering. The gateways therefore count the crashes by the parts of the requests
//! that were lost in them, and tell each other. An answer that begins clears all parts
//! of its request: sound parts that requests share with the guilty one are answered all
//! the time. Crashes at one moment count as one, since a lost rack takes many upstreams
//! down whatever they were asked. A crash that a part in quarantine explains counts
//! against no other.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Crashes without an answer after which a part is put into quarantine.
const QUARANTINE_CRASHES: usize = 5;

/// Separate moments at which these crashes must have come.
const QUARANTINE_MOMENTS: usize = 4;

/// Separate moments of crashes after which a lost request is not repeated.
const SUSPECT_MOMENTS: usize = 2;

/// Shortest time between two moments.
const MOMENT_GAP: Duration = Duration::from_millis(250);

/// Time in which two crashes of one upstream are the same one: it takes longer to start
/// again, and gateways notice a crash at different times.
const CRASH_SPAN: Duration = Duration::from_secs(1);

/// Age from which a crash counts: by then this gateway has read all connections that it
/// ended, and most others have told what they lost in it.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Age at which a crash no longer counts.
const CRASH_TTL: Duration = Duration::from_secs(20);

/// Time after which one gateway tries one request with a part in quarantine.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(3);

/// Factor by which each trial delays the next one, and the longest delay.
const TRIAL_BACKOFF: u32 = 4;
const MAX_TRIAL_DELAY: Duration = Duration::from_mins(10);

/// Time after another gateway's last report for which answers to a part are told.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// Time without news of a part after which it is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// As [`FORGET_AFTER`], for a part in quarantine.
const FORGET_QUARANTINED_AFTER: Duration = Duration::from_mins(30);

/// Most parts that are tracked.
const MAX_PARTS: usize = 4_096;

/// Most crashes that are kept of a part, the newest.
const MAX_CRASHES: usize = 128;

/// Most crashes in a report, in all and of each part.
const MAX_REPORTED_CRASHES: usize = 8;

/// Most crashes that are kept in all.
const MAX_ALL_CRASHES: usize = 256;

/// Least share of all crashes in which a part must have been there.
const MIN_CRASH_SHARE: f64 = 0.75;

/// Most parts in a report that upstreams crashed under, to leave room for the rest of a
/// datagram.
const MAX_REPORTED_SUSPECTS: usize = 4;

/// Most answered parts in a report. More of them, as one answer saves a sound part that
/// several gateways suspect.
const MAX_REPORTED_ANSWERS: usize = 16;

/// Longest id of a part that is tracked, in bytes, for the same reason.
const MAX_ID_BYTES: usize = 32;

/// Crash of an upstream while a request waited for its answer to begin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crash {
    /// Key of the upstream in reports.
    pub upstream: u32,
    /// Time on the caller's clock.
    pub at: Duration,
}

impl Crash {
    /// Returns true if both are the same crash of one upstream.
    pub fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.at.abs_diff(other.at) < CRASH_SPAN
    }
}

/// What a gateway knows of a part. Times are on the caller's clock.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PartEvidence {
    /// Crashes since the last answer, the earliest first.
    pub crashes: Vec<Crash>,
    /// Requests that one gateway lost in them, the most of any.
    pub losses: u32,
    /// Last time that an answer began.
    pub answered_at: Option<Duration>,
    /// Start of the quarantine or of its last trial, while it lasts.
    pub quarantined_at: Option<Duration>,
    /// Trials in this quarantine.
    pub trials: u32,
}

/// A part in quarantine, for operators. Times are ages in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QuarantinedPart {
    /// Id of the part.
    pub id: CompactString,
    /// Age of the quarantine, or of its last trial.
    pub since_ms: u64,
    /// Ages of the crashes that led to it, the earliest first.
    pub crashes_ms: Vec<u64>,
    /// Requests that one gateway lost in them, the most of any.
    pub losses: u32,
}

/// What a request may do, because of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent, and repeated where it is lost.
    Sound,
    /// It is sent, but not repeated.
    Suspect,
    /// It is not sent; a trial may be made after this time.
    Quarantined(Duration),
}

#[derive(Debug, Default)]
struct Part {
    /// What this gateway saw itself.
    own: PartEvidence,
    /// What all gateways saw, as far as it is known here.
    all: PartEvidence,
    /// Last news of it.
    seen_at: Duration,
    /// Last report of another gateway that suspects it, and the crashes told there.
    suspected_at: Option<Duration>,
    told_crashes: usize,
}

impl PartEvidence {
    // Adds a crash unless it is known or an answer came later.
    fn add_crash(&mut self, crash: Crash) {
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
        }
    }

    // Time of the next trial; `None` for a part that is not in quarantine.
    fn trial_at(&self) -> Option<Duration> {
        let backoff = TRIAL_BACKOFF.saturating_pow(self.trials);
        let delay = FIRST_TRIAL_AFTER.saturating_mul(backoff);
        let since = self.quarantined_at?;
        Some(since + delay.min(MAX_TRIAL_DELAY))
    }
}

impl Part {
    // Records an answer that this gateway or another one saw.
    fn record_answer(&mut self, at: Duration) {
        self.all.answered_at = self.all.answered_at.max(Some(at));
        self.all.clear(at);
        self.own.clear(at);
    }

    fn is_suspected_elsewhere(&self, now: Duration) -> bool {
        let at = self.suspected_at;
        at.is_some_and(|at| now.saturating_sub(at) < SUSPICION_TTL)
    }

    fn is_forgotten(&self, now: Duration) -> bool {
        let ttl = match self.all.quarantined_at {
            Some(_) => FORGET_QUARANTINED_AFTER,
            None => FORGET_AFTER,
        };
        self.seen_at + ttl <= now
    }
}

/// Parts under which upstreams crashed. Times are on the caller's clock.
#[derive(Debug, Default)]
pub struct Quarantine {
    parts: FxHashMap<CompactString, Part>,
    /// Recent crashes, of requests with and without parts, that this gateway saw.
    own_crashes: Vec<Crash>,
    /// Those that all gateways saw.
    all_crashes: Vec<Crash>,
}

impl Quarantine {
    /// Records that a request was lost when `crash` happened, before its answer
    /// began. `ids` are the parts of its prompt that others may share.
    pub fn record_crash<'a>(&mut self, ids: impl Iterator<Item = &'a str>, crash: Crash) {
        add_distinct(&mut self.own_crashes, crash);
        add_distinct(&mut self.all_crashes, crash);
        for id in ids.filter(|id| id.len() <= MAX_ID_BYTES) {
            let part = self.parts.entry(id.into()).or_default();
            part.seen_at = crash.at;
            part.own.losses += 1;
            part.all.losses = part.all.losses.max(part.own.losses);
            part.own.add_crash(crash);
            part.all.add_crash(crash);
        }
    }

    /// Records that the answer of a request began. Returns true if that ends a quarantine.
    pub fn record_answer<'a>(&mut self, ids: impl Iterator<Item = &'a str>, now: Duration) -> bool {
        let mut has_ended = false;
        for id in ids {
            if let Some(part) = self.parts.get_mut(id) {
                has_ended |= part.all.quarantined_at.is_some();
                part.seen_at = now;
                part.own.answered_at = Some(now);
                part.record_answer(now);
            }
        }
        has_ended
    }

    /// Adds the crashes that another gateway saw.
    pub fn receive_crashes(&mut self, crashes: impl Iterator<Item = Crash>) {
        for crash in crashes {
            add_distinct(&mut self.all_crashes, crash);
        }
    }

    /// Adds what another gateway saw of a part. Returns true if its quarantine begins
    /// here with that.
    pub fn receive(&mut self, id: &str, told: &PartEvidence, now: Duration) -> bool {
        if id.len() > MAX_ID_BYTES {
            return false;
        }
        let part = self.parts.entry(id.into()).or_default();
        part.seen_at = now;
        if !told.crashes.is_empty() || told.quarantined_at.is_some() {
            part.suspected_at = Some(now);
            part.told_crashes = told.crashes.len();
        }
        if let Some(at) = told.answered_at {
            part.record_answer(at);
        }
        for crash in &told.crashes {
            part.all.add_crash(*crash);
        }
        if !part.all.crashes.is_empty() {
            part.all.losses = part.all.losses.max(told.losses);
        }
        let answered_at = part.all.answered_at;
        let since = told
            .quarantined_at
            .filter(|since| answered_at < Some(*since));
        let is_new = since.is_some() && part.all.quarantined_at.is_none();
        part.all.quarantined_at = part.all.quarantined_at.max(since);
        if since.is_some() {
            part.all.trials = part.all.trials.max(told.trials);
        }
        is_new
    }

    /// What this gateway tells the others, by part: those in quarantine, then those with
    /// the most crashes, and answers to the parts that others suspect.
    pub fn evidence(&mut self, now: Duration) -> Vec<(CompactString, PartEvidence)> {
        self.expire(now);
        let suspects = self
            .parts
            .iter()
            .filter(|(_, part)| !part.own.crashes.is_empty() || part.own.quarantined_at.is_some());
        let mut suspects: Vec<(&CompactString, &Part)> = suspects.collect();
        suspects.sort_by_key(|(id, part)| {
            let own = &part.own;
            let is_free = own.quarantined_at.is_none();
            (
                is_free,
                std::cmp::Reverse(own.crashes.len()),
                own.losses,
                *id,
            )
        });
        let answered = self
            .parts
            .iter()
            .filter(|(_, part)| part.is_suspected_elsewhere(now) && part.own.answered_at.is_some());
        let mut answered: Vec<(&CompactString, &Part)> = answered.collect();
        answered.sort_by_key(|(id, part)| (std::cmp::Reverse(part.told_crashes), *id));
        suspects.truncate(MAX_REPORTED_SUSPECTS);
        answered.truncate(MAX_REPORTED_ANSWERS);
        answered.retain(|(id, _)| suspects.iter().all(|(known, _)| known != id));
        let told = suspects.into_iter().chain(answered);
        told.map(|(id, part)| {
            let mut own = part.own.clone();
            own.crashes = newest(&own.crashes).to_vec();
            (id.clone(), own)
        })
        .collect()
    }

    /// The newest crashes that this gateway saw.
    pub fn own_crashes(&self) -> &[Crash] {
        newest(&self.own_crashes)
    }

    /// Judges a request by its parts.
    pub fn verdict<'a>(&self, ids: impl Iterator<Item = &'a str>, now: Duration) -> Verdict {
        let mut is_suspect = false;
        let mut trial_at = None;
        for part in ids.filter_map(|id| self.parts.get(id)) {
            trial_at = trial_at.max(part.all.trial_at());
            is_suspect |= self.is_suspected(part, SUSPECT_MOMENTS, SUSPECT_MOMENTS, now);
        }
        match trial_at {
            Some(at) => Verdict::Quarantined(at.saturating_sub(now)),
            None if is_suspect => Verdict::Suspect,
            None => Verdict::Sound,
        }
    }

    /// Begins the trial of a request, if it has parts in quarantine and the time of all
    /// of them has come; returns false if not.
    pub fn begin_trial<'a>(
        &mut self,
        ids: impl Iterator<Item = &'a str> + Clone,
        now: Duration,
    ) -> bool {
        if self.verdict(ids.clone(), now) != Verdict::Quarantined(Duration::ZERO) {
            return false;
        }
        for id in ids {
            let part = self.parts.get_mut(id);
            if let Some(part) = part.filter(|part| part.all.quarantined_at.is_some()) {
                part.all.trials += 1;
                part.all.quarantined_at = Some(now);
                part.own.trials = part.all.trials;
                part.own.quarantined_at = Some(now);
            }
        }
        true
    }

    /// Parts in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = (&CompactString, &PartEvidence)> {
        let parts = self.parts.iter().map(|(id, part)| (id, &part.all));
        parts.filter(|(_, evidence)| evidence.quarantined_at.is_some())
    }

    /// Parts in quarantine at `now`, in the order of their ids.
    pub fn list(&self, now: Duration) -> Vec<QuarantinedPart> {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let parts = self.quarantined().map(|(id, evidence)| QuarantinedPart {
            id: id.clone(),
            since_ms: evidence.quarantined_at.map_or(0, age_ms),
            crashes_ms: evidence
                .crashes
                .iter()
                .map(|crash| age_ms(crash.at))
                .collect(),
            losses: evidence.losses,
        });
        let mut parts: Vec<QuarantinedPart> = parts.collect();
        parts.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        parts
    }

    /// Number of parts that are tracked.
    #[cfg(test)]
    pub(crate) fn tracked(&self) -> usize {
        self.parts.len()
    }

    /// Puts parts into quarantine, the most suspect first: what it explains counts
    /// against no other. Returns them.
    pub fn judge(&mut self, now: Duration) -> Vec<CompactString> {
        let mut suspects: Vec<(f64, CompactString)> = self
            .parts
            .iter()
            .filter(|(_, part)| {
                part.all.quarantined_at.is_none() && part.all.crashes.len() >= QUARANTINE_CRASHES
            })
            .map(|(id, part)| (suspicion(&part.all), id.clone()))
            .collect();
        suspects.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let mut begun = Vec::new();
        for (_, id) in suspects {
            let part = &self.parts[&id];
            if !self.is_suspected(part, QUARANTINE_CRASHES, QUARANTINE_MOMENTS, now) {
                continue;
            }
            if let Some(part) = self.parts.get_mut(&id) {
                part.own.quarantined_at = Some(now);
                part.all.quarantined_at = Some(now);
                begun.push(id);
            }
        }
        begun
    }

    // True if a part was there in so many crashes, at so many moments, and in enough of
    // all crashes since.
    fn is_suspected(&self, part: &Part, crashes: usize, moments: usize, now: Duration) -> bool {
        let own = self.unexplained(&part.all.crashes, now);
        if own.len() < crashes || count_moments(&own) < moments {
            return false;
        }
        let first = own[0].at.saturating_sub(MOMENT_GAP);
        let all = self.unexplained(&self.all_crashes, now);
        let all = all.iter().filter(|crash| crash.at >= first).count();
        own.len() as f64 >= all as f64 * MIN_CRASH_SHARE
    }

    // Settled recent crashes that no part in quarantine explains.
    fn unexplained(&self, crashes: &[Crash], now: Duration) -> Vec<Crash> {
        let is_explained = |crash: &Crash| {
            self.quarantined()
                .any(|(_, known)| known.crashes.iter().any(|other| other.is_same(crash)))
        };
        let is_recent = |crash: &&Crash| {
            let age = now.saturating_sub(crash.at);
            (SETTLING_TIME..CRASH_TTL).contains(&age) && !is_explained(crash)
        };
        crashes.iter().filter(is_recent).copied().collect()
    }

    fn expire(&mut self, now: Duration) {
        self.own_crashes.retain(|crash| crash.at + CRASH_TTL > now);
        self.all_crashes.retain(|crash| crash.at + CRASH_TTL > now);
        self.parts.retain(|_, part| !part.is_forgotten(now));
        if self.parts.len() > MAX_PARTS {
            let mut ages: Vec<Duration> = self.parts.values().map(|part| part.seen_at).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() - MAX_PARTS / 2];
            self.parts
                .retain(|_, part| part.seen_at >= oldest || part.all.quarantined_at.is_some());
        }
    }
}

// The crashes that a report holds.
fn newest(crashes: &[Crash]) -> &[Crash] {
    &crashes[crashes.len().saturating_sub(MAX_REPORTED_CRASHES)..]
}

// Adds a crash unless it is known; the oldest are dropped.
fn add_distinct(crashes: &mut Vec<Crash>, crash: Crash) {
    if crashes.iter().any(|known| known.is_same(&crash)) {
        return;
    }
    if crashes.len() >= MAX_ALL_CRASHES {
        crashes.remove(0);
    }
    crashes.push(crash);
}

// Crashes of a part, weighted by how often a request with it was lost in one of its
// own. Parts that requests share with the guilty one are lost in the same crashes, but
// many requests with them in each.
fn suspicion(evidence: &PartEvidence) -> f64 {
    let crashes = evidence.crashes.len() as f64;
    crashes * crashes / f64::from(evidence.losses.max(1))
}

// Number of separate moments of crashes, which are in order.
fn count_moments(crashes: &[Crash]) -> usize {
    let mut moments = 0;
    let mut last: Option<Duration> = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.at >= last + MOMENT_GAP) {
            moments += 1;
            last = Some(crash.at);
        }
    }
    moments
}
