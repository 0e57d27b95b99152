//! Judgement of subjects by the crashes that all gateways saw.

use std::time::Duration;

use super::Quarantine;
use super::evidence::{Crash, CrashEvidence, Entry};
use super::subject::{Subject, Test};

/// Shortest time between two moments.
const MOMENT_GAP: Duration = Duration::from_millis(250);

/// Least crashes that can show anything.
const MIN_SEQUENTIAL_CRASHES: usize = 2;

/// Time before a crash over which the rate of crashes is taken.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// Least rate of crashes of one upstream, per second.
const MIN_CRASH_RATE: f64 = 0.005;

/// Least chance of a crash.
const MIN_CHANCE: f64 = 0.01;

/// Settled recent crashes that nothing in quarantine explains.
struct SeenCrashes {
    /// Those of a subject, the earliest first.
    own: Vec<Crash>,
    all: Vec<Crash>,
}

impl SeenCrashes {
    fn pass(&self, test: Test) -> bool {
        match test {
            Test::Share {
                crashes,
                moments,
                share,
            } => {
                self.own.len() >= crashes
                    && count_moments(&self.own) >= moments
                    && self.share() >= share
            }
            Test::Chance(chance) => {
                let chances = sequential_chances(&self.own);
                chances.len() >= MIN_SEQUENTIAL_CRASHES && combined_chance(&chances) <= chance
            }
        }
    }

    // Share of the subject's crashes in all crashes since its first one.
    fn share(&self) -> f64 {
        let first = self.own.first().map_or(Duration::ZERO, |crash| crash.at);
        let from = first.saturating_sub(MOMENT_GAP);
        let all = self.all.iter().filter(|crash| crash.at >= from).count();
        self.own.len() as f64 / all.max(1) as f64
    }
}

impl Quarantine {
    /// Puts subjects into quarantine, the most suspect first: what it explains counts
    /// against no other. Returns them.
    pub fn judge(&mut self, now: Duration) -> Vec<Subject> {
        let entries = self.entries.iter();
        let suspects = entries.filter(|(_, entry)| {
            !entry.is_quarantined() && entry.all.crashes.len() >= MIN_SEQUENTIAL_CRASHES
        });
        let mut suspects: Vec<(bool, f64, Subject)> = suspects
            .map(|(subject, entry)| {
                let is_part = matches!(subject, Subject::Part(_));
                (is_part, suspicion(&entry.all), subject.clone())
            })
            .collect();
        // A part is judged once it is known which of its requests explain its crashes.
        suspects.sort_unstable_by(|a, b| {
            let order = a.0.cmp(&b.0).then_with(|| b.1.total_cmp(&a.1));
            order.then_with(|| a.2.cmp(&b.2))
        });
        let mut begun = Vec::new();
        for (_, _, subject) in suspects {
            if !self.is_guilty(&subject, &self.entries[&subject], now) {
                continue;
            }
            if let Some(entry) = self.entries.get_mut(&subject) {
                entry.begin_quarantine(now);
                begun.push(subject);
            }
        }
        begun
    }

    fn is_guilty(&self, subject: &Subject, entry: &Entry, now: Duration) -> bool {
        let seen = self.seen_crashes(subject, entry, now);
        seen.pass(subject.criteria().quarantine)
    }

    // True if lost requests of the subject must not be repeated.
    pub(super) fn is_suspect(&self, subject: &Subject, entry: &Entry, now: Duration) -> bool {
        entry.is_repeated()
            && self
                .seen_crashes(subject, entry, now)
                .pass(subject.criteria().suspicion)
    }

