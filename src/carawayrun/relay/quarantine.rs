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
const QUARANTINE_CRASHES: usize = 4;

/// Separate moments at which these crashes must have come.
const QUARANTINE_MOMENTS: usize = 3;

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
const TRIAL_INTERVAL: Duration = Duration::from_mins(1);

/// Time without news of a part after which it is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// As [`FORGET_AFTER`], for a part in quarantine.
const FORGET_QUARANTINED_AFTER: Duration = Duration::from_mins(10);

/// Most parts that are tracked.
const MAX_PARTS: usize = 4_096;

/// Most crashes that are kept of a part.
const MAX_CRASHES: usize = 16;

/// Most crashes of a part in a report.
const MAX_REPORTED_CRASHES: usize = 8;

/// Most parts in a report, to leave room for the rest of a datagram.
const MAX_REPORTED_PARTS: usize = 6;

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
    fn is_same(&self, other: &Self) -> bool {
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
    evidence: PartEvidence,
    /// Requests that this gateway lost.
    own_losses: u32,
    /// Last news of it.
    seen_at: Duration,
    /// Last report of another gateway.
    reported_at: Option<Duration>,
}

impl Part {
    // Adds a crash unless it is known or an answer came later; keeps the earliest.
    fn add_crash(&mut self, crash: Crash) {
        let is_answered = self.evidence.answered_at.is_some_and(|at| at >= crash.at);
        let crashes = &mut self.evidence.crashes;
        if is_answered || crashes.iter().any(|known| known.is_same(&crash)) {
            return;
        }
        let index = crashes.partition_point(|known| known.at <= crash.at);
        crashes.insert(index, crash);
        crashes.truncate(MAX_CRASHES);
    }

    fn record_answer(&mut self, at: Duration) {
        self.evidence.answered_at = self.evidence.answered_at.max(Some(at));
        self.evidence.crashes.retain(|crash| crash.at > at);
        if self.evidence.crashes.is_empty() {
            self.evidence.losses = 0;
            self.own_losses = 0;
        }
        self.evidence.quarantined_at = self.evidence.quarantined_at.filter(|since| *since > at);
    }

    fn is_forgotten(&self, now: Duration) -> bool {
        let ttl = match self.evidence.quarantined_at {
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
}

impl Quarantine {
    /// Records that a request was lost when `crash` happened, before its answer
    /// began. `ids` are the parts of its prompt that others may share.
    pub fn record_crash<'a>(&mut self, ids: impl Iterator<Item = &'a str>, crash: Crash) {
        for id in ids.filter(|id| id.len() <= MAX_ID_BYTES) {
            let part = self.parts.entry(id.into()).or_default();
            part.seen_at = crash.at;
            part.own_losses += 1;
            part.evidence.losses = part.evidence.losses.max(part.own_losses);
            part.add_crash(crash);
        }
    }

    /// Records that the answer of a request began.
    pub fn record_answer<'a>(&mut self, ids: impl Iterator<Item = &'a str>, now: Duration) {
        for id in ids {
            if let Some(part) = self.parts.get_mut(id) {
                part.seen_at = now;
                part.record_answer(now);
            }
        }
    }

    /// Adds what another gateway knows of a part. Returns true if its quarantine begins
    /// here with that.
    pub fn receive(&mut self, id: &str, told: &PartEvidence, now: Duration) -> bool {
        if id.len() > MAX_ID_BYTES {
            return false;
        }
        let part = self.parts.entry(id.into()).or_default();
        part.seen_at = now;
        part.reported_at = Some(now);
        if let Some(at) = told.answered_at {
            part.record_answer(at);
        }
        for crash in &told.crashes {
            part.add_crash(*crash);
        }
        if !part.evidence.crashes.is_empty() {
            part.evidence.losses = part.evidence.losses.max(told.losses);
        }
        let answered_at = part.evidence.answered_at;
        let since = told
            .quarantined_at
            .filter(|since| answered_at < Some(*since));
        let is_new = since.is_some() && part.evidence.quarantined_at.is_none();
        part.evidence.quarantined_at = part.evidence.quarantined_at.max(since);
        is_new
    }

