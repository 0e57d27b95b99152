//! State of one roll-out at a gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::Effect;
use crate::relay::evidence::{
    Comparison, Evidence, Lack, NextStep, Outcomes, Regression, RolloutEvidence, SlotLoad,
    recent_decay,
};
use crate::relay::reference::Reference;
use crate::relay::rollout::{
    self, OrderId, Phase, RolloutOrder, RolloutRow, Step, StepInput, TrafficOutlook,
};
use crate::relay::tally::{RouteDigest, RouteEvidence, Tally, TallyKey, TallyPair};
use crate::relay::view::{OutcomesView, RolloutView};

/// Slots of the upstreams of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct VersionSlots {
    pub(super) old: u32,
    pub(super) new: u32,
}

/// What decides on the write that is due for a roll-out.
pub(super) struct DueInput {
    /// Time of the store's clock, if known.
    pub(super) store_now: Option<Duration>,
    /// Delay of this gateway's writes.
    pub(super) write_delay: Duration,
    /// True if the order and its row are known to be in the store.
    pub(super) is_stored: bool,
    /// True if rows that the store lost may be written again.
    pub(super) repeats_rows: bool,
    pub(super) outlook: TrafficOutlook,
    /// Load of the slots, once all traffic goes to the new version.
    pub(super) load: Option<SlotLoad>,
    /// What all gateways know of the new version.
    pub(super) evidence: Evidence,
}

#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: RolloutOrder,
    /// Latest known row; `None` before it was read. After a restore of the store it
    /// may be ahead of the stored one.
    pub(super) row: Option<RolloutRow>,
    /// Time at which the row of this order was first read.
    pub(super) started_at: Duration,
    /// Time at which this gateway read the order.
    pub(super) ordered_at: Duration,
    /// Requests per second and slot of the old versions, while they served most.
    pub(super) usual_load: f64,
    /// This gateway's outcomes by version when the order was read.
    pub(super) baseline: FxHashMap<CompactString, Outcomes>,
    /// This gateway's outcomes since the order.
    pub(super) own: RolloutEvidence,
    /// Time of the last update of `own`.
    pub(super) updated_at: Duration,
    /// This gateway's attempts by version and route when the order was read.
    pub(super) route_baseline: FxHashMap<TallyKey, Tally>,
    /// This gateway's attempts by route since the order.
    pub(super) own_routes: RouteEvidence,
    /// Time of the last update of `own_routes`.
    pub(super) tallied_at: Duration,
    /// Attempts at the other gateways by route, by name.
    pub(super) peer_routes: FxHashMap<CompactString, RouteEvidence>,
    /// Outcomes of the other gateways, by name.
    pub(super) peers: FxHashMap<CompactString, RolloutEvidence>,
    /// Why the new version is withdrawn, once the outcomes known at this gateway were
    /// enough, even if the store does not record it yet.
    pub(super) regression: Option<Regression>,
    /// True if another gateway's withdrawal was taken over and is not published yet.
    pub(super) was_told: bool,
    /// The step that was held back at the last tick, and why.
    pub(super) held: Option<(NextStep, Lack)>,
    /// True if the order was read since the last restore of the store.
    pub(super) is_confirmed: bool,
}

impl Rollout {
    /// Row of this order; `None` if only that of an earlier one is known.
    pub(super) fn current_row(&self) -> Option<&RolloutRow> {
        self.row
            .as_ref()
            .filter(|row| row.order == self.order.id.version)
    }

    pub(super) fn is_open(&self) -> bool {
        self.current_row().is_none_or(|row| row.phase.is_open())
    }

    /// True if the stored row, `stored`, lacks what is known of the roll-out.
    pub(super) fn is_ahead_of(&self, stored: Option<&(RolloutRow, u64)>) -> bool {
        let known = self.current_row().filter(|_| self.is_confirmed);
        known.is_some_and(|known| stored.is_none_or(|(stored, _)| stored != known))
    }

    /// Takes over the stored row unless the known one has advanced further.
    pub(super) fn adopt(&mut self, stored: &RolloutRow, now: Duration) {
        if stored.order != self.order.id.version {
            self.row.get_or_insert_with(|| stored.clone());
            return;
        }
        let known = self.current_row();
        if known.is_some_and(|known| known.is_ahead_of(stored)) {
            return;
        }
        if known.is_none() {
            self.started_at = now;
        }
        self.row = Some(stored.clone());
    }

    /// Goes on under another id of its order, which was written again.
    pub(super) fn renumber(&mut self, id: OrderId) {
        tracing::info!(
            service = %self.order.service,
            to = %self.order.to,
            order = id.version,
            era = id.era,
            before = self.order.id.version,
            "roll-out goes on; its order was read again after a restore of the store"
        );
        let before = self.order.id.version;
        self.order.id = id;
        self.is_confirmed = true;
        if let Some(row) = self.row.as_mut().filter(|row| row.order == before) {
            row.order = id.version;
        }
    }

