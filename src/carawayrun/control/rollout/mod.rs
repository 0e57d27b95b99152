//! Advances roll-outs and withdraws bad versions.
//!
//! One gateway owns all roll-outs. It evaluates them on the merged evidence and
//! broadcasts the traffic shares. A decision that reduces risk takes effect at
//! once, with or without the table service: a bad version is suspended on all
//! gateways, a share is set to zero. A decision that increases the traffic of a
//! new version is first written to the lease row, under its fencing number. The
//! withdrawal itself is a configuration change, in one transaction with the
//! row.
//!
//! A new owner starts from the row: it keeps the steps, the evidence of earlier
//! steps and the exposure, and collects the evidence of the current step again.

mod drift;
mod edit;
mod row;
mod shares;

use std::collections::BTreeMap;

use compact_str::CompactString;
use tracing::{info, warn};

use self::drift::Drift;
use self::row::{SavedRollout, SavedState};
use self::shares::{SentReport, TrafficShare};
use super::context::Context;
use super::event::Event;
use super::evidence::{Evidence, POLICY_SUBJECT};
use super::owner::{Owner, owner};
use super::state::Role;
use super::time::Millis;
use super::view::RolloutPhase;
use super::work::{Leases, WriteResult};
use crate::policy::{Arms, Evaluation, Tally, Verdict, evaluate};
use crate::resource::{Phase, Rollout};

/// Name of the lease whose row holds the state of the roll-outs.
const LEASE_NAME: &str = "rollouts";

/// Time between two evaluations.
const EVALUATION_PERIOD: Millis = Millis(1_000);

/// Longest time by which the exposure in the row lags behind.
const ROW_WRITE_PERIOD: Millis = Millis(30_000);

/// State of all roll-outs on this process.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    saved: SavedState,
    /// Versions that get no new requests, with the generation that withdraws
    /// them once it is written.
    suspended: BTreeMap<CompactString, Option<u64>>,
    shares: BTreeMap<CompactString, TrafficShare>,
    /// Evidence at the start of the current step; only kept by the owner.
    step_starts: BTreeMap<CompactString, Arms>,
    drift: Drift,
    is_owner: bool,
    /// Fencing number under which the row was read.
    fence: Option<u64>,
    pending_write: Option<PendingWrite>,
    last_write: Millis,
    last_report: Option<SentReport>,
    next_evaluation: Millis,
}

#[derive(Debug)]
struct PendingWrite {
    number: u64,
    saved: SavedState,
    /// Generation that the write creates; the current one if it changes only
    /// the row, none if the edits are invalid.
    generation: Option<u64>,
}

impl Rollouts {
    pub(super) fn handle(
        &mut self,
        event: &Event,
        evidence: &Evidence,
        leases: &mut Leases,
        context: &mut Context,
    ) {
        match event {
            Event::MessageReceived(envelope) => self.receive_report(envelope, context),
            Event::Tick
                if context.identity.role == Role::Gateway
                    && context.now >= self.next_evaluation =>
            {
                self.next_evaluation = context.now + EVALUATION_PERIOD;
                self.tick(evidence, leases, context);
            }
            _ => {}
        }
    }

    fn tick(&mut self, evidence: &Evidence, leases: &mut Leases, context: &mut Context) {
        if owner(POLICY_SUBJECT, context) != Some(Owner::Local) {
            leases.stop_contending(LEASE_NAME);
            self.end_ownership();
            return;
        }
        leases.contend(LEASE_NAME);
        self.begin_ownership();
        self.apply_outcome(leases, context);
        let fence = leases.held_fence(LEASE_NAME, context.now);
        self.load_row(fence, leases);
        self.drop_withdrawn(context);
        self.check_drift(evidence, context);
        let target = self.evaluate_all(fence.is_some(), evidence, context);
        if fence.is_some() && self.pending_write.is_none() {
            self.write_row(target, leases, context);
        }
        self.broadcast_report(context);
    }

    fn end_ownership(&mut self) {
        self.is_owner = false;
        self.last_report = None;
        self.fence = None;
        self.pending_write = None;
        self.step_starts.clear();
    }

    // Versions that the former owner suspended stay suspended until their
    // withdrawal is written.
    fn begin_ownership(&mut self) {
        if self.is_owner {
            return;
        }
        self.is_owner = true;
        self.saved.bad.extend(self.suspended.keys().cloned());
    }

    // After a takeover the row is newer than the state of this process.
    fn load_row(&mut self, fence: Option<u64>, leases: &Leases) {
        if fence.is_none() || self.fence == fence {
            return;
        }
        self.fence = fence;
        self.pending_write = None;
        self.step_starts.clear();
        let Some(saved) = leases.state(LEASE_NAME).and_then(SavedState::parse) else {
            return;
        };
        self.saved.rollouts = saved.rollouts;
        for entry in self.saved.rollouts.values_mut() {
            entry.progress.exposed = entry.progress.exposed.max(entry.exposed);
        }
        for name in saved.bad {
            self.suspend(&name);
        }
    }

