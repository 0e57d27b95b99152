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

use super::evidence::RolloutEvidence;

/// Fraction of the allowed exposure that the canary gets; the rest covers the
/// traffic between the first step of the spread and a revert.
const CANARY_EXPOSURE_FRACTION: f64 = 0.6;

/// Fraction of the time limit at which traffic begins to move. More than one half,
/// up to which sessions must stay on their version.
const SPREAD_TIME_FRACTION: f64 = 0.51;

/// Share of the new version in the first step of the spread. A version that fails
/// under load shows it here, while the old one still serves most requests.
const FIRST_SPREAD_SHARE: f64 = 0.3;

/// Shortest first step of the spread, as a fraction of the time limit.
const FIRST_STEP_FRACTION: f64 = 0.06;

/// Fraction of the time limit at which the roll-out completes. Streams on the old
/// version have a third of the time to end, and a write whose response was lost can
/// be resolved before the limit.
const COMPLETE_TIME_FRACTION: f64 = 0.9;

/// Time for streams on the old version to end, as a fraction of the time limit. A
/// spread that was late leaves them less, but at least a part of it.
const STREAM_END_FRACTION: f64 = 0.15;

/// Fraction of the time limit from which missing timings no longer hold the
/// roll-out back, nor missing answers if so little traffic is left that all of it
/// is within the allowed exposure.
const LENIENT_TIME_FRACTION: f64 = 0.75;

/// Fraction of the time limit at which a version without enough evidence in its
/// favour is withdrawn.
const GIVE_UP_TIME_FRACTION: f64 = 0.95;

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
    /// Share of the traffic that moves in [`Phase::Spread`].
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
    /// Share of the traffic that moves in [`Phase::Spread`].
    #[serde(default = "full_share")]
    pub share: f64,
    /// Time of the last step of the spread on the store's clock, in milliseconds;
    /// zero before the first.
    #[serde(default)]
    pub stepped_ms: u64,
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
    // Share that a version without evidence may get for the time left, whatever it
    // answers; zero while requests of some gateways are not known.
    fn unproven_share(&self, evidence: &RolloutEvidence, left: Duration) -> f64 {
        if !self.is_complete {
            return 0.0;
        }
        let (old, new) = (evidence.all.old.answered, evidence.all.new.answered);
        let expected = self.rate * left.as_secs_f64();
        let allowed = self.exposure_share * (old + new + expected) + self.exposure_slack;
        let unused = (allowed * UNPROVEN_EXPOSURE_FRACTION - new).max(0.0);
        unused / expected.max(f64::MIN_POSITIVE)
    }
}

/// Returns the phase and share that the roll-out must enter now, or `None` to stay
/// as it is. `now` is on the store's clock; a regression is the caller's to act on.
pub fn due_step(
    order: &RolloutOrder,
    row: &RolloutRow,
    evidence: &RolloutEvidence,
    outlook: &TrafficOutlook,
    now: Duration,
) -> Option<Step> {
    let started = Duration::from_millis(row.started_ms);
    let elapsed = now.saturating_sub(started);
    if row.is_unproven() {
        return due_unproven_step(order, row, evidence, outlook, elapsed);
    }
    let is_past = |fraction: f64| elapsed >= order.limit.mul_f64(fraction);
    let stepped = Duration::from_millis(row.stepped_ms).max(started);
    let has_held = |fraction: f64| now >= stepped + order.limit.mul_f64(fraction);
    match row.phase {
        Phase::Spread if row.share < 1.0 => {
            has_held(FIRST_STEP_FRACTION).then_some(Step::spread(1.0))
        }
        Phase::Spread => {
            let is_late = is_past(GIVE_UP_TIME_FRACTION);
            let is_due = is_past(COMPLETE_TIME_FRACTION) && has_held(STREAM_END_FRACTION);
            (is_due || is_late).then_some(Step::COMPLETE)
        }
        Phase::Canary | Phase::Complete | Phase::Reverted => None,
    }
}

// Step of a version that has not got a share that asks for evidence, `elapsed` after
// the start of its roll-out.
fn due_unproven_step(
    order: &RolloutOrder,
    row: &RolloutRow,
    evidence: &RolloutEvidence,
    outlook: &TrafficOutlook,
    elapsed: Duration,
) -> Option<Step> {
    let is_past = |fraction: f64| elapsed >= order.limit.mul_f64(fraction);
    if !is_past(SPREAD_TIME_FRACTION) {
        return None;
    }
    let is_lenient = is_past(LENIENT_TIME_FRACTION);
    let left = order.limit.saturating_sub(elapsed);
    let share = outlook.unproven_share(evidence, left);
    if evidence.is_in_favour(is_lenient) || is_lenient && share >= 1.0 {
        return Some(Step::spread(FIRST_SPREAD_SHARE));
    }
    if is_past(GIVE_UP_TIME_FRACTION) {
        return Some(Step::REVERT);
    }
    let present = traffic_share(row, outlook.exposure_share);
    let share = share.min(MAX_UNPROVEN_SHARE);
    let is_due = row.phase == Phase::Canary && share >= present * MIN_UNPROVEN_INCREASE;
    is_due.then_some(Step::spread(share))
}

/// Share of sessions and requests that the new version gets.
pub fn traffic_share(row: &RolloutRow, exposure_share: f64) -> f64 {
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
