//! Phases of a roll-out and the traffic share of the new version.
//!
//! A roll-out is a row of the store that any gateway may update by
//! compare-and-set; the row's version fences gateways with stale knowledge. The
//! share is constant during the canary phase, so that sessions stay on their
//! version. Traffic then moves in steps, each only on evidence in favour of the
//! new version ([`evidence`](super::evidence)), and the roll-out completes once
//! streams on the old version have had time to end. Any gateway with enough
//! evidence against the new version reverts it.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, Lack, NextStep, SlotLoad};
use super::reference::Reference;

/// Fraction of the allowed exposure that the canary gets; the rest covers the
/// traffic between the first step of the spread and a revert.
const CANARY_EXPOSURE_FRACTION: f64 = 0.6;

/// Fraction of the allowed requests, the slack included, that the canary has used when
/// traffic begins to move. Of a service with few requests most of what is allowed is
/// slack, without which the canary's answers would be too few to decide.
const CANARY_USE_FRACTION: f64 = 0.4;

/// Time of all traffic that the canary leaves of what is allowed, besides the shortest
/// first step: a version that turns bad then is withdrawn within about that.
const WITHDRAWAL_RESERVE: Duration = Duration::from_secs(1);

/// Fraction of the time limit after which the rate of requests is known.
const RATE_KNOWN_FRACTION: f64 = 0.08;

/// Fraction of the time limit at which traffic begins to move. More than one half,
/// up to which sessions must stay on their version.
const SPREAD_TIME_FRACTION: f64 = 0.51;

/// Share of the new version in the first step of the spread. A version that fails
/// under load shows it here, while the old one still serves most requests.
const FIRST_SPREAD_SHARE: f64 = 0.3;

/// Shortest first step of the spread, as a fraction of the time limit, and of one that
/// begins late.
const FIRST_STEP_FRACTIONS: (f64, f64) = (0.1, 0.04);

/// Fraction of the time limit at which a version is withdrawn that may not get all
/// traffic. Later, streams on the old version would not end in time.
const LAST_SPREAD_FRACTION: f64 = 0.85;

/// Fraction of the time limit at which the roll-out completes. Streams on the old
/// version have a third of the time to end, and a write whose response was lost can
/// be resolved before the limit.
const COMPLETE_TIME_FRACTION: f64 = 0.88;

/// Time for streams on the old version to end, as a fraction of the time limit. A
/// spread that was late leaves them less, but at least a part of it.
const STREAM_END_FRACTION: f64 = 0.15;

/// Fraction of the time limit from which missing timings no longer hold the
/// roll-out back, nor missing answers if so little traffic is left that all of it
/// is within the allowed exposure.
const LENIENT_TIME_FRACTION: f64 = 0.72;

/// Fraction of the time limit at which a version without enough evidence in its
/// favour is withdrawn: the write may take a second, and must be read in time.
const GIVE_UP_TIME_FRACTION: f64 = 0.92;

/// Part of the allowed exposure that a version without evidence may use.
const UNPROVEN_EXPOSURE_FRACTION: f64 = 0.5;

/// Largest share of a version without evidence.
const MAX_UNPROVEN_SHARE: f64 = 0.25;

/// Least increase of the share for which a version without evidence gets more than
/// the canary: of a service with few requests the allowed exposure is mostly its
/// slack.
const MIN_UNPROVEN_INCREASE: f64 = 1.3;

/// Identifies an order among those of one service; later ones are greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId {
    /// Restores of the store before the order's row was read.
    pub era: u64,
    /// Version of the order's row.
    pub version: u64,
}

/// An operator's order to roll out a version of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: CompactString,
    /// The new version.
    pub to: CompactString,
    /// Time limit for completing or reverting it.
    pub limit: Duration,
    /// Distinguishes orders of one service.
    pub id: OrderId,
}

impl RolloutOrder {
    /// Returns true if both orders have the same content.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.service == other.service && self.to == other.to && self.limit == other.limit
    }
}

/// Phase of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Phase {
    /// A small share of the traffic goes to the new version.
    Canary,
    /// Traffic moves to the new version, at last all of it; streams on the old one
    /// end.
    Spread,
    /// The old version is no longer used.
    Complete,
    /// The new version is withdrawn.
    Reverted,
}

