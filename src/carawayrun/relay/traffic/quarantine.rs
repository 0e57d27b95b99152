//! Prompt parts under which upstreams crash: what requests say of them, and what the
//! other gateways do.

use std::time::Duration;

use super::Traffic;
use crate::peer::message::{PromptPart, UpstreamCrash};
use crate::relay::loads::upstream_digest;
use crate::relay::message::Prefix;
use crate::relay::quarantine::{Crash, PartEvidence, QuarantinedPart, Verdict};
use crate::relay::view::Upstream;

impl Traffic {
    /// Records that a request with these shared parts was lost before its answer began.
    pub(in crate::relay) fn record_crash(&self, parts: &[Prefix], upstream: &Upstream) {
        let crash = Crash {
            upstream: upstream_digest(&upstream.name),
            at: self.now(),
        };
        self.quarantine.borrow_mut().record_crash(ids(parts), crash);
    }

    /// Records that the answer of a request with these shared parts began.
    pub(in crate::relay) fn record_part_answer(&self, parts: &[Prefix]) {
        let now = self.now();
        self.quarantine.borrow_mut().record_answer(ids(parts), now);
    }

    /// Judges a request by its shared parts. The gateway with the least address makes
    /// the trials, so that they stay rare over all gateways.
    pub(in crate::relay) fn part_verdict(&self, parts: &[Prefix]) -> Verdict {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let verdict = quarantine.verdict(ids(parts), now);
        let is_due = verdict == Verdict::Quarantined(Duration::ZERO);
        let makes_trials = || self.members.borrow().is_first(self.own_addr);
        if is_due && makes_trials() && quarantine.begin_trial(ids(parts), now) {
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

    /// Records what another gateway knows of parts.
    pub(super) fn receive_parts(&self, parts: &[PromptPart]) {
        let now = self.now();
        let mut quarantine = self.quarantine.borrow_mut();
        for part in parts {
            let evidence = decode(part, now);
            if quarantine.receive(&part.id, &evidence, now) {
                let crashes = evidence.crashes.len();
                tracing::warn!(part = %part.id, crashes, "another gateway has put a prompt part into quarantine");
            }
        }
    }
}

fn ids(parts: &[Prefix]) -> impl Iterator<Item = &str> {
    parts.iter().map(|part| part.id.as_str())
}

fn encode(id: &str, evidence: &PartEvidence, now: Duration) -> PromptPart {
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
    let crashes = evidence.crashes.iter().map(|crash| UpstreamCrash {
        upstream: crash.upstream,
        age_ms: age_ms(crash.at),
    });
    PromptPart {
        id: id.to_owned(),
        crashes: crashes.collect(),
        losses: evidence.losses,
        answered_age_ms: evidence.answered_at.map(age_ms),
        quarantined_age_ms: evidence.quarantined_at.map(age_ms),
    }
}

fn decode(part: &PromptPart, now: Duration) -> PartEvidence {
    let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
    let crashes = part.crashes.iter().map(|crash| Crash {
        upstream: crash.upstream,
        at: time(crash.age_ms),
    });
    PartEvidence {
        crashes: crashes.collect(),
        losses: part.losses,
        answered_at: part.answered_age_ms.map(time),
        quarantined_at: part.quarantined_age_ms.map(time),
    }
}
