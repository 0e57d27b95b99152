//! Carries roll-outs on, and withdraws bad versions.
//!
//! One gateway is home to all roll-outs. It judges them on the merged evidence
//! and tells the others the shares. What makes a version safer to use takes
//! effect at once, with or without the table service: a bad version is
//! suspended everywhere, a share is set to zero. What lets in more traffic
//! first has to be written to the work row, under its fencing number. The
//! withdrawal itself is a change of the configuration, in one transaction with
//! the row.
//!
//! A home that takes over starts from the row: steps, evidence of earlier steps
//! and exposure are kept, the evidence of the unfinished step is gathered anew.

mod drift;
mod edit;
mod row;
mod spread;

use std::collections::BTreeMap;

use compact_str::CompactString;
use tracing::{info, warn};

use self::drift::Drift;
use self::row::{Entry, Saved};
use self::spread::{Share, Told};
use super::context::Context;
use super::event::Event;
use super::evidence::{Evidence, POLICY_SUBJECT};
use super::owner::{Owner, owner};
use super::state::Role;
use super::time::Millis;
use super::view::RolloutPhase;
use super::work::{WorkResult, Works};
use crate::policy::{Arms, Evaluation, Tally, Verdict, evaluate};
use crate::resource::{Phase, Rollout};

/// Name of the work row.
const WORK: &str = "rollouts";

/// Time between two judgements.
const PERIOD: Millis = Millis(1_000);

/// Longest time that the written exposure lags behind.
const SAVE_PERIOD: Millis = Millis(30_000);

/// All roll-outs as this process knows them.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    saved: Saved,
    /// Versions that take no new work, with the generation that withdraws them
    /// once it is written.
    suspended: BTreeMap<CompactString, Option<u64>>,
    shares: BTreeMap<CompactString, Share>,
    /// Evidence when the current step began, of homes only.
    starts: BTreeMap<CompactString, Arms>,
    drift: Drift,
    is_home: bool,
    /// Fencing number under which the row was read.
    fence: Option<u64>,
    write: Option<PendingWrite>,
    written: Millis,
    told: Option<Told>,
    next: Millis,
}

#[derive(Debug)]
struct PendingWrite {
    number: u64,
    saved: Saved,
    /// Generation that the write makes; none where it changes only the row.
    generation: Option<u64>,
}

impl Rollouts {
    pub(super) fn handle(
        &mut self,
        event: &Event,
        evidence: &Evidence,
        works: &mut Works,
        context: &mut Context,
    ) {
        match event {
            Event::MessageReceived(envelope) => self.received(envelope, context),
            Event::Tick if context.identity.role == Role::Gateway && context.now >= self.next => {
                self.next = context.now + PERIOD;
                self.tick(evidence, works, context);
            }
            _ => {}
        }
    }

    fn tick(&mut self, evidence: &Evidence, works: &mut Works, context: &mut Context) {
        if owner(POLICY_SUBJECT, context) != Some(Owner::Local) {
            works.forget(WORK);
            self.leave();
            return;
        }
        works.want(WORK);
        self.enter();
        self.take_outcome(works, context);
        let held = works.held(WORK, context.now);
        self.load(held, works);
        self.forget_withdrawn(context);
        self.watch(evidence, context);
        let wanted = self.judge_all(held.is_some(), evidence, context);
        if held.is_some() && self.write.is_none() {
            self.save(wanted, works, context);
        }
        self.tell(context);
    }

    fn leave(&mut self) {
        self.is_home = false;
        self.told = None;
        self.fence = None;
        self.write = None;
        self.starts.clear();
    }

    // What the former home suspended stays so, until its withdrawal is written.
    fn enter(&mut self) {
        if self.is_home {
            return;
        }
        self.is_home = true;
        self.saved.bad.extend(self.suspended.keys().cloned());
    }