impl Phase {
    /// Number of phases that come before it at least.
    pub fn rank(self) -> u8 {
        match self {
            Self::Canary => 0,
            Self::Spread => 1,
            Self::Complete | Self::Reverted => 2,
        }
    }

    /// Returns true until the roll-out has completed or been reverted.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Canary | Self::Spread)
    }
}

/// Phase that a roll-out enters, with the share of a spread.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The phase.
    pub phase: Phase,
    /// Share of the traffic that moves in [`Phase::Spread`], and of requests without a
    /// session in [`Phase::Canary`].
    pub share: f64,
}

impl Step {
    /// Withdraws the new version.
    pub const REVERT: Self = Self {
        phase: Phase::Reverted,
        share: 1.0,
    };

    const COMPLETE: Self = Self {
        phase: Phase::Complete,
        share: 1.0,
    };

    fn canary(share: f64) -> Self {
        let phase = Phase::Canary;
        Self { phase, share }
    }

    fn spread(share: f64) -> Self {
        let phase = Phase::Spread;
        Self { phase, share }
    }
}

/// A roll-out as stored.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutRow {
    /// The service.
    pub service: CompactString,
    /// The new version.
    pub to: CompactString,
    /// Version of the order's row.
    pub order: u64,
    /// Start on the store's clock, in milliseconds.
    pub started_ms: u64,
    /// Current phase.
    pub phase: Phase,
    /// Share of the traffic that moves in [`Phase::Spread`], and of requests without a
    /// session in [`Phase::Canary`] after its step.
    #[serde(default = "full_share")]
    pub share: f64,
    /// Time of the last step on the store's clock, in milliseconds; zero before the
    /// first.
    #[serde(default)]
    pub stepped_ms: u64,
    /// Outcomes of the old versions before the last step, if there were enough.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reference: Option<Reference>,
    /// Versions of earlier orders that were withdrawn; their upstreams may still
    /// be registered.
    #[serde(default)]
    pub withdrawn: Vec<CompactString>,
}

impl RolloutRow {
    /// Enters a phase at `now` on the store's clock.
    pub fn enter(&mut self, step: Step, now: Duration) {
        self.phase = step.phase;
        self.share = step.share;
        self.stepped_ms = now.as_millis() as u64;
    }

    // True while the new version has not got a share that asks for evidence.
    fn is_unproven(&self) -> bool {
        match self.phase {
            Phase::Canary => true,
            Phase::Spread => self.share < FIRST_SPREAD_SHARE,
            Phase::Complete | Phase::Reverted => false,
        }
    }

    /// Returns true if the roll-out has advanced further than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let progress = |row: &Self| (row.phase.rank(), row.stepped_ms);
        progress(self) > progress(other)
    }

    /// All versions that must get no traffic.
    pub fn all_withdrawn(&self) -> Vec<CompactString> {
        let mut all = self.withdrawn.clone();
        if self.phase == Phase::Reverted && !all.contains(&self.to) {
            all.push(self.to.clone());
        }
        all
    }
}

/// Returns the row that starts a roll-out and replaces the row `before`.
pub fn begin(order: &RolloutOrder, before: Option<&RolloutRow>, now: Duration) -> RolloutRow {
    let mut withdrawn = before.map(RolloutRow::all_withdrawn).unwrap_or_default();
    // An operator may order a withdrawn version again, after a fix.
    withdrawn.retain(|version| *version != order.to);
    RolloutRow {
        withdrawn,
        service: order.service.clone(),
        to: order.to.clone(),
        order: order.id.version,
        started_ms: now.as_millis() as u64,
        phase: Phase::Canary,
        share: full_share(),
        stepped_ms: 0,
        reference: None,
    }
}

/// Traffic of a roll-out's service and what is known of it at one gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficOutlook {
    /// Share of the service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Requests that a bad version may get in addition.
    pub exposure_slack: f64,
    /// Requests per second to the service, over all gateways.
    pub rate: f64,
    /// True if the evidence includes that of every gateway listed in the store.
    pub is_complete: bool,
}

