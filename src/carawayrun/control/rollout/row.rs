//! State of the roll-outs in the lease row of their owner.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use crate::control::view::RolloutPhase;
use crate::policy::Progress;
use crate::resource::Rollout;

/// Persisted state of all roll-outs.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct SavedState {
    pub(super) rollouts: BTreeMap<CompactString, SavedRollout>,
    /// Bad versions whose withdrawal is not written yet.
    pub(super) bad: BTreeSet<CompactString>,
}

/// Persisted state of one roll-out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct SavedRollout {
    pub(super) from: CompactString,
    pub(super) to: CompactString,
    pub(super) phase: RolloutPhase,
    /// Current step, and the evidence of the steps before it.
    pub(super) progress: Progress,
    /// Requests that the new version had answered when the row was written.
    pub(super) exposed: f64,
}

impl SavedRollout {
    pub(super) fn new(rollout: &Rollout) -> Self {
        Self {
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            phase: RolloutPhase::Running,
            progress: Progress::default(),
            exposed: 0.0,
        }
    }

    pub(super) fn is_for(&self, rollout: &Rollout) -> bool {
        self.from == rollout.from && self.to == rollout.to
    }
}

impl SavedState {
    /// Parses the state of a row; none if it is not valid.
    pub(super) fn parse(state: &RawValue) -> Option<Self> {
        serde_json::from_str(state.get()).ok()
    }

    pub(super) fn to_json(&self) -> Box<RawValue> {
        to_raw_value(self).expect("the state of roll-outs serializes to JSON")
    }
}
