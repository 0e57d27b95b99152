//! Burn rates and error budgets from counts.
//!
//! The burn rate of a window is the share of bad requests in it divided by the
//! share that the objective allows: at rate 1 the budget lasts exactly its
//! window. An alert needs two windows: a long one, which a short error spike
//! does not trip, and a short one, which recovers soon after the cause is
//! fixed.

use compact_str::CompactString;
use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use super::counts::ObjectiveCounts;
use super::sums::{BUCKET_MS, Count, HOUR_MS, HourRow};
use crate::resource::{Config, Objective};

/// Threshold over one hour and five minutes; this rate uses 2% of a 30-day
/// budget in an hour.
const FAST_BURN_RATE: f64 = 14.4;

/// Threshold over six hours and half an hour; this rate uses 5% of a 30-day
/// budget in six hours.
const SLOW_BURN_RATE: f64 = 6.0;

const DAY_MS: u64 = 24 * HOUR_MS;

/// Window of a burn rate.
///
/// It starts at a bucket boundary, so it is up to five minutes longer than its
/// name says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Half an hour.
    #[serde(rename = "30m")]
    HalfHour,
    /// An hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
    ];

    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
        }
    }

    pub(super) fn length_ms(self) -> u64 {
        match self {
            Self::FiveMinutes => BUCKET_MS,
            Self::HalfHour => HOUR_MS / 2,
            Self::Hour => HOUR_MS,
            Self::SixHours => 6 * HOUR_MS,
        }
    }
}

/// Alert level of an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Alert {
    /// No action is needed.
    None,
    /// Act within the day: the budget will not last for its window.
    Slow,
    /// Act now: at the threshold rate a 30-day budget lasts 50 hours.
    Fast,
}

/// Burn report of all objectives.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BurnReport {
    /// Time of the report, RFC 3339.
    pub time: CompactString,
    /// Generation of the configuration with these objectives.
    pub generation: u64,
    /// True where the stored counts, those of other gateways and of the past,
    /// could not be read, so the report covers the answering gateway's memory
    /// only.
    pub partial: bool,
    /// Objectives, sorted by name.
    pub objectives: Vec<ObjectiveBurn>,
}

/// Burn of one objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectiveBurn {
    /// Name of the resource.
    pub name: CompactString,
    /// Specification of the objective.
    pub objective: Objective,
    /// Alert level.
    pub alert: Alert,
    /// Requests in the budget window.
    pub budget: Count,
    /// Share of the error budget that is left; negative if it is exceeded.
    pub budget_left: f64,
    /// Burn per window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Burn over the budget window per team and version.
    pub parts: Vec<PartBurn>,
    /// Burn rates of the last six hours, one point per bucket.
    pub series: Vec<SeriesPoint>,
}

/// Burn over one window.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Requests counted.
    #[serde(flatten)]
    pub count: Count,
    /// Burn rate: share of bad requests divided by the allowed share.
    pub rate: f64,
}

/// Burn of one team's requests to one version.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PartBurn {
    /// Name of the team.
    pub team: CompactString,
    /// Version that answered; empty for plain services and unanswered requests.
    pub version: CompactString,
    /// Requests counted.
    #[serde(flatten)]
    pub count: Count,
    /// Burn rate: share of bad requests divided by the allowed share.
    pub rate: f64,
}

/// Burn rate of one bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SeriesPoint {
    /// Minutes from the start of the bucket to that of the current one.
    pub minutes_ago: u64,
    /// Burn rate: share of bad requests divided by the allowed share.
    pub rate: f64,
}

/// Builds the report at `now_ms`, milliseconds after the Unix epoch, from the
/// hourly `rows` of all gateways; `partial` where the stored ones could not be
/// read.
pub fn burn_report(config: &Config, rows: &[HourRow], now_ms: u64, partial: bool) -> BurnReport {
    let mut objectives: Vec<ObjectiveBurn> = config
        .objectives
        .iter()
        .map(|(_, named)| objective_burn(&named.name, &named.spec, rows, now_ms))
        .collect();
    objectives.sort_by(|one, other| one.name.cmp(&other.name));
    BurnReport {
        time: format_time(now_ms),
        generation: config.generation,
        partial,
        objectives,
    }
}

fn format_time(now_ms: u64) -> CompactString {
    let time = Timestamp::from_millisecond(now_ms as i64).unwrap_or_default();
    CompactString::from(time.to_string())
}

fn objective_burn(
    name: &CompactString,
    objective: &Objective,
    rows: &[HourRow],
    now_ms: u64,
) -> ObjectiveBurn {
    let counts = ObjectiveCounts::collect(objective, rows, now_ms);
    let budget_ms = u64::from(objective.window_days) * DAY_MS;
    let budget = counts.sum_within(budget_ms);
    let windows: Vec<WindowBurn> = Window::ALL
        .into_iter()
        .map(|window| window_burn(objective, &counts, window))
        .collect();
    ObjectiveBurn {
        name: name.clone(),
        objective: objective.clone(),
        alert: alert_level(&windows),
        budget,
        budget_left: 1.0 - burn_rate(objective, budget),
        windows,
        parts: counts.burn_by_part(objective, budget_ms),
        series: counts.rate_series(objective),
    }
}

fn window_burn(objective: &Objective, counts: &ObjectiveCounts, window: Window) -> WindowBurn {
    let count = counts.sum_within(window.length_ms());
    WindowBurn {
        window,
        count,
        rate: burn_rate(objective, count),
    }
}

/// Returns the burn rate of a count; zero without requests.
pub(super) fn burn_rate(objective: &Objective, count: Count) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let bad = count.bad() as f64 / count.total as f64;
    bad / (1.0 - objective.target)
}

fn alert_level(windows: &[WindowBurn]) -> Alert {
    let reaches = |window: Window, rate: f64| {
        windows
            .iter()
            .any(|burn| burn.window == window && burn.rate >= rate)
    };
    if reaches(Window::Hour, FAST_BURN_RATE) && reaches(Window::FiveMinutes, FAST_BURN_RATE) {
        Alert::Fast
    } else if reaches(Window::SixHours, SLOW_BURN_RATE) && reaches(Window::HalfHour, SLOW_BURN_RATE)
    {
        Alert::Slow
    } else {
        Alert::None
    }
}
