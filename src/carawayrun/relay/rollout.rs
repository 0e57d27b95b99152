//! How a roll-out moves on, and what share of traffic the new version takes.
//!
//! A roll-out is a row that any gateway may move on by compare-and-set; the
//! row's version fences a gateway that acts on old knowledge. The share is
//! constant while the new version is tried, so a session stays on its version;
//! then all traffic moves, and it completes once streams on the old version
//! had time to end. Any gateway that sees enough evidence reverts it.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::policy::{Tally, is_worse};

/// Part of the allowed exposure that the new version takes while it is tried;
/// the rest is for what it takes between moving on and reverting.
const CANARY_EXPOSURE_FRACTION: f64 = 0.5;

/// Part of the time at which all traffic moves: past the half, up to which
/// sessions stay on the version that they had.
const SPREAD_TIME_FRACTION: f64 = 0.55;

/// Part of the time at which it completes: streams that began on the old
/// version have over a third of the time to end, and a lost answer of the
/// store can be settled before the time is over.
const COMPLETE_TIME_FRACTION: f64 = 0.9;

/// Rise of the share of bad answers that is tolerated: about what one upstream
/// that fails by itself, among a dozen and a half, adds.
const TOLERATED_INCREASE: f64 = 0.05;

/// Chance of reverting a good version: under one in a hundred, the project's
/// own target.
const FALSE_REVERT_RATE: f64 = 0.01;

/// Time in which half of the recent outcomes are forgotten: long enough for a
/// dozen requests at a usual canary share.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);

/// An operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: CompactString,
    /// The new version.
    pub to: CompactString,
    /// Time within which it must be complete or reverted.
    pub limit: Duration,
    /// Version of the order's row, which tells orders of one service apart.
    pub version: u64,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Phase {
    /// A small share goes to the new version.
    Canary,
    /// All traffic goes to the new version; the old one ends its streams.
    Spread,
    /// The old version is gone.
    Complete,
    /// The new version is withdrawn.
    Reverted,
}

impl Phase {
    /// True until the outcome is decided.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Canary | Self::Spread)
    }
}

/// A roll-out as it is kept in the store.
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
    /// How far it is.
    pub phase: Phase,
    /// Versions that earlier orders brought and that were withdrawn; their
    /// upstreams may still be there.
    #[serde(default)]
    pub withdrawn: Vec<CompactString>,
}

impl RolloutRow {
    /// All versions that must get nothing.
    pub fn all_withdrawn(&self) -> Vec<CompactString> {
        let mut all = self.withdrawn.clone();
        if self.phase == Phase::Reverted && !all.contains(&self.to) {
            all.push(self.to.clone());
        }
        all
    }
}

/// Outcomes of one version at one gateway since an order.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Outcomes {
    /// Requests that ended.
    pub answered: f64,
    /// Those that failed.
    pub failed: f64,
    /// Those several times slower than usual.
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

/// Outcomes of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Comparison {
    /// Of all other versions.
    pub old: Outcomes,
    /// Of the new one.
    pub new: Outcomes,
}

impl Comparison {
    /// Adds another gateway's outcomes.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// True where the new version is worse than is tolerated.
    pub fn is_regression(&self) -> bool {
        is_worse(
            &self.old.tally(),
            &self.new.tally(),
            TOLERATED_INCREASE,
            FALSE_REVERT_RATE,
        )
    }
}

/// Outcomes since an order, and of its last seconds. A version that turns bad
/// late hides behind its earlier answers in the former.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutEvidence {
    /// Since the order.
    pub all: Comparison,
    /// The same, with older ones forgotten.
    pub recent: Comparison,
}

impl RolloutEvidence {
    /// Adds another gateway's outcomes.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.recent.add(&other.recent);
    }

    /// Takes in what was seen since the order by now, `elapsed` after the last time.
    pub fn update(&mut self, all: Comparison, elapsed: Duration) {
        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / RECENT_HALF_LIFE.as_secs_f64());
        let update = |recent: &mut Outcomes, before: &Outcomes, now: &Outcomes| {
            recent.answered = recent.answered * kept + now.answered - before.answered;
            recent.failed = recent.failed * kept + now.failed - before.failed;
            recent.slow = recent.slow * kept + now.slow - before.slow;
        };
        update(&mut self.recent.old, &self.all.old, &all.old);
        update(&mut self.recent.new, &self.all.new, &all.new);
        self.all = all;
    }

    /// True where the new version is worse than is tolerated.
    pub fn is_regression(&self) -> bool {
        self.all.is_regression() || self.recent.is_regression()
    }
}

/// The row that begins a roll-out after the one in `before`.
pub fn begin(order: &RolloutOrder, before: Option<&RolloutRow>, now: Duration) -> RolloutRow {
    let mut withdrawn = before.map(RolloutRow::all_withdrawn).unwrap_or_default();
    // An operator may bring a version again, repaired.
    withdrawn.retain(|version| *version != order.to);
    RolloutRow {
        withdrawn,
        service: order.service.clone(),
        to: order.to.clone(),
        order: order.version,
        started_ms: now.as_millis() as u64,
        phase: Phase::Canary,
    }
}

/// The phase that is due; none where the roll-out stays as it is. `now` is on
/// the store's clock.
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

/// Share of sessions and requests that the new version takes.
pub fn traffic_share(phase: Phase, exposure_share: f64) -> f64 {
    match phase {
        Phase::Canary => exposure_share * CANARY_EXPOSURE_FRACTION,
        Phase::Spread | Phase::Complete => 1.0,
        Phase::Reverted => 0.0,
    }
}
