//! Inputs and results of planning a request.

use snafu::Snafu;

use super::estimates::Estimates;
use super::explanation::Explanation;
use super::pools::Pools;
use crate::resource::{Config, ServiceKey, TeamKey, VersionKey};

/// The properties of a request that its plan depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlanRequest<'a> {
    /// The team that sent the request.
    pub team: TeamKey,
    /// The requested engine service.
    pub service: ServiceKey,
    /// Name of the task, or empty for the service's first task.
    pub task: &'a str,
    /// A model or the exact name of a version, or empty for any version.
    pub model: &'a str,
    /// Target quality that overrides the task's target.
    pub quality: Option<f64>,
    /// Time left until the first byte is due, in milliseconds.
    pub budget_ms: u64,
    /// Version that the session is pinned to.
    pub pinned: Option<VersionKey>,
    /// Whether the answer is streamed to a person.
    pub stream: bool,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that are expected in the engine's cache.
    pub cached_tokens: u64,
}

/// The state that a request is planned against.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// Estimates of the versions' quality, latency and output length.
    pub estimates: &'a Estimates,
    /// The upstreams that take new work.
    pub pools: &'a Pools,
    /// Traffic splits of the roll-outs that are under way or complete.
    pub splits: &'a [Split],
    /// Versions whose withdrawal may not be in the configuration yet.
    pub suspended: &'a [VersionKey],
    /// Cost of one rating that a gate waits for, in millionths of the currency
    /// unit.
    pub rating_micros: f64,
    /// Time that a gate waits for a rating, in milliseconds.
    pub rating_ms: f64,
    /// Share of ratings that arrive within that time, in 0..=1.
    pub rated_share: f64,
}

/// Division of new work between the two versions of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Split {
    /// The old version.
    pub from: VersionKey,
    /// The new version.
    pub to: VersionKey,
    /// Share of the old version's new work that goes to the new one, in 0..=1.
    pub share: f64,
    /// Whether the roll-out still compares the two versions.
    pub compared: bool,
}

/// Condition on which an answer is returned without a further step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gate {
    /// Least rating that passes.
    pub score: f64,
    /// Time to wait for the rating, in milliseconds. The next step follows if no
    /// rating arrives in time.
    pub wait_ms: u64,
}

/// One step of a plan: a version that answers the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The version that answers.
    pub version: VersionKey,
    /// Decides whether the answer is returned; `None` for the last step.
    pub gate: Option<Gate>,
    /// Whether a random split selected the version, old or new, for a roll-out
    /// that still compares the two.
    pub compared: bool,
    /// Added to a rating of this step's answer before the estimates record it,
    /// since a second step gets the requests that were hard for the first.
    pub rating_shift: f64,
}

/// The versions that answer a request, in order, and the reason.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// One step, or two where a cascade is cheaper.
    pub steps: Vec<Step>,
    /// How the plan was chosen.
    pub explanation: Explanation,
}

/// Reason why no version may answer a request.
///
/// If the requested versions that the team may use are unavailable for
/// different reasons, the reason of the last one in the team's list is
/// returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum PlanError {
    /// The team or the service no longer exists.
    #[snafu(display("team or service is gone from the configuration"))]
    NotConfigured,
    /// The service has no such task.
    #[snafu(display("the service has no such task; see its Service resource"))]
    UnknownTask,
    /// Neither a model nor a version has that name.
    #[snafu(display("no model or version of the service has that name"))]
    UnknownModel,
    /// The team may not use any of the requested versions.
    #[snafu(display("the team may not use it; add the version to the Team resource"))]
    ForbiddenVersion,
    /// A requested version is withdrawn, suspended or still a candidate.
    #[snafu(display("every version asked for is withdrawn"))]
    Withdrawn,
    /// No upstream has a requested version warm.
    #[snafu(display("no upstream has a permitted version warm"))]
    NoUpstream,
}