impl TrafficOutlook {
    // Requests that a bad version may get if `expected` more reach the service.
    fn allowed(&self, evidence: &Evidence, expected: f64) -> f64 {
        let all = &evidence.outcomes.all;
        let seen = all.old.answered + all.new.answered;
        self.exposure_share * (seen + expected) + self.exposure_slack
    }

    // Share that a version without evidence may get for the time left, whatever it
    // answers; zero while requests of some gateways are not known.
    fn unproven_share(&self, evidence: &Evidence, left: Duration) -> f64 {
        if !self.is_complete {
            return 0.0;
        }
        let expected = self.rate * left.as_secs_f64();
        let allowed = self.allowed(evidence, expected);
        let used = evidence.outcomes.all.new.answered;
        let unused = (allowed * UNPROVEN_EXPOSURE_FRACTION - used).max(0.0);
        unused / expected.max(f64::MIN_POSITIVE)
    }

    // Share of requests without a session that the canary may get until traffic begins
    // to move; zero while requests of some gateways are not known.
    fn canary_share(&self, evidence: &Evidence, limit: Duration, elapsed: Duration) -> f64 {
        if !self.is_complete {
            return 0.0;
        }
        let all = &evidence.outcomes.all;
        let seen = all.old.answered + all.new.answered;
        let rate = (seen / elapsed.as_secs_f64()).max(self.rate);
        let left = limit.saturating_sub(elapsed).as_secs_f64();
        let allowed = self.allowed(evidence, rate * left);
        let first_step = limit.mul_f64(FIRST_STEP_FRACTIONS.0).as_secs_f64();
        let reserve = rate * (FIRST_SPREAD_SHARE * first_step + WITHDRAWAL_RESERVE.as_secs_f64());
        let usable = (allowed * CANARY_USE_FRACTION).min(allowed - reserve);
        let unused = (usable - all.new.answered).max(0.0);
        let canary_left = limit.mul_f64(SPREAD_TIME_FRACTION).saturating_sub(elapsed);
        let expected = rate * canary_left.as_secs_f64();
        (unused / expected.max(f64::MIN_POSITIVE)).min(MAX_UNPROVEN_SHARE)
    }
}

/// What decides on the next step of a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct StepInput<'a> {
    /// The order.
    pub order: &'a RolloutOrder,
    /// Its row.
    pub row: &'a RolloutRow,
    /// What is known of the new version.
    pub evidence: &'a Evidence,
    /// Traffic of the service.
    pub outlook: &'a TrafficOutlook,
    /// Load of the slots, once all traffic goes to the new version.
    pub load: Option<SlotLoad>,
    /// Time on the store's clock.
    pub now: Duration,
}

impl StepInput<'_> {
    fn elapsed(&self) -> Duration {
        let started = Duration::from_millis(self.row.started_ms);
        self.now.saturating_sub(started)
    }

    fn is_past(&self, fraction: f64) -> bool {
        self.elapsed() >= self.order.limit.mul_f64(fraction)
    }

    // True if the present step lasts for a fraction of the time limit.
    fn has_held(&self, fraction: f64) -> bool {
        let started = Duration::from_millis(self.row.started_ms);
        let stepped = Duration::from_millis(self.row.stepped_ms).max(started);
        self.now >= stepped + self.order.limit.mul_f64(fraction)
    }

    fn is_lenient(&self) -> bool {
        self.is_past(LENIENT_TIME_FRACTION)
    }

    fn unproven_share(&self) -> f64 {
        let left = self.order.limit.saturating_sub(self.elapsed());
        self.outlook.unproven_share(self.evidence, left)
    }

    // True if so little traffic is left that all of it is within the allowed exposure.
    fn is_all_allowed(&self) -> bool {
        self.is_lenient() && self.unproven_share() >= 1.0
    }
}