    fn suspend(&mut self, version: &CompactString) {
        self.saved.bad.insert(version.clone());
        self.suspended.entry(version.clone()).or_insert(None);
    }

    // Drops a suspension once the generation that withdraws the version is in
    // force; from then on the configuration decides.
    fn drop_withdrawn(&mut self, context: &Context) {
        let generation = context.config.generation;
        self.suspended
            .retain(|_, withdrawn| withdrawn.is_none_or(|withdrawn| generation < withdrawn));
        let config = &context.config;
        self.saved
            .bad
            .retain(|name| config.versions.key(name).is_some());
        let saved = &self.saved;
        self.suspended
            .retain(|name, withdrawn| withdrawn.is_some() || saved.bad.contains(name));
    }

    fn check_drift(&mut self, evidence: &Evidence, context: &mut Context) {
        for version in self.drift.detect(evidence.merged_sums(), context) {
            warn!(name: "version.drifted", version = %version);
            self.suspend(&version);
            context.publish_now = true;
        }
    }

    // Evaluates every roll-out. Returns the state that must be written before a
    // new version gets more traffic.
    fn evaluate_all(
        &mut self,
        has_lease: bool,
        evidence: &Evidence,
        context: &mut Context,
    ) -> SavedState {
        let config = std::sync::Arc::clone(&context.config);
        let known = |name: &CompactString| config.rollouts.by_name(name);
        self.saved
            .rollouts
            .retain(|name, entry| known(name).is_some_and(|rollout| entry.is_for(&rollout.spec)));
        self.shares.retain(|name, _| known(name).is_some());
        let mut target = self.saved.clone();
        for (_, rollout) in config.rollouts.iter() {
            if !self.saved.rollouts.contains_key(&rollout.name) {
                if has_lease {
                    let entry = SavedRollout::new(&rollout.spec);
                    target.rollouts.insert(rollout.name.clone(), entry);
                }
                continue;
            }
            self.evaluate_one(&rollout.name, &rollout.spec, evidence, &mut target, context);
        }
        target.bad.clone_from(&self.saved.bad);
        target
    }

    fn evaluate_one(
        &mut self,
        name: &CompactString,
        rollout: &Rollout,
        evidence: &Evidence,
        target: &mut SavedState,
        context: &mut Context,
    ) {
        let Some(entry) = self.saved.rollouts.get(name).cloned() else {
            return;
        };
        if entry.phase != RolloutPhase::Withdrawn && self.is_withdrawn(&entry.to, context) {
            self.mark_withdrawn(name, target);
            self.set_share(name, 0.0, RolloutPhase::Withdrawn, context);
            return;
        }
        if !matches!(entry.phase, RolloutPhase::Running | RolloutPhase::Paused) {
            let share = f64::from(u8::from(entry.phase == RolloutPhase::Complete));
            self.set_share(name, share, entry.phase, context);
            return;
        }
        let evaluation = evaluate(
            &self.step_arms(name, rollout, evidence),
            rollout,
            &entry.progress,
        );
        let step = entry
            .progress
            .step
            .min(rollout.steps.len().saturating_sub(1));
        let current = rollout.steps.get(step).copied().unwrap_or(0.0);
        let phase = if rollout.paused {
            RolloutPhase::Paused
        } else {
            RolloutPhase::Running
        };
        let next = target.rollouts.get_mut(name);
        match evaluation.verdict {
            Verdict::Withdraw => self.withdraw(name, rollout, &evaluation, target, context),
            Verdict::Wait => self.set_share(name, 0.0, phase, context),
            Verdict::Hold => self.set_share(name, current, phase, context),
            Verdict::Advance { .. } | Verdict::Complete if rollout.paused => {
                self.set_share(name, current, phase, context);
            }
            Verdict::Advance { step } => {
                if let Some(next) = next {
                    next.progress = evaluation.progress(step);
                }
                self.set_share(name, current, phase, context);
            }
            Verdict::Complete => {
                if let Some(next) = next {
                    next.phase = RolloutPhase::Complete;
                }
                self.set_share(name, current, phase, context);
            }
        }
        if let Some(next) = target.rollouts.get_mut(name) {
            next.exposed = evaluation.exposed;
        }
    }

    fn withdraw(
        &mut self,
        name: &CompactString,
        rollout: &Rollout,
        evaluation: &Evaluation,
        target: &mut SavedState,
        context: &mut Context,
    ) {
        info!(
            name: "rollout.withdrawn",
            rollout = %name,
            version = %rollout.to,
            exposed = evaluation.exposed,
            failures = evaluation.against.failures,
            slow = evaluation.against.slow,
            ratings = evaluation.against.ratings,
        );
        self.suspend(&rollout.to);
        self.mark_withdrawn(name, target);
        self.set_share(name, 0.0, RolloutPhase::Withdrawn, context);
        context.publish_now = true;
    }