    // Chance that a sound request would have been lost in a crash, from the time for which
    // it was at the upstream and the rate of crashes under other requests. Where that is
    // low a single upstream may still crash.
    pub(super) fn chance(&self, subject: &Subject, crash: &Crash) -> f64 {
        let own = self.entries.get(subject).map(|entry| &entry.all);
        let others = self.all_crashes.iter().filter(|other| {
            let is_recent = other.at + RATE_WINDOW > crash.at;
            is_recent && !other.is_same(crash) && !own.is_some_and(|own| has_crash(own, other))
        });
        let upstream_seconds = self.upstreams.max(1) as f64 * RATE_WINDOW.as_secs_f64();
        let rate = (others.count() as f64 / upstream_seconds).max(MIN_CRASH_RATE);
        let chance = 1.0 - (-rate * crash.after.as_secs_f64()).exp();
        chance.max(MIN_CHANCE)
    }

    fn seen_crashes(&self, subject: &Subject, entry: &Entry, now: Duration) -> SeenCrashes {
        let criteria = subject.criteria();
        let explaining = match subject {
            Subject::Part(_) => self.explaining(&entry.all),
            Subject::Request(_) => Vec::new(),
        };
        let unexplained = |crashes: &[Crash]| {
            let counts = |crash: &&Crash| {
                let age = now.saturating_sub(crash.at);
                let is_explained = explaining.iter().any(|known| has_crash(known, crash));
                (criteria.settling_time..criteria.crash_ttl).contains(&age) && !is_explained
            };
            crashes.iter().filter(counts).copied().collect()
        };
        SeenCrashes {
            own: unexplained(&entry.all.crashes),
            all: unexplained(&self.all_crashes),
        }
    }

    // Quarantines that explain the crashes of a part: those of other parts, and that of a
    // request. Where several requests in quarantine share a part, that is what they have
    // in common.
    fn explaining(&self, part: &CrashEvidence) -> Vec<&CrashEvidence> {
        let mut explaining = Vec::new();
        let mut requests = Vec::new();
        for (subject, evidence) in self.quarantined() {
            match subject {
                Subject::Part(_) => explaining.push(evidence),
                Subject::Request(_) => {
                    if part.crashes.iter().any(|crash| has_crash(evidence, crash)) {
                        requests.push(evidence);
                    }
                }
            }
        }
        if requests.len() == 1 {
            explaining.append(&mut requests);
        }
        explaining
    }
}

fn has_crash(evidence: &CrashEvidence, crash: &Crash) -> bool {
    evidence.crashes.iter().any(|known| known.is_same(crash))
}

// Crashes of a subject, weighted by how often one of its requests was lost in one of its
// own. Parts that requests share with the guilty one are lost in the same crashes, but
// many requests with them in each.
fn suspicion(evidence: &CrashEvidence) -> f64 {
    let crashes = evidence.crashes.len() as f64;
    crashes * crashes / f64::from(evidence.losses.max(1))
}

// Number of separate moments of crashes, which are in order.
fn count_moments(crashes: &[Crash]) -> usize {
    let is_later = |last: Duration, crash: &Crash| crash.at >= last + MOMENT_GAP;
    spaced(crashes, is_later).count()
}

// Chances of the crashes whose requests were sent after the one before. Copies of a request
// that were under way at the same time are lost in one wave.
fn sequential_chances(crashes: &[Crash]) -> Vec<f64> {
    let is_later = |last: Duration, crash: &Crash| crash.sent_at() >= last;
    spaced(crashes, is_later)
        .map(|crash| crash.chance)
        .collect()
}

// Chance that the product of as many chances is as small (Fisher, 1932).
fn combined_chance(chances: &[f64]) -> f64 {
    let product: f64 = chances.iter().product();
    let mut term = 1.0;
    let mut sum = 0.0;
    for number in 1..=chances.len() {
        sum += term;
        term *= -product.ln() / number as f64;
    }
    product * sum
}

// The first crash, and each that `is_later` than the one before.
fn spaced(
    crashes: &[Crash],
    is_later: impl Fn(Duration, &Crash) -> bool,
) -> impl Iterator<Item = &Crash> {
    let mut last: Option<Duration> = None;
    crashes.iter().filter(move |crash| {
        let is_next = last.is_none_or(|last| is_later(last, crash));
        if is_next {
            last = Some(crash.at);
        }
        is_next
    })
}
