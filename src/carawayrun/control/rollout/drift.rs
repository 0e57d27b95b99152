//! Versions that turn bad with no roll-out under way.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::control::context::Context;
use crate::control::evidence::{OutcomeKey, OutcomeSums};
use crate::control::time::Millis;
use crate::policy::{DriftDetector, DriftVerdict, Tally};
use crate::resource::{Config, Phase};

/// Shortest time between two versions found: several at once point to a fault
/// that they share, such as of the rating service.
const REST: Millis = Millis(600_000);

/// A detector for each version and task.
#[derive(Debug, Default)]
pub(super) struct Drift {
    watched: BTreeMap<OutcomeKey, Watched>,
    found: Option<Millis>,
}

#[derive(Debug, Default)]
struct Watched {
    detector: DriftDetector,
    seen: Tally,
}

impl Drift {
    /// Versions that turned bad since the last call.
    pub(super) fn watch(&mut self, sums: &OutcomeSums, context: &Context) -> Vec<CompactString> {
        let mut worse = Vec::new();
        for (cell, tally) in sums.iter() {
            let watched = self.watched.entry(cell.clone()).or_default();
            let news = *tally - watched.seen;
            watched.seen = *tally;
            if news.answered < 0.0 || news.rated < 0.0 {
                continue;
            }
            if watched.detector.observe(&news) == DriftVerdict::Worse {
                watched.detector = DriftDetector::default();
                worse.push(cell.version.clone());
            }
        }
        worse.dedup();
        let rested = self
            .found
            .is_none_or(|found| context.now.since(found) >= REST);
        worse.retain(|version| has_stand_in(version, &context.config));
        if worse.len() != 1 || !rested {
            return Vec::new();
        }
        self.found = Some(context.now);
        worse
    }
}

// True where every team that may use the version may use another one of its
// service too.
fn has_stand_in(name: &CompactString, config: &Config) -> bool {
    let Some(version) = config.versions.by_name(name) else {
        return false;
    };
    if version.spec.phase == Phase::Withdrawn {
        return false;
    }
    let service = &version.spec.service;
    let stands_in = |other: &CompactString| {
        other != name
            && config.versions.by_name(other).is_some_and(|other| {
                other.spec.phase == Phase::Active && other.spec.service == *service
            })
    };
    let teams = config.teams.iter();
    teams
        .filter(|(_, team)| team.spec.versions.contains(name))
        .all(|(_, team)| team.spec.versions.iter().any(stands_in))
}