    // True if an operator withdrew the version, or an evaluation suspended it.
    fn is_withdrawn(&self, version: &CompactString, context: &Context) -> bool {
        let known = context.config.versions.by_name(version);
        let withdrawn = known.is_some_and(|version| version.spec.phase == Phase::Withdrawn);
        withdrawn || self.suspended.contains_key(version)
    }

    fn mark_withdrawn(&mut self, name: &CompactString, target: &mut SavedState) {
        for saved in [&mut self.saved, target] {
            if let Some(entry) = saved.rollouts.get_mut(name) {
                entry.phase = RolloutPhase::Withdrawn;
            }
        }
    }

    // Returns the outcomes since the step began. If the sums decreased, for
    // example after the loss of a gateway, the step's evidence starts again.
    fn step_arms(&mut self, name: &CompactString, rollout: &Rollout, evidence: &Evidence) -> Arms {
        let total = Arms {
            old: compared_tally(&rollout.from, evidence),
            new: compared_tally(&rollout.to, evidence),
        };
        let start = self.step_starts.entry(name.clone()).or_insert(total);
        let arms = Arms {
            old: total.old - start.old,
            new: total.new - start.new,
        };
        if is_negative(&arms.old) || is_negative(&arms.new) {
            *start = total;
            return Arms::default();
        }
        arms
    }

    fn set_share(
        &mut self,
        name: &CompactString,
        part: f64,
        phase: RolloutPhase,
        context: &mut Context,
    ) {
        let time = context.now;
        let new = TrafficShare { part, phase, time };
        let old = self.shares.insert(name.clone(), new);
        let same = old.is_some_and(|old| (old.part, old.phase) == (part, phase));
        context.view_changed |= !same;
    }

    fn write_row(&mut self, target: SavedState, leases: &mut Leases, context: &mut Context) {
        let due = context.now.since(self.last_write) >= ROW_WRITE_PERIOD;
        let (edits, saved) = edit::edits(target, context);
        if edits.is_empty() && !due && !differs(&saved, &self.saved) {
            return;
        }
        let (transaction, generation) = edit::transaction(&edits, context);
        let Some(number) = leases.commit(LEASE_NAME, saved.to_json(), transaction, context) else {
            return;
        };
        self.last_write = context.now;
        self.pending_write = Some(PendingWrite {
            number,
            saved,
            generation,
        });
    }

    fn apply_outcome(&mut self, leases: &mut Leases, context: &mut Context) {
        let Some(outcome) = leases.take_outcome(LEASE_NAME) else {
            return;
        };
        let Some(write) = self
            .pending_write
            .take_if(|write| write.number == outcome.write)
        else {
            return;
        };
        if outcome.result != WriteResult::Applied {
            // Another node may have written the row, so it is read again.
            self.fence = None;
            return;
        }
        self.apply_written(write, context);
    }

    fn apply_written(&mut self, write: PendingWrite, context: &mut Context) {
        for (name, entry) in &write.saved.rollouts {
            let old = self.saved.rollouts.get(name);
            if old.is_none_or(|old| old.progress.step != entry.progress.step) {
                info!(name: "rollout.advanced", rollout = %name, step = entry.progress.step);
                self.step_starts.remove(name);
            }
        }
        let withdrawn: Vec<CompactString> = self
            .saved
            .bad
            .difference(&write.saved.bad)
            .cloned()
            .collect();
        if let Some(generation) = write.generation {
            for version in withdrawn {
                self.saved.bad.remove(&version);
                self.suspended.insert(version, Some(generation));
            }
        }
        self.saved.rollouts = write.saved.rollouts;
        context.view_changed = true;
    }
}

// Sums the version's outcomes of requests that a random split assigned while
// its roll-out was running or paused.
fn compared_tally(version: &CompactString, evidence: &Evidence) -> Tally {
    let mut total = Tally::default();
    for (key, tally) in evidence.merged_sums().iter() {
        if key.compared && key.version == *version {
            total += tally;
        }
    }
    total
}

fn is_negative(tally: &Tally) -> bool {
    tally.answered < 0.0 || tally.failed < 0.0 || tally.slow < 0.0 || tally.rated < 0.0
}

// Compares everything but the exposure, which is written only periodically.
fn differs(a: &SavedState, b: &SavedState) -> bool {
    let same_entry = |name: &CompactString, entry: &SavedRollout| {
        b.rollouts
            .get(name)
            .is_some_and(|other| (other.phase, other.progress) == (entry.phase, entry.progress))
    };
    a.bad != b.bad
        || a.rollouts.len() != b.rollouts.len()
        || !a
            .rollouts
            .iter()
            .all(|(name, entry)| same_entry(name, entry))
}