    /// What this gateway tells the others, by part: those in quarantine, then those with
    /// the most crashes, and answers to the parts that others suspect.
    pub fn evidence(&mut self, now: Duration) -> Vec<(CompactString, PartEvidence)> {
        self.expire(now);
        let is_told = |part: &Part| {
            let is_watched = part
                .reported_at
                .is_some_and(|at| now.saturating_sub(at) < FORGET_AFTER);
            let evidence = &part.evidence;
            !evidence.crashes.is_empty()
                || evidence.quarantined_at.is_some()
                || is_watched && evidence.answered_at.is_some()
        };
        let parts = self.parts.iter().filter(|(_, part)| is_told(part));
        let mut told: Vec<(&CompactString, &Part)> = parts.collect();
        told.sort_by_key(|(id, part)| {
            let evidence = &part.evidence;
            let is_free = evidence.quarantined_at.is_none();
            (
                is_free,
                std::cmp::Reverse(evidence.crashes.len()),
                evidence.losses,
                *id,
            )
        });
        told.truncate(MAX_REPORTED_PARTS);
        let told = told.into_iter();
        told.map(|(id, part)| {
            let mut evidence = part.evidence.clone();
            evidence.crashes.truncate(MAX_REPORTED_CRASHES);
            (id.clone(), evidence)
        })
        .collect()
    }

    /// Judges a request by its parts.
    pub fn verdict<'a>(&self, ids: impl Iterator<Item = &'a str>, now: Duration) -> Verdict {
        let mut verdict = Verdict::Sound;
        for part in ids.filter_map(|id| self.parts.get(id)) {
            if let Some(since) = part.evidence.quarantined_at {
                let left = (since + TRIAL_INTERVAL).saturating_sub(now);
                return Verdict::Quarantined(left);
            }
            if count_moments(&self.unexplained(part, now)) >= SUSPECT_MOMENTS {
                verdict = Verdict::Suspect;
            }
        }
        verdict
    }

    /// Begins the trial of a request with parts whose time has come; returns false if
    /// there is none.
    pub fn begin_trial<'a>(&mut self, ids: impl Iterator<Item = &'a str>, now: Duration) -> bool {
        let mut has_begun = false;
        for id in ids {
            let Some(part) = self.parts.get_mut(id) else {
                continue;
            };
            if let Some(since) = part.evidence.quarantined_at {
                if since + TRIAL_INTERVAL > now {
                    return false;
                }
                part.evidence.quarantined_at = Some(now);
                has_begun = true;
            }
        }
        has_begun
    }

    /// Parts in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = (&CompactString, &PartEvidence)> {
        let parts = self.parts.iter().map(|(id, part)| (id, &part.evidence));
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
    pub fn tracked(&self) -> usize {
        self.parts.len()
    }

    /// Puts parts into quarantine, the most suspect first: what it explains counts
    /// against no other. Returns them.
    pub fn judge(&mut self, now: Duration) -> Vec<CompactString> {
        let mut suspects: Vec<(f64, CompactString)> = self
            .parts
            .iter()
            .filter(|(_, part)| {
                let evidence = &part.evidence;
                evidence.quarantined_at.is_none() && evidence.crashes.len() >= QUARANTINE_CRASHES
            })
            .map(|(id, part)| (suspicion(&part.evidence), id.clone()))
            .collect();
        suspects.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let mut begun = Vec::new();
        for (_, id) in suspects {
            let crashes = self.unexplained(&self.parts[&id], now);
            if crashes.len() < QUARANTINE_CRASHES || count_moments(&crashes) < QUARANTINE_MOMENTS {
                continue;
            }
            if let Some(part) = self.parts.get_mut(&id) {
                part.evidence.quarantined_at = Some(now);
                begun.push(id);
            }
        }
        begun
    }

    // Settled recent crashes of a part that no part in quarantine explains.
    fn unexplained(&self, part: &Part, now: Duration) -> Vec<Crash> {
        let is_explained = |crash: &Crash| {
            self.quarantined()
                .any(|(_, known)| known.crashes.iter().any(|other| other.is_same(crash)))
        };
        let recent = part.evidence.crashes.iter().copied();
        recent
            .filter(|crash| {
                let age = now.saturating_sub(crash.at);
                (SETTLING_TIME..CRASH_TTL).contains(&age) && !is_explained(crash)
            })
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        self.parts.retain(|_, part| !part.is_forgotten(now));
        if self.parts.len() > MAX_PARTS {
            let mut ages: Vec<Duration> = self.parts.values().map(|part| part.seen_at).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() - MAX_PARTS / 2];
            self.parts
                .retain(|_, part| part.seen_at >= oldest || part.evidence.quarantined_at.is_some());
        }
    }
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
