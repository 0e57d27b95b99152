//! What the home of the roll-outs keeps in its work row.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use crate::control::view::RolloutPhase;
use crate::policy::Progress;
use crate::resource::Rollout;

/// State of all roll-outs.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct SavedState {
    pub(super) rollouts: BTreeMap<CompactString, SavedRollout>,
    /// Versions judged bad whose withdrawal has still to be written.
    pub(super) bad: BTreeSet<CompactString>,
}

/// State of one roll-out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct SavedRollout {
    pub(super) from: CompactString,
    pub(super) to: CompactString,
    pub(super) phase: RolloutPhase,
    /// What the steps before the current one have shown.
    pub(super) progress: Progress,
    /// Requests that the new version answered, when this was written.
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
    /// The state of a row; none where it holds none.
    pub(super) fn parse(state: &RawValue) -> Option<Self> {
        serde_json::from_str(state.get()).ok()
    }

    pub(super) fn to_json(&self) -> Box<RawValue> {
        to_raw_value(self).expect("the state of roll-outs can be written as JSON")
    }
}
