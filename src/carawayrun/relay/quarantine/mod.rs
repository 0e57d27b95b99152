//! Quarantine of requests and prompt parts under which upstreams crash.
//!
//! Load pattern: one part of a prompt, or one request that comes again and again, crashes
//! each upstream that begins to work on it. Each repeat takes one more upstream down, with
//! all that it was answering. The gateways therefore count the crashes by the requests that
//! were lost in them and by the parts of these, and tell each other. An answer clears its
//! subjects: sound parts that requests share with the guilty one are answered all the time,
//! and a sound request is answered whole sooner or later. Crashes at one moment count as
//! one for a part, since a lost rack takes many upstreams down whatever they were asked. A
//! crash that a part or a request in quarantine explains counts against no other part.

mod evidence;
mod judge;
mod subject;

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use self::evidence::Entry;
pub use self::evidence::{Crash, CrashEvidence};
pub use self::subject::{Subject, SubjectKind};

/// Age at which a crash no longer counts among all crashes.
const CRASH_TTL: Duration = Duration::from_secs(20);

/// Most subjects that are tracked.
const MAX_SUBJECTS: usize = 4_096;

/// Most crashes in a report, in all and of each subject.
const MAX_REPORTED_CRASHES: usize = 8;

/// Most crashes that are kept in all.
const MAX_ALL_CRASHES: usize = 256;

/// Most subjects in a report that upstreams crashed under, of each kind, to leave room
/// for the rest of a datagram.
const MAX_REPORTED_SUSPECTS: usize = 4;

/// Most answered subjects in a report. More of them, as one answer saves a sound part
/// that several gateways suspect.
const MAX_REPORTED_ANSWERS: usize = 16;

/// Retry delay of a request of which all trials were made.
const LAST_RETRY_AFTER: Duration = Duration::from_mins(1);

/// What a request may do, because of its subjects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent, and repeated where it is lost.
    Sound,
    /// It is sent, but not repeated.
    Suspect,
    /// It is sent once, to see whether its quarantine can end.
    Trial,
    /// It is not sent; a trial may be made after this time.
    Quarantined(Duration),
}

/// A subject in quarantine, for operators. Times are ages in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QuarantinedSubject {
    /// Whether it is a part or a request.
    pub kind: SubjectKind,
    /// Id of the part, or fingerprint of the request.
    pub id: CompactString,
    /// Route and team of the request, if this gateway saw one.
    pub label: CompactString,
    /// Age of the quarantine, or of its last trial.
    pub since_ms: u64,
    /// Trials so far.
    pub trials: u32,
    /// Ages of the crashes that led to it, the earliest first.
    pub crashes_ms: Vec<u64>,
    /// Requests that one gateway lost in them, the most of any.
    pub losses: u32,
}

/// Subjects under which upstreams crashed. Times are on the caller's clock.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: FxHashMap<Subject, Entry>,
    /// Recent crashes, of requests with and without parts, that this gateway saw.
    own_crashes: Vec<Crash>,
    /// Those that all gateways saw.
    all_crashes: Vec<Crash>,
    upstreams: usize,
}

impl Quarantine {
    /// Returns true if nothing is tracked, so that each request is sound.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request was lost when `crash` happened. Its parts are among the
    /// `subjects` if its answer had not begun.
    pub fn record_crash(&mut self, subjects: &[Subject], crash: Crash) {
        add_distinct(&mut self.own_crashes, crash);
        add_distinct(&mut self.all_crashes, crash);
        for subject in subjects {
            let chance = self.chance(subject, &crash);
            self.entry(subject).record_crash(Crash { chance, ..crash });
        }
    }

    /// Sets the number of upstreams, over which crashes are spread by chance.
    pub fn set_upstreams(&mut self, upstreams: usize) {
        self.upstreams = upstreams;
    }