    // After a takeover the row is newer than what this process knows.
    fn load(&mut self, held: Option<u64>, works: &Works) {
        if held.is_none() || self.fence == held {
            return;
        }
        self.fence = held;
        self.write = None;
        self.starts.clear();
        let Some(saved) = works.state(WORK).and_then(Saved::read) else {
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

    // From the generation that withdraws it on, the configuration decides.
    fn forget_withdrawn(&mut self, context: &Context) {
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

    fn watch(&mut self, evidence: &Evidence, context: &mut Context) {
        for version in self.drift.watch(evidence.merged_sums(), context) {
            warn!(name: "version.drifted", version = %version);
            self.suspend(&version);
            context.publish_now = true;
        }
    }

    // Judges every roll-out; returns the state that has to be written before
    // any more traffic is let in.
    fn judge_all(&mut self, held: bool, evidence: &Evidence, context: &mut Context) -> Saved {
        let config = std::sync::Arc::clone(&context.config);
        let known = |name: &CompactString| config.rollouts.by_name(name);
        self.saved
            .rollouts
            .retain(|name, entry| known(name).is_some_and(|rollout| entry.is_of(&rollout.spec)));
        self.shares.retain(|name, _| known(name).is_some());
        let mut wanted = self.saved.clone();
        for (_, rollout) in config.rollouts.iter() {
            if !self.saved.rollouts.contains_key(&rollout.name) {
                if held {
                    let entry = Entry::new(&rollout.spec);
                    wanted.rollouts.insert(rollout.name.clone(), entry);
                }
                continue;
            }
            self.judge_one(&rollout.name, &rollout.spec, evidence, &mut wanted, context);
        }
        wanted.bad.clone_from(&self.saved.bad);
        wanted
    }

    fn judge_one(
        &mut self,
        name: &CompactString,
        rollout: &Rollout,
        evidence: &Evidence,
        wanted: &mut Saved,
        context: &mut Context,
    ) {
        let Some(entry) = self.saved.rollouts.get(name).cloned() else {
            return;
        };
        if entry.phase != RolloutPhase::Withdrawn && self.is_withdrawn(&entry.to, context) {
            self.end(name, wanted);
            self.set_share(name, 0.0, RolloutPhase::Withdrawn, context);
            return;
        }
        if !matches!(entry.phase, RolloutPhase::Running | RolloutPhase::Paused) {
            let share = f64::from(u8::from(entry.phase == RolloutPhase::Complete));
            self.set_share(name, share, entry.phase, context);
            return;
        }
        let judgement = evaluate(
            &self.arms(name, rollout, evidence),
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
        let next = wanted.rollouts.get_mut(name);
        match judgement.verdict {
            Verdict::Withdraw => self.withdraw(name, rollout, &judgement, wanted, context),
            Verdict::Wait => self.set_share(name, 0.0, phase, context),
            Verdict::Hold => self.set_share(name, current, phase, context),
            Verdict::Advance { .. } | Verdict::Complete if rollout.paused => {
                self.set_share(name, current, phase, context);
            }
            Verdict::Advance { step } => {
                if let Some(next) = next {
                    next.progress = judgement.progress(step);
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
        if let Some(next) = wanted.rollouts.get_mut(name) {
            next.exposed = judgement.exposed;
        }
    }

    fn withdraw(
        &mut self,
        name: &CompactString,
        rollout: &Rollout,
        judgement: &Evaluation,
        wanted: &mut Saved,
        context: &mut Context,
    ) {
        info!(
            name: "rollout.withdrawn",
            rollout = %name,
            version = %rollout.to,
            exposed = judgement.exposed,
            failures = judgement.against.failures,
            slow = judgement.against.slow,
            ratings = judgement.against.ratings,
        );
        self.suspend(&rollout.to);
        self.end(name, wanted);
        self.set_share(name, 0.0, RolloutPhase::Withdrawn, context);
        context.publish_now = true;
    }

    // By an operator, or by another judgement.
    fn is_withdrawn(&self, version: &CompactString, context: &Context) -> bool {
        let known = context.config.versions.by_name(version);
        let withdrawn = known.is_some_and(|version| version.spec.phase == Phase::Withdrawn);
        withdrawn || self.suspended.contains_key(version)
    }

    fn end(&mut self, name: &CompactString, wanted: &mut Saved) {
        for saved in [&mut self.saved, wanted] {
            if let Some(entry) = saved.rollouts.get_mut(name) {
                entry.phase = RolloutPhase::Withdrawn;
            }
        }
    }

    // Outcomes since the step began. Where sums went back, as after a gateway
    // was lost, the step's evidence is gathered anew.
    fn arms(&mut self, name: &CompactString, rollout: &Rollout, evidence: &Evidence) -> Arms {
        let total = Arms {
            old: compared(&rollout.from, evidence),
            new: compared(&rollout.to, evidence),
        };
        let start = self.starts.entry(name.clone()).or_insert(total);
        let arms = Arms {
            old: total.old - start.old,
            new: total.new - start.new,
        };
        if is_behind(&arms.old) || is_behind(&arms.new) {
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
        let new = Share { part, phase, time };
        let old = self.shares.insert(name.clone(), new);
        let same = old.is_some_and(|old| (old.part, old.phase) == (part, phase));
        context.view_changed |= !same;
    }

    fn save(&mut self, wanted: Saved, works: &mut Works, context: &mut Context) {
        let due = context.now.since(self.written) >= SAVE_PERIOD;
        let (edits, saved) = edit::edits(wanted, context);
        if edits.is_empty() && !due && !differs(&saved, &self.saved) {
            return;
        }
        let (transaction, generation) = edit::transaction(&edits, context);
        let Some(number) = works.commit(WORK, saved.to_value(), transaction, context) else {
            return;
        };
        self.written = context.now;
        self.write = Some(PendingWrite {
            number,
            saved,
            generation,
        });
    }

    fn take_outcome(&mut self, works: &mut Works, context: &mut Context) {
        let Some(outcome) = works.take_outcome(WORK) else {
            return;
        };
        let Some(write) = self.write.take_if(|write| write.number == outcome.write) else {
            return;
        };
        if outcome.result != WorkResult::Applied {
            // A row that others wrote has to be read again.
            self.fence = None;
            return;
        }
        self.adopt(write, context);
    }

    fn adopt(&mut self, write: PendingWrite, context: &mut Context) {
        for (name, entry) in &write.saved.rollouts {
            let old = self.saved.rollouts.get(name);
            if old.is_none_or(|old| old.progress.step != entry.progress.step) {
                info!(name: "rollout.advanced", rollout = %name, step = entry.progress.step);
                self.starts.remove(name);
            }
        }
        let settled: Vec<CompactString> = self
            .saved
            .bad
            .difference(&write.saved.bad)
            .cloned()
            .collect();
        if let Some(generation) = write.generation {
            for version in settled {
                self.saved.bad.remove(&version);
                self.suspended.insert(version, Some(generation));
            }
        }
        self.saved.rollouts = write.saved.rollouts;
        context.view_changed = true;
    }
}

fn compared(version: &CompactString, evidence: &Evidence) -> Tally {
    let mut total = Tally::default();
    for (cell, tally) in evidence.merged_sums().iter() {
        if cell.compared && cell.version == *version {
            total += tally;
        }
    }
    total
}

fn is_behind(tally: &Tally) -> bool {
    tally.answered < 0.0 || tally.failed < 0.0 || tally.slow < 0.0 || tally.rated < 0.0
}

// Exposure alone is written only now and then.
fn differs(a: &Saved, b: &Saved) -> bool {
    let same_entry = |name: &CompactString, entry: &Entry| {
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
