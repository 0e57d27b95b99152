//! What a plan is made from and what it holds.

use snafu::Snafu;

use super::estimates::Estimates;
use super::explanation::Explanation;
use super::pools::Pools;
use crate::resource::{Config, ServiceKey, TeamKey, VersionKey};

/// One request, as far as the plan depends on it.
#[derive(Debug, Clone, Copy)]
pub struct PlanRequest<'a> {
    /// Who asks.
    pub team: TeamKey,
    /// The engine service asked.
    pub service: ServiceKey,
    /// Name of the task; the service's first where empty.
    pub task: &'a str,
    /// A model or the exact name of a version; any version where empty.
    pub model: &'a str,
    /// Quality that replaces the task's target.
    pub quality: Option<f64>,
    /// Time left for the first byte, in milliseconds.
    pub budget_ms: u64,
    /// Version of the session.
    pub pinned: Option<VersionKey>,
    /// True where the answer is streamed to a person.
    pub stream: bool,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that are expected in the cache.
    pub cached_tokens: u64,
}

/// What the plan is chosen from.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// What was learned of the versions.
    pub estimates: &'a Estimates,
    /// The upstreams that take new work.
    pub pools: &'a Pools,
    /// Roll-outs under way or complete.
    pub splits: &'a [Split],
    /// Versions that were judged bad and may still be active in the
    /// configuration.
    pub suspended: &'a [VersionKey],
    /// Cost of one rating that a gate waits for, in millionths of the currency
    /// unit.
    pub rating_micros: f64,
    /// Time a gate waits for a rating, in milliseconds.
    pub rating_ms: f64,
    /// Share of ratings that come in that time, in 0..=1.
    pub rated_share: f64,
}

/// How a roll-out divides new work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Split {
    /// The old version.
    pub from: VersionKey,
    /// The new version.
    pub to: VersionKey,
    /// Share of the old version's new work that the new one gets, in 0..=1.
    pub share: f64,
    /// True while the two are compared.
    pub compared: bool,
}

/// When an answer is passed on without a further step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gate {
    /// Least rating that passes.
    pub score: f64,
    /// How long to wait for the rating, in milliseconds; without one the next
    /// step follows.
    pub wait_ms: u64,
}

/// One version to ask.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The version.
    pub version: VersionKey,
    /// Decides whether its answer is passed on; the last step has none.
    pub gate: Option<Gate>,
    /// True where a roll-out's random split drew the version, old or new.
    pub compared: bool,
    /// To be added to a rating of this step's answer before it is learned: a
    /// second step gets the requests that were hard for the first.
    pub rating_shift: f64,
}

/// The versions to ask, in order, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// One step, or two where a cascade is cheaper.
    pub steps: Vec<Step>,
    /// Why.
    pub explanation: Explanation,
}

/// Why a request can't be planned.
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
    /// The team may use no version that was asked for.
    #[snafu(display("the team may not use it; add the version to the Team resource"))]
    ForbiddenVersion,
    /// Every version that was asked for is withdrawn.
    #[snafu(display("every version asked for is withdrawn"))]
    Withdrawn,
    /// No upstream has a permitted version warm.
    #[snafu(display("no upstream has a permitted version warm"))]
    NoUpstream,
}
