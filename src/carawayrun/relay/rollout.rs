//! Phases of a roll-out and the traffic share of the new version.
//!
//! A roll-out is a row of the store that any gateway may update by
//! compare-and-set; the row's version fences gateways with stale knowledge. The
//! share is constant during the canary phase, so that sessions stay on their
//! version. Then all traffic moves, and the roll-out completes once streams on
//! the old version have had time to end. Any gateway with enough evidence against
//! the new version reverts it.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::policy::{Tally, is_worse};

/// Fraction of the allowed exposure that the canary gets; the rest covers the
/// traffic between the start of the spread and a revert.
const CANARY_EXPOSURE_FRACTION: f64 = 0.5;

/// Fraction of the time limit at which all traffic moves. More than one half, up
/// to which sessions must stay on their version.
const SPREAD_TIME_FRACTION: f64 = 0.55;

/// Fraction of the time limit at which the roll-out completes. Streams on the old
/// version have over a third of the time to end, and a write whose response was
/// lost can be resolved before the limit.
const COMPLETE_TIME_FRACTION: f64 = 0.9;

/// Tolerated increase of the share of bad outcomes: about what one failing
/// upstream among 18 adds.
const TOLERATED_INCREASE: f64 = 0.05;

/// Tolerated probability of reverting a good version: the project's target is
/// below 1 in 100.
const FALSE_REVERT_RATE: f64 = 0.01;

/// Half-life of recent outcomes: long enough for a dozen requests at a usual
/// canary share.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);

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
    /// All traffic goes to the new version; streams on the old one end.
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
    /// Versions of earlier orders that were withdrawn; their upstreams may still
    /// be registered.
    #[serde(default)]
    pub withdrawn: Vec<CompactString>,
}

impl RolloutRow {
    /// All versions that must get no traffic.
    pub fn all_withdrawn(&self) -> Vec<CompactString> {
        let mut all = self.withdrawn.clone();
        if self.phase == Phase::Reverted && !all.contains(&self.to) {
            all.push(self.to.clone());
        }
        all
    }
}

/// Counts of attempts at one version by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Outcomes {
    /// Attempts that were answered or lost, failed ones included. A stream counts
    /// when the head of its answer arrives.
    pub answered: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Attempts whose answer began several times later than usual.
    pub slow: f64,
}

impl Outcomes {
    /// Adds other outcomes.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    fn tally(&self) -> Tally {
        Tally {
            answered: self.answered,
            failed: self.failed,
            slow: self.slow,
            ..Tally::default()
        }
    }
}

/// Outcomes of attempts at the old versions and at the new one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Comparison {
    /// Outcomes of attempts at all other versions of the service.
    pub old: Outcomes,
    /// Outcomes of attempts at the new version.
    pub new: Outcomes,
}

impl Comparison {
    /// Adds another gateway's outcomes.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns true if the new version is worse than tolerated.
    pub fn is_regression(&self) -> bool {
        is_worse(
            &self.old.tally(),
            &self.new.tally(),
            TOLERATED_INCREASE,
            FALSE_REVERT_RATE,
        )
    }
}

/// Outcomes since an order and recent ones. The former alone would hide a version
/// that turns bad late behind its earlier good answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutEvidence {
    /// Outcomes since the order.
    pub all: Comparison,
    /// Outcomes that decay with a half-life.
    pub recent: Comparison,
}

impl RolloutEvidence {
    /// Adds another gateway's outcomes.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.recent.add(&other.recent);
    }

    /// Replaces the totals since the order with `all` and updates the recent
    /// outcomes; `elapsed` is the time since the last update.
    pub fn update(&mut self, all: Comparison, elapsed: Duration) {
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / RECENT_HALF_LIFE.as_secs_f64());
        let update = |recent: &mut Outcomes, before: &Outcomes, now: &Outcomes| {
            recent.answered = recent.answered * decay + now.answered - before.answered;
            recent.failed = recent.failed * decay + now.failed - before.failed;
            recent.slow = recent.slow * decay + now.slow - before.slow;
        };
        update(&mut self.recent.old, &self.all.old, &all.old);
        update(&mut self.recent.new, &self.all.new, &all.new);
        self.all = all;
    }

    /// Returns true if the new version is worse than tolerated.
    pub fn is_regression(&self) -> bool {
        self.all.is_regression() || self.recent.is_regression()
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
    }
}

/// Returns the phase that the roll-out must enter now, or `None` to stay in its
/// phase. `now` is on the store's clock.
pub fn due_phase(
    order: &RolloutOrder,
    row: &RolloutRow,
    evidence: &RolloutEvidence,
    now: Duration,
) -> Option<Phase> {
    if !row.phase.is_open() {
        return None;
    }
    if evidence.is_regression() {
        return Some(Phase::Reverted);
    }
    let elapsed = now.saturating_sub(Duration::from_millis(row.started_ms));
    if elapsed >= order.limit.mul_f64(COMPLETE_TIME_FRACTION) {
        return (row.phase == Phase::Spread)
            .then_some(Phase::Complete)
            .or(Some(Phase::Spread));
    }
    let spreads =
        row.phase == Phase::Canary && elapsed >= order.limit.mul_f64(SPREAD_TIME_FRACTION);
    spreads.then_some(Phase::Spread)
}

/// Share of sessions and requests that the new version gets.
pub fn traffic_share(phase: Phase, exposure_share: f64) -> f64 {
    match phase {
        Phase::Canary => exposure_share * CANARY_EXPOSURE_FRACTION,
        Phase::Spread | Phase::Complete => 1.0,
        Phase::Reverted => 0.0,
    }
}
