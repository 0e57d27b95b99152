//! What upstreams crash under: what requests say of it, and what the other gateways do.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::sleep;

use super::Traffic;
use crate::peer::message::{CrashSubject, RelayReport, UpstreamCrash};
use crate::relay::loads::upstream_digest;
use crate::relay::quarantine::{
    Crash, CrashEvidence, QuarantinedSubject, Subject, SubjectKind, Verdict,
};
use crate::relay::view::{Upstream, UpstreamKey};

/// Time after a loss at which the upstream is asked for a connection: one that has
/// crashed does not listen then, and one that only closed a connection does.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);

/// Time limit for that connection.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);

/// A request that was lost without its whole answer.
#[derive(Debug)]
pub(in crate::relay) struct LostRequest {
    /// What the crash may be due to.
    pub(in crate::relay) subjects: Vec<Subject>,
    /// Route and team, for operators.
    pub(in crate::relay) label: CompactString,
    /// Time of the loss.
    pub(in crate::relay) at: Duration,
    /// Time since it was sent.
    pub(in crate::relay) after: Duration,
}

impl Traffic {
    /// Records that a request was lost, once it is confirmed that the upstream has
    /// crashed.
    pub(in crate::relay) fn record_crash(
        self: &Rc<Self>,
        lost: LostRequest,
        key: UpstreamKey,
        upstream: &Upstream,
    ) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let waiting = unconfirmed.entry(key).or_default();
        waiting.push(lost);
        if waiting.len() > 1 {
            return;
        }
        actix_rt::spawn(Rc::clone(self).confirm_crash(key, upstream.clone()));
    }

    async fn confirm_crash(self: Rc<Self>, key: UpstreamKey, upstream: Upstream) {
        sleep(CONFIRMATION_DELAY).await;
        let opened = self.connect(upstream.addr, CONFIRMATION_TIMEOUT).await;
        self.metrics.connections.inc();
        let lost = self.unconfirmed.borrow_mut().remove(&key);
        if let Err(error) = opened {
            tracing::info!(upstream = %upstream.name, %error, "upstream crashed while requests waited for their answers");
            self.fleet.borrow_mut().forget_prompts(key);
            self.count_crash(&upstream, lost.unwrap_or_default());
        }
        self.crash_confirmed.notify_waiters();
    }

    fn count_crash(&self, upstream: &Upstream, lost: Vec<LostRequest>) {
        let digest = upstream_digest(&upstream.name);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.set_upstreams(self.view().upstreams.len());
        for lost in lost {
            let crash = Crash {
                upstream: digest,
                at: lost.at,
                after: lost.after,
                chance: 1.0,
            };
            quarantine.record_crash(&lost.subjects, crash);
            for subject in lost
                .subjects
                .iter()
                .filter(|subject| subject.kind() == SubjectKind::Request)
            {
                quarantine.set_label(subject, &lost.label);
                tracing::info!(upstream = %upstream.name, fingerprint = %subject, route = %lost.label, "request was lost in the crash of its upstream");
            }
        }
        drop(quarantine);
        self.judge_subjects();
        self.load_changed.notify_one();
    }

    /// Waits until it is known whether these upstreams, which lost requests, have crashed.
    pub(in crate::relay) async fn crashes_confirmed(&self, keys: &[UpstreamKey]) {
        loop {
            let confirmed = self.crash_confirmed.notified();
            let is_open = |key| self.unconfirmed.borrow().contains_key(key);
            if !keys.iter().any(is_open) {
                return;
            }
            confirmed.await;
        }
    }

    /// Records an answer to a request: for its parts when it begins, for itself when it
    /// has ended whole.
    pub(in crate::relay) fn record_subject_answer(&self, subjects: &[Subject]) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.record_answer(subjects, now) {
            let subjects: Vec<String> = subjects.iter().map(Subject::to_string).collect();
            tracing::warn!(?subjects, "answer ended a quarantine");
        }
    }

    /// Returns true if upstreams crashed under anything, so that requests must be judged.
    pub(in crate::relay) fn has_suspects(&self) -> bool {
        !self.quarantine.borrow().is_empty()
    }

    /// Judges a request by its subjects. One gateway of those that hold requests back
    /// makes the trials, so that they stay rare over all gateways; with `may_try` this
    /// request may be one.
    pub(in crate::relay) fn judge_request(&self, subjects: &[Subject], may_try: bool) -> Verdict {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let verdict = quarantine.verdict(subjects, now);
        if !matches!(verdict, Verdict::Quarantined(_)) {
            return verdict;
        }
        let makes_trial = quarantine.record_held(subjects, self.own_addr, now);
        if may_try && makes_trial && quarantine.begin_trial(subjects, now) {
            let subjects: Vec<String> = subjects.iter().map(Subject::to_string).collect();
            tracing::info!(?subjects, "trial of a request in quarantine");
            self.load_changed.notify_one();
            return Verdict::Trial;
        }
        self.metrics.held_requests.inc();
        verdict
    }

    /// Ends a trial that began at `begun` without an answer, once it is known whether an
    /// upstream crashed under it.
    pub(in crate::relay) fn end_trial(self: &Rc<Self>, subjects: Vec<Subject>, begun: Duration) {
        let traffic = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(CONFIRMATION_DELAY + CONFIRMATION_TIMEOUT).await;
            traffic.quarantine.borrow_mut().end_trial(&subjects, begun);
            traffic.load_changed.notify_one();
        });
    }

    // Judges all subjects by all that is known.
    fn judge_subjects(&self) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        for subject in quarantine.judge(now) {
            let listed = quarantine.list(now).into_iter();
            let id = subject.to_string();
            for known in listed.filter(|known| known.id == id) {
                let crashes = known.crashes_ms.len();
                match subject.kind() {
                    SubjectKind::Part => {
                        tracing::warn!(part = %id, crashes, "prompt part put into quarantine: upstreams crash under it");
                    }
                    SubjectKind::Request => {
                        tracing::warn!(fingerprint = %id, route = %known.label, crashes, "request put into quarantine: upstreams crash under it");
                    }
                }
            }
        }
        let count = |kind| {
            let held = quarantine.quarantined();
            held.filter(|(subject, _)| subject.kind() == kind).count() as i64
        };
        self.metrics.quarantined_parts.set(count(SubjectKind::Part));
        self.metrics
            .quarantined_requests
            .set(count(SubjectKind::Request));
    }

    /// Adds what this gateway knows of crashes to its report.
    pub(in crate::relay) fn report_crashes(&self, report: &mut RelayReport) {
        self.judge_subjects();
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        for (subject, evidence) in quarantine.evidence(now) {
            let encoded = encode(&subject, &evidence, now);
            match subject.kind() {
                SubjectKind::Part => report.parts.push(encoded),
                SubjectKind::Request => report.requests.push(encoded),
            }
        }
        let crashes = quarantine.own_crashes().iter();
        report.crashes = crashes.map(|crash| encode_crash(crash, now)).collect();
    }

    /// Subjects in quarantine, for operators.
    pub(in crate::relay) fn quarantined_subjects(&self) -> Vec<QuarantinedSubject> {
        self.quarantine.borrow().list(self.now())
    }

    /// Records what another gateway saw.
    pub(super) fn receive_crashes(&self, report: &RelayReport, from: SocketAddr) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let crashes = report.crashes.iter();
        quarantine.receive_crashes(crashes.map(|crash| decode_crash(*crash, now)));
        let parts = report.parts.iter();
        let parts = parts.map(|told| (Subject::part(&told.id), told));
        let requests = report.requests.iter();
        let requests = requests.map(|told| (told.id.parse().ok().map(Subject::Request), told));
        for (subject, told) in parts.chain(requests) {
            let Some(subject) = subject else {
                tracing::debug!(%from, id = %told.id, "subject of crashes ignored: its id is malformed or too long");
                continue;
            };
            if quarantine.receive(&subject, &decode(told, now), from, now) {
                tracing::warn!(%subject, crashes = told.crashes.len(), %from, "another gateway has put a request or prompt part into quarantine");
            }
        }
    }
}

