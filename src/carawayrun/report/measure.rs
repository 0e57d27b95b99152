//! Classification of requests as good or bad for an objective.

use compact_str::{CompactString, format_compact};

use crate::resource::{Config, Indicator, Objective};

/// Outcome of a request, as far as objectives depend on it.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Task, or method and path for plain services.
    pub task: &'a str,
    /// True where the request failed by a fault of the system or the upstream.
    pub failed: bool,
    /// Time to the first byte, in milliseconds.
    pub first_ms: u64,
    /// Time to the last byte, in milliseconds.
    pub total_ms: u64,
}

/// The part of an objective that decides which requests count and which are
/// good.
///
/// Target and window are not part of it, so they can change while the counts
/// continue.
#[derive(Debug, Clone, PartialEq)]
pub struct Measure {
    /// Key of the measure; equal for objectives that count the same requests.
    pub name: CompactString,
    objective: Objective,
}

impl Measure {
    /// Returns the measure of `objective`.
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

    /// Returns whether a request was good; `None` if it does not count.
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

/// Returns the distinct measures of all objectives.
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