    pub(super) fn view(&self, exposure_share: f64) -> RolloutView {
        // The new version gets no traffic before the roll-out has begun.
        let row = self.current_row();
        let row = row.filter(|row| !row.phase.is_open() || self.regression.is_none());
        RolloutView {
            service: self.order.service.clone(),
            to: self.order.to.clone(),
            order: self.order.id,
            is_open: self.is_open(),
            share: row.map_or(0.0, |row| rollout::traffic_share(row, exposure_share)),
            session_share: row.map_or(0.0, |row| rollout::session_share(row, exposure_share)),
            moves_sessions: row.is_some_and(|row| row.phase != Phase::Canary),
            withdrawn: self.withdrawn_versions(),
            started_at: self.started_at,
        }
    }

    pub(super) fn withdrawn_versions(&self) -> Vec<CompactString> {
        let row = self.row.as_ref();
        let mut versions = row.map(RolloutRow::all_withdrawn).unwrap_or_default();
        if self.current_row().is_none() {
            versions.retain(|version| *version != self.order.to);
        }
        let is_open = self.current_row().is_some_and(|row| row.phase.is_open());
        if self.regression.is_some() && is_open {
            versions.push(self.order.to.clone());
        }
        versions
    }

    pub(super) fn outcomes_view(&self) -> OutcomesView {
        OutcomesView {
            service: self.order.service.clone(),
            order: self.order.id,
            evidence: self.own,
            routes: self.own_routes.clone(),
            is_withdrawn: self.regression.is_some(),
        }
    }

    // Updates this gateway's attempts by route from its totals.
    pub(super) fn update_routes(&mut self, tallies: &FxHashMap<TallyKey, Tally>, now: Duration) {
        let mut all: BTreeMap<RouteDigest, TallyPair> = BTreeMap::new();
        for (key, total) in tallies {
            let (service, version, route) = key;
            if *service != self.order.service {
                continue;
            }
            let before = self.route_baseline.get(key).copied().unwrap_or_default();
            let since = total.since(&before);
            if since == Tally::default() {
                continue;
            }
            let pair = all.entry(*route).or_default();
            if *version == self.order.to {
                pair.new.add(&since);
            } else {
                pair.old.add(&since);
            }
        }
        let decay = recent_decay(now.saturating_sub(self.tallied_at));
        self.own_routes.update(all, decay);
        self.tallied_at = now;
    }

    // This gateway's outcomes since the order, of the old and the new version.
    pub(super) fn compare(
        &self,
        outcomes: &FxHashMap<(CompactString, CompactString), Outcomes>,
    ) -> Comparison {
        let mut all = Comparison::default();
        for ((service, version), total) in outcomes {
            if *service != self.order.service {
                continue;
            }
            let before = self.baseline.get(version).copied().unwrap_or_default();
            let since = total.since(&before);
            if *version == self.order.to {
                all.new.add(&since);
            } else {
                all.old.add(&since);
            }
        }
        all
    }

    // Load of the slots, once all traffic goes to the new version.
    pub(super) fn update_load(
        &mut self,
        slots: VersionSlots,
        evidence: &Evidence,
        now: Duration,
    ) -> Option<SlotLoad> {
        let row = self.current_row().filter(|row| row.phase.is_open())?;
        let is_alone = row.phase == Phase::Spread && row.share >= 1.0;
        let total = &evidence.outcomes;
        if !is_alone {
            let elapsed = now.saturating_sub(self.ordered_at).as_secs_f64();
            let requests = total.all.old.answered + total.all.new.answered;
            self.usual_load = requests / elapsed.max(1.0) / f64::from(slots.old.max(1));
        }
        is_alone.then(|| SlotLoad {
            usual: self.usual_load,
            present: total.rate() / f64::from(slots.new.max(1)),
        })
    }

    // Withdraws a version at this gateway that is bad, or for which the time for the next
    // step has passed without enough evidence, even during a store outage; returns true
    // if it was not withdrawn here before.
    pub(super) fn evaluate(&mut self, due: &DueInput) -> bool {
        let Some(row) = self.current_row().filter(|row| row.phase.is_open()) else {
            return false;
        };
        if self.regression.is_some() {
            return std::mem::take(&mut self.was_told);
        }
        let store_now = due.store_now.filter(|_| due.is_stored);
        let input = store_now.map(|now| self.step_input(row, due, now));
        let gives_up = input
            .as_ref()
            .is_some_and(|input| rollout::due_step(input) == Some(Step::REVERT));
        let held = input.as_ref().and_then(rollout::held_step);
        let regression = due.evidence.regression(due.load);
        if held != self.held {
            self.log_held(held, due);
            self.held = held;
        }
        self.regression = regression.or(gives_up.then_some(Regression::Unproven));
        if let Some(regression) = self.regression {
            self.log_withdrawn(regression, due);
        }
        self.regression.is_some()
    }