fn encode(subject: &Subject, evidence: &CrashEvidence, now: Duration) -> CrashSubject {
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
    let crashes = evidence.crashes.iter();
    CrashSubject {
        id: subject.to_string(),
        crashes: crashes.map(|crash| encode_crash(crash, now)).collect(),
        losses: evidence.losses,
        answered_age_ms: evidence.answered_at.map(age_ms),
        quarantined_age_ms: evidence.quarantined_at.map(age_ms),
        trials: evidence.trials,
        void_trials: evidence.void_trials,
        held_age_ms: evidence.held_at.map(age_ms),
    }
}

fn encode_crash(crash: &Crash, now: Duration) -> UpstreamCrash {
    UpstreamCrash {
        upstream: crash.upstream,
        age_ms: now.saturating_sub(crash.at).as_millis() as u32,
        after_ms: crash.after.as_millis() as u32,
        chance: crash.chance as f32,
    }
}

fn decode(told: &CrashSubject, now: Duration) -> CrashEvidence {
    let crashes = told.crashes.iter();
    let at = |age_ms: Option<u32>| age_ms.map(|age_ms| time_of(age_ms, now));
    CrashEvidence {
        crashes: crashes.map(|crash| decode_crash(*crash, now)).collect(),
        losses: told.losses,
        answered_at: at(told.answered_age_ms),
        quarantined_at: at(told.quarantined_age_ms),
        trials: told.trials,
        void_trials: told.void_trials,
        held_at: at(told.held_age_ms),
    }
}

fn decode_crash(crash: UpstreamCrash, now: Duration) -> Crash {
    Crash {
        upstream: crash.upstream,
        at: time_of(crash.age_ms, now),
        after: Duration::from_millis(crash.after_ms.into()),
        chance: f64::from(crash.chance).clamp(0.0, 1.0),
    }
}

fn time_of(age_ms: u32, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}
