//! What is counted for an objective.

use compact_str::{CompactString, format_compact};

use crate::resource::{Config, Indicator, Objective};

/// How a request ended, as far as objectives care.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Task, or method and path of a plain call.
    pub task: &'a str,
    /// True where it failed through our side or the upstream's.
    pub failed: bool,
    /// Time to the first byte, in milliseconds.
    pub first_ms: u64,
    /// Time to the last byte, in milliseconds.
    pub total_ms: u64,
}

/// What an objective counts, apart from its target and window, which may
/// change without a new count.
#[derive(Debug, Clone, PartialEq)]
pub struct Measure {
    /// Identifies it; equal for objectives that count the same.
    pub name: CompactString,
    objective: Objective,
}

impl Measure {
    /// What `objective` counts.
    pub fn of(objective: &Objective) -> Self {
        let indicator = match objective.indicator {
            Indicator::Availability => "availability",
            Indicator::FirstByte => "firstByte",
            Indicator::Duration => "duration",
        };
        let name = format_compact!(
            "{}|{}|{}|{indicator}|{}",
            objective.service,
            objective.task.as_deref().unwrap_or("*"),
            objective.team.as_deref().unwrap_or("*"),
            objective.threshold_ms
        );
        Self {
            name,
            objective: objective.clone(),
        }
    }

    /// Whether a request was good; `None` where it is not counted.
    pub fn evaluate(&self, sample: &Sample<'_>) -> Option<bool> {
        let objective = &self.objective;
        let task = objective
            .task
            .as_ref()
            .is_none_or(|task| task == sample.task);
        let team = objective
            .team
            .as_ref()
            .is_none_or(|team| team == sample.team);
        if objective.service != sample.service || !task || !team {
            return None;
        }
        let in_time = match objective.indicator {
            Indicator::Availability => true,
            Indicator::FirstByte => sample.first_ms <= objective.threshold_ms,
            Indicator::Duration => sample.total_ms <= objective.threshold_ms,
        };
        Some(in_time && !sample.failed)
    }
}

/// All that is counted at a configuration, each measure once.
pub fn measures(config: &Config) -> Vec<Measure> {
    let mut found: Vec<Measure> = Vec::new();
    for (_, named) in config.objectives.iter() {
        let measure = Measure::of(&named.spec);
        if found.iter().all(|known| known.name != measure.name) {
            found.push(measure);
        }
    }
    found
}
