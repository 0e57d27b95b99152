//! Prompt parts under which upstreams crash: what requests say of them, and what the
//! other gateways do.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Traffic;
use crate::peer::message::{PromptPart, UpstreamCrash};
use crate::relay::connection::UpstreamConnection;
use crate::relay::loads::upstream_digest;
use crate::relay::message::Prefix;
use crate::relay::quarantine::{Crash, PartEvidence, QuarantinedPart, Verdict};
use crate::relay::view::{Upstream, UpstreamKey};

/// Time after a loss at which the upstream is asked for a connection: one that has
/// crashed does not listen then, and one that only closed a connection does.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);

/// Time limit for that connection.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);

/// A request that was lost before its answer began.
#[derive(Debug)]
pub(super) struct LostRequest {
    parts: Vec<Prefix>,
    at: Duration,
}

impl Traffic {
    /// Records that a request with these shared parts was lost before its answer began,
    /// once it is confirmed that the upstream has crashed. A crash within an answer has
    /// no parts.
    pub(in crate::relay) fn record_crash(
        self: &Rc<Self>,
        parts: &[Prefix],
        key: UpstreamKey,
        upstream: &Upstream,
    ) {
        let lost = LostRequest {
            parts: parts.to_vec(),
            at: self.now(),
        };
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
        let opened =
            UpstreamConnection::connect(upstream.addr, CONFIRMATION_TIMEOUT, &self.config).await;
        self.metrics.connections.inc();
        let lost = self.unconfirmed.borrow_mut().remove(&key);
        let Err(error) = opened else {
            return;
        };
        tracing::info!(upstream = %upstream.name, %error, "upstream crashed while requests waited for their answers");
        let digest = upstream_digest(&upstream.name);
        let mut quarantine = self.quarantine.borrow_mut();
        for lost in lost.into_iter().flatten() {
            let crash = Crash {
                upstream: digest,
                at: lost.at,
            };
            quarantine.record_crash(ids(&lost.parts), crash);
        }
    }

    /// Records that the answer of a request with these shared parts began.
    pub(in crate::relay) fn record_part_answer(&self, parts: &[Prefix]) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.record_answer(ids(parts), now) {
            tracing::warn!(parts = ?ids(parts).collect::<Vec<_>>(), "answer ended the quarantine of a prompt part");
        }
    }

    /// Judges a request by its shared parts. The gateway with the least address makes
    /// the trials, so that they stay rare over all gateways.
    pub(in crate::relay) fn part_verdict(&self, parts: &[Prefix]) -> Verdict {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let verdict = quarantine.verdict(ids(parts), now);
        let is_due = verdict == Verdict::Quarantined(Duration::ZERO);
        let makes_trials = is_due && self.members.borrow().is_first(self.own_addr);
        if makes_trials && quarantine.begin_trial(ids(parts), now) {
            tracing::info!(parts = ?ids(parts).collect::<Vec<_>>(), "trial of a prompt part in quarantine");
            return Verdict::Suspect;
        }
        verdict
    }

    /// Judges the parts by all that is known, and returns what to tell the others.
    pub(in crate::relay) fn own_parts(&self) -> Vec<PromptPart> {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        for id in quarantine.judge(now) {
            let known = quarantine.quarantined().find(|(part, _)| **part == id);
            let crashes = known.map_or(0, |(_, evidence)| evidence.crashes.len());
            tracing::warn!(part = %id, crashes, "prompt part put into quarantine: upstreams crash under it");
        }
        self.metrics
            .quarantined_parts
            .set(quarantine.quarantined().count() as i64);
        let told = quarantine.evidence(now).into_iter();
        told.map(|(id, evidence)| encode(&id, &evidence, now))
            .collect()
    }

    /// Parts in quarantine, for operators.
    pub(in crate::relay) fn quarantined_parts(&self) -> Vec<QuarantinedPart> {
        self.quarantine.borrow().list(self.now())
    }

    /// The newest crashes that this gateway saw.
    pub(in crate::relay) fn own_crashes(&self) -> Vec<UpstreamCrash> {
        let now = self.now();
        let quarantine = self.quarantine.borrow();
        let crashes = quarantine.own_crashes().iter();
        crashes.map(|crash| encode_crash(crash, now)).collect()
    }

    /// Records what another gateway saw.
    pub(super) fn receive_parts(&self, parts: &[PromptPart], crashes: &[UpstreamCrash]) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.receive_crashes(crashes.iter().map(|crash| decode_crash(*crash, now)));
        for part in parts {
            let evidence = decode(part, now);
            if quarantine.receive(&part.id, &evidence, now) {
                let crashes = evidence.crashes.len();
                tracing::warn!(part = %part.id, crashes, "another gateway has put a prompt part into quarantine");
            }
        }
    }
}

fn ids(parts: &[Prefix]) -> impl Iterator<Item = &str> + Clone {
    parts.iter().map(|part| part.id.as_str())
}

fn encode(id: &str, evidence: &PartEvidence, now: Duration) -> PromptPart {
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
    let crashes = evidence.crashes.iter();
    PromptPart {
        id: id.to_owned(),
        crashes: crashes.map(|crash| encode_crash(crash, now)).collect(),
        losses: evidence.losses,
        answered_age_ms: evidence.answered_at.map(age_ms),
        quarantined_age_ms: evidence.quarantined_at.map(age_ms),
        trials: evidence.trials,
    }
}

fn encode_crash(crash: &Crash, now: Duration) -> UpstreamCrash {
    UpstreamCrash {
        upstream: crash.upstream,
        age_ms: now.saturating_sub(crash.at).as_millis() as u32,
    }
}

fn decode(part: &PromptPart, now: Duration) -> PartEvidence {
    let crashes = part.crashes.iter();
    PartEvidence {
        crashes: crashes.map(|crash| decode_crash(*crash, now)).collect(),
        losses: part.losses,
        answered_at: part.answered_age_ms.map(|age_ms| time_of(age_ms, now)),
        quarantined_at: part.quarantined_age_ms.map(|age_ms| time_of(age_ms, now)),
        trials: part.trials,
    }
}

fn decode_crash(crash: UpstreamCrash, now: Duration) -> Crash {
    Crash {
        upstream: crash.upstream,
        at: time_of(crash.age_ms, now),
    }
}

fn time_of(age_ms: u32, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}