/// Next step that asks for evidence, and what it lacks; `None` while none is due.
pub fn held_step(input: &StepInput<'_>) -> Option<(NextStep, Lack)> {
    let row = input.row;
    let is_due = match row.phase {
        Phase::Complete | Phase::Reverted => false,
        Phase::Spread if row.share >= 1.0 => input.is_past(COMPLETE_TIME_FRACTION),
        Phase::Canary | Phase::Spread => input.is_past(SPREAD_TIME_FRACTION),
    };
    if !is_due {
        return None;
    }
    let step = next_step(row);
    let lack = input.evidence.lack(step, input.is_lenient(), input.load);
    lack.map(|lack| (step, lack))
}

fn next_step(row: &RolloutRow) -> NextStep {
    if row.is_unproven() {
        NextStep::FirstShare
    } else if row.share < 1.0 {
        NextStep::AllTraffic
    } else {
        NextStep::Completion
    }
}

/// Returns the phase and share that the roll-out must enter now, or `None` to stay
/// as it is. A regression is the caller's to act on.
pub fn due_step(input: &StepInput<'_>) -> Option<Step> {
    let row = input.row;
    if !row.phase.is_open() {
        return None;
    }
    if row.is_unproven() {
        return due_unproven_step(input);
    }
    let is_lenient = input.is_lenient();
    let lack = input.evidence.lack(next_step(row), is_lenient, input.load);
    let may_step = lack.is_none() || input.is_all_allowed();
    if row.share < 1.0 {
        let (usual, late) = FIRST_STEP_FRACTIONS;
        let has_held = input.has_held(if is_lenient { late } else { usual });
        if has_held && may_step {
            return Some(Step::spread(1.0));
        }
        let is_late = input.is_past(LAST_SPREAD_FRACTION) && has_held;
        return is_late.then_some(Step::REVERT);
    }
    let is_late = input.is_past(GIVE_UP_TIME_FRACTION);
    let has_held = input.has_held(STREAM_END_FRACTION);
    let is_due = input.is_past(COMPLETE_TIME_FRACTION) && has_held;
    if (is_due || is_late) && may_step {
        return Some(Step::COMPLETE);
    }
    is_late.then_some(Step::REVERT)
}

// Step of a version that has not got a share that asks for evidence.
fn due_unproven_step(input: &StepInput<'_>) -> Option<Step> {
    let StepInput { row, outlook, .. } = *input;
    let present = traffic_share(row, outlook.exposure_share);
    if !input.is_past(SPREAD_TIME_FRACTION) {
        let is_first = row.phase == Phase::Canary && row.stepped_ms == 0;
        if !is_first || !input.is_past(RATE_KNOWN_FRACTION) {
            return None;
        }
        let (limit, elapsed) = (input.order.limit, input.elapsed());
        let share = outlook.canary_share(input.evidence, limit, elapsed);
        let is_due = share >= present * MIN_UNPROVEN_INCREASE;
        return is_due.then_some(Step::canary(share));
    }
    let lack = input
        .evidence
        .lack(NextStep::FirstShare, input.is_lenient(), None);
    if lack.is_none() || input.is_all_allowed() {
        return Some(Step::spread(FIRST_SPREAD_SHARE));
    }
    if input.is_past(GIVE_UP_TIME_FRACTION) {
        return Some(Step::REVERT);
    }
    let share = input.unproven_share().min(MAX_UNPROVEN_SHARE);
    let is_due = row.phase == Phase::Canary && share >= present * MIN_UNPROVEN_INCREASE;
    is_due.then_some(Step::spread(share))
}

/// Share of the requests without a session that the new version gets.
pub fn traffic_share(row: &RolloutRow, exposure_share: f64) -> f64 {
    match row.phase {
        Phase::Canary if row.stepped_ms > 0 => row.share,
        Phase::Canary | Phase::Spread | Phase::Complete | Phase::Reverted => {
            session_share(row, exposure_share)
        }
    }
}

/// Share of the sessions that the new version gets. It is the same during all of the
/// canary phase, as gateways tell each other the sessions that it can move.
pub fn session_share(row: &RolloutRow, exposure_share: f64) -> f64 {
    match row.phase {
        Phase::Canary => exposure_share * CANARY_EXPOSURE_FRACTION,
        Phase::Spread => row.share,
        Phase::Complete => 1.0,
        Phase::Reverted => 0.0,
    }
}

fn full_share() -> f64 {
    1.0
}