    // Withdraws the new version as another gateway has, which may know more.
    pub(super) fn withdraw_as_told(&mut self, node: &str) {
        if self.regression.is_some() || !self.is_open() {
            return;
        }
        tracing::warn!(
            service = %self.order.service,
            to = %self.order.to,
            by = node,
            "new version withdrawn, as another gateway has"
        );
        self.regression = Some(Regression::Told);
        self.was_told = true;
    }

    fn step_input<'a>(
        &'a self,
        row: &'a RolloutRow,
        due: &'a DueInput,
        now: Duration,
    ) -> StepInput<'a> {
        StepInput {
            order: &self.order,
            row,
            evidence: &due.evidence,
            outlook: &due.outlook,
            load: due.load,
            now,
        }
    }

    // What all gateways know of the new version. The old versions' outcomes are those that
    // the row keeps if the gateways have too few.
    pub(super) fn evidence(&self) -> Evidence {
        let mut sum = Evidence {
            outcomes: self.own,
            routes: self.own_routes.clone(),
        };
        for peer in self.peers.values() {
            sum.outcomes.add(peer);
        }
        for peer in self.peer_routes.values() {
            sum.routes.add(peer);
        }
        let reference = self.current_row().and_then(|row| row.reference.as_ref());
        if let Some(reference) = reference {
            reference.complete(&mut sum);
        }
        sum
    }

    // Returns the write that begins the roll-out, advances it to its due phase, or
    // repeats a row that the store lost; none while the time of the store is
    // unknown.
    pub(super) fn due_effect(
        &self,
        stored: Option<&(RolloutRow, u64)>,
        due: &DueInput,
    ) -> Option<Effect> {
        let now = due.store_now.filter(|_| due.is_stored)?;
        let version = stored.map_or(0, |(_, version)| *version);
        let Some(row) = self.current_row() else {
            let row = rollout::begin(&self.order, self.row.as_ref(), now);
            return Some(Effect::AdvanceRollout(row, version));
        };
        if let Some(step) = self.due_step(row, due, now) {
            let mut row = row.clone();
            row.enter(step, now);
            row.reference = Reference::of(&due.evidence).or(row.reference);
            self.log_due(&row, due);
            return Some(Effect::AdvanceRollout(row, version));
        }
        (due.repeats_rows && self.is_ahead_of(stored)).then(|| {
            tracing::info!(service = %row.service, phase = ?row.phase, "store lacks the roll-out's row; written again");
            Effect::AdvanceRollout(row.clone(), version)
        })
    }

    // The write delays differ between gateways, so that mostly one of them writes. A
    // version is reverted without delay.
    fn due_step(&self, row: &RolloutRow, due: &DueInput, now: Duration) -> Option<Step> {
        if row.phase.is_open() && self.regression.is_some() {
            return Some(Step::REVERT);
        }
        let now = now.saturating_sub(due.write_delay);
        rollout::due_step(&self.step_input(row, due, now))
    }

    fn log_withdrawn(&self, regression: Regression, due: &DueInput) {
        let Evidence { outcomes, routes } = &due.evidence;
        tracing::warn!(
            service = %self.order.service,
            to = %self.order.to,
            because = %regression,
            outcomes = ?outcomes.all,
            recent = ?outcomes.recent,
            %routes,
            findings = ?due.evidence.since_order(),
            recent_findings = ?due.evidence.recent(),
            load = ?due.load,
            gateways = self.peers.len() + 1,
            "new version withdrawn"
        );
    }

    fn log_held(&self, held: Option<(NextStep, Lack)>, due: &DueInput) {
        let Some((step, lack)) = held else {
            return;
        };
        tracing::info!(
            service = %self.order.service,
            to = %self.order.to,
            ?step,
            ?lack,
            findings = ?due.evidence.since_order(),
            recent_findings = ?due.evidence.recent(),
            gateways = self.peers.len() + 1,
            "roll-out step lacks evidence"
        );
    }

    fn log_due(&self, row: &RolloutRow, due: &DueInput) {
        let Evidence { outcomes, routes } = &due.evidence;
        let Comparison { old, new } = &outcomes.all;
        tracing::info!(
            service = %row.service,
            to = %row.to,
            phase = ?row.phase,
            share = row.share,
            new_answered = new.answered,
            new_failed = new.failed,
            new_slow = new.slow,
            new_timed = new.timed,
            new_late = new.late,
            old_answered = old.answered,
            old_failed = old.failed,
            old_slow = old.slow,
            old_timed = old.timed,
            old_late = old.late,
            %routes,
            findings = ?due.evidence.since_order(),
            gateways = self.peers.len() + 1,
            "roll-out phase change due"
        );
    }
}
