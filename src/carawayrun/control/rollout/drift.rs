//! Detects versions that get worse while no roll-out is active.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::control::context::Context;
use crate::control::evidence::{OutcomeKey, OutcomeSums};
use crate::control::time::Millis;
use crate::policy::{DriftDetector, DriftVerdict, Tally};
use crate::resource::{Config, Phase};

/// Shortest time between two detections. Several versions that get worse at
/// once point to a shared cause, such as a fault of the rating service.
const MIN_DETECTION_GAP: Millis = Millis(600_000);

/// One drift detector for each version and task.
#[derive(Debug, Default)]
pub(super) struct Drift {
    detectors: BTreeMap<OutcomeKey, VersionDetector>,
    last_detection: Option<Millis>,
}

#[derive(Debug, Default)]
struct VersionDetector {
    detector: DriftDetector,
    last_tally: Tally,
}

impl Drift {
    /// Returns the version whose outcomes got worse since the last call.
    ///
    /// Returns none if several versions with an alternative got worse at once,
    /// or if the last detection is less than [`MIN_DETECTION_GAP`] ago.
    pub(super) fn detect(&mut self, sums: &OutcomeSums, context: &Context) -> Vec<CompactString> {
        let mut worse = Vec::new();
        for (key, tally) in sums.iter() {
            let known = self.detectors.entry(key.clone()).or_default();
            let delta = *tally - known.last_tally;
            known.last_tally = *tally;
            if delta.answered < 0.0 || delta.rated < 0.0 {
                continue;
            }
            if known.detector.observe(&delta) == DriftVerdict::Worse {
                known.detector = DriftDetector::default();
                worse.push(key.version.clone());
            }
        }
        worse.dedup();
        let gap_passed = self
            .last_detection
            .is_none_or(|last| context.now.since(last) >= MIN_DETECTION_GAP);
        worse.retain(|version| has_alternative(version, &context.config));
        if worse.len() != 1 || !gap_passed {
            return Vec::new();
        }
        self.last_detection = Some(context.now);
        worse
    }
}

// True if every team that may use the version may also use another active
// version of the same service.
fn has_alternative(name: &CompactString, config: &Config) -> bool {
    let Some(version) = config.versions.by_name(name) else {
        return false;
    };
    if version.spec.phase == Phase::Withdrawn {
        return false;
    }
    let service = &version.spec.service;
    let is_alternative = |other: &CompactString| {
        other != name
            && config.versions.by_name(other).is_some_and(|other| {
                other.spec.phase == Phase::Active && other.spec.service == *service
            })
    };
    let teams = config.teams.iter();
    teams
        .filter(|(_, team)| team.spec.versions.contains(name))
        .all(|(_, team)| team.spec.versions.iter().any(is_alternative))
}