    /// Describes a subject to operators, if it is tracked.
    pub fn set_label(&mut self, subject: &Subject, label: &str) {
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.label = label.into();
        }
    }

    /// Records an answer: that of a part when it begins, that of a request when it has
    /// ended whole. Returns true if that ends a quarantine.
    pub fn record_answer(&mut self, subjects: &[Subject], now: Duration) -> bool {
        let mut has_ended = false;
        for subject in subjects {
            if let Some(entry) = self.entries.get_mut(subject) {
                has_ended |= entry.is_quarantined();
                entry.seen_at = now;
                entry.own.answered_at = Some(now);
                entry.record_answer(now);
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

    /// Adds what the gateway `from` told of a subject. Returns true if its quarantine
    /// begins here with that.
    pub fn receive(
        &mut self,
        subject: &Subject,
        told: &CrashEvidence,
        from: SocketAddr,
        now: Duration,
    ) -> bool {
        if !told.is_suspicion() && !self.entries.contains_key(subject) {
            return false;
        }
        let entry = self.entry(subject);
        entry.seen_at = now;
        entry.receive(told, from, now)
    }

    /// What this gateway tells the others, by subject: those in quarantine and those that
    /// upstreams crashed under, in turn, and answers to what others suspect.
    pub fn evidence(&mut self, now: Duration) -> Vec<(Subject, CrashEvidence)> {
        self.expire(now);
        let mut told = self.reported_suspects(SubjectKind::Part, now);
        told.extend(self.reported_suspects(SubjectKind::Request, now));
        for subject in self.reported_answers(now) {
            if !told.contains(&subject) {
                told.push(subject);
            }
        }
        let report = |subject: Subject| {
            let entry = self.entries.get_mut(&subject)?;
            entry.reported_at = now;
            let evidence = entry.report(MAX_REPORTED_CRASHES);
            Some((subject, evidence))
        };
        told.into_iter().filter_map(report).collect()
    }

    // Subjects to tell: those in quarantine or suspect before single crashes, and of
    // these the ones that were not told for longest.
    fn reported_suspects(&self, kind: SubjectKind, now: Duration) -> Vec<Subject> {
        let entries = self
            .entries
            .iter()
            .filter(|(other, _)| other.kind() == kind);
        let suspects = entries.filter_map(|(subject, entry)| {
            let last = entry.own.crashes.last();
            let is_recent = last.is_some_and(|crash| crash.at + CRASH_TTL > now);
            let counts = last.is_some_and(|crash| crash.at + subject.criteria().crash_ttl > now);
            let is_major = entry.is_quarantined() || (counts && entry.is_repeated());
            (is_major || is_recent).then_some((!is_major, entry.reported_at, subject))
        });
        let mut suspects: Vec<(bool, Duration, &Subject)> = suspects.collect();
        suspects.sort_unstable();
        let suspects = suspects.into_iter().take(MAX_REPORTED_SUSPECTS);
        suspects.map(|(_, _, subject)| subject.clone()).collect()
    }

    fn reported_answers(&self, now: Duration) -> Vec<Subject> {
        let entries = self.entries.iter();
        let answered = entries.filter(|(_, entry)| {
            entry.is_suspected_elsewhere(now) && entry.own.answered_at.is_some()
        });
        let mut answered: Vec<(&Subject, &Entry)> = answered.collect();
        answered.sort_by_key(|(subject, entry)| (Reverse(entry.told_crashes), *subject));
        let answered = answered.into_iter().take(MAX_REPORTED_ANSWERS);
        answered.map(|(subject, _)| subject.clone()).collect()
    }

    /// The newest crashes that this gateway saw.
    pub fn own_crashes(&self) -> &[Crash] {
        let first = self.own_crashes.len().saturating_sub(MAX_REPORTED_CRASHES);
        &self.own_crashes[first..]
    }

    /// Judges a request by its subjects.
    pub fn verdict(&self, subjects: &[Subject], now: Duration) -> Verdict {
        let mut is_suspect = false;
        let mut trial_at = None;
        for subject in subjects {
            let Some(entry) = self.entries.get(subject) else {
                continue;
            };
            let criteria = subject.criteria();
            trial_at = trial_at.max(entry.all.trial_at(criteria));
            is_suspect |= self.is_suspect(subject, entry, now);
        }
        match trial_at {
            Some(Duration::MAX) => Verdict::Quarantined(LAST_RETRY_AFTER),
            Some(at) => Verdict::Quarantined(at.saturating_sub(now)),
            None if is_suspect => Verdict::Suspect,
            None => Verdict::Sound,
        }
    }

    /// Records that a request was held back for its subjects in quarantine. Returns true
    /// if the gateway `own` is to make the next trial of all of them.
    pub fn record_held(&mut self, subjects: &[Subject], own: SocketAddr, now: Duration) -> bool {
        let mut makes_trial = true;
        for subject in subjects {
            let entry = self.entries.get_mut(subject);
            if let Some(entry) = entry.filter(|entry| entry.is_quarantined()) {
                entry.record_held(now);
                makes_trial &= entry.makes_trial(own, now);
            }
        }
        makes_trial
    }

    /// Begins the trial of a request, if it has subjects in quarantine and the time of all
    /// of them has come; returns false if not.
    pub fn begin_trial(&mut self, subjects: &[Subject], now: Duration) -> bool {
        if self.verdict(subjects, now) != Verdict::Quarantined(Duration::ZERO) {
            return false;
        }
        for subject in subjects {
            let entry = self.entries.get_mut(subject);
            if let Some(entry) = entry.filter(|entry| entry.is_quarantined()) {
                entry.begin_trial(now);
            }
        }
        true
    }

    /// Records that the trial that had begun by `begun` ended without an answer, and that it
    /// is known whether an upstream crashed under it. If none did, it does not count.
    pub fn end_trial(&mut self, subjects: &[Subject], begun: Duration) {
        for subject in subjects {
            if let Some(entry) = self.entries.get_mut(subject) {
                entry.end_trial(begun);
            }
        }
    }

    /// Subjects in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Subject, &CrashEvidence)> {
        let entries = self.entries.iter();
        let held = entries.filter(|(_, entry)| entry.is_quarantined());
        held.map(|(subject, entry)| (subject, &entry.all))
    }

    /// Subjects in quarantine at `now`, in the order of their ids.
    pub fn list(&self, now: Duration) -> Vec<QuarantinedSubject> {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let entries = self.entries.iter();
        let held = entries.filter(|(_, entry)| entry.is_quarantined());
        let mut listed: Vec<(&Subject, &Entry)> = held.collect();
        listed.sort_unstable_by_key(|(subject, _)| *subject);
        let listed = listed.into_iter();
        listed
            .map(|(subject, entry)| QuarantinedSubject {
                kind: subject.kind(),
                id: CompactString::from(subject.to_string()),
                label: entry.label.clone(),
                since_ms: entry.all.quarantined_at.map_or(0, age_ms),
                trials: entry.all.trials,
                crashes_ms: entry
                    .all
                    .crashes
                    .iter()
                    .map(|crash| age_ms(crash.at))
                    .collect(),
                losses: entry.all.losses,
            })
            .collect()
    }

    /// Number of subjects that are tracked.
    #[cfg(test)]
    pub(crate) fn tracked(&self) -> usize {
        self.entries.len()
    }

    fn entry(&mut self, subject: &Subject) -> &mut Entry {
        self.entries.entry(subject.clone()).or_default()
    }

    fn expire(&mut self, now: Duration) {
        self.own_crashes.retain(|crash| crash.at + CRASH_TTL > now);
        self.all_crashes.retain(|crash| crash.at + CRASH_TTL > now);
        self.entries
            .retain(|subject, entry| !entry.is_forgotten(subject.criteria(), now));
        if self.entries.len() > MAX_SUBJECTS {
            let mut ages: Vec<Duration> =
                self.entries.values().map(|entry| entry.seen_at).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() - MAX_SUBJECTS / 2];
            self.entries
                .retain(|_, entry| entry.seen_at >= oldest || entry.is_quarantined());
        }
    }
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
