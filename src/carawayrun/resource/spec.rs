//! Desired state of each kind of resource.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// A customer with keys, permissions and limits.
    Team,
    /// A pool of upstreams of one type, with its tasks and routes.
    Service,
    /// One version of a model.
    Version,
    /// One backend server.
    Upstream,
    /// A gradual move of traffic from one version to another.
    Rollout,
    /// A service-level objective.
    Objective,
}

impl Kind {
    /// All kinds, in the order in which a manifest set is applied.
    pub const ALL: [Self; 6] = [
        Self::Service,
        Self::Version,
        Self::Upstream,
        Self::Team,
        Self::Rollout,
        Self::Objective,
    ];

    /// Returns the name used in manifests and table rows.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Team => "Team",
            Self::Service => "Service",
            Self::Version => "Version",
            Self::Upstream => "Upstream",
            Self::Rollout => "Rollout",
            Self::Objective => "Objective",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = UnknownKindError;

    /// Accepts any letter case and the plural, since operators type both.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let lower = text.to_ascii_lowercase();
        let singular = lower.strip_suffix('s').unwrap_or(&lower);
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(singular))
            .ok_or_else(|| UnknownKindError { text: text.into() })
    }
}

/// Error for a text that is not the name of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display(
    "unknown kind `{text}`; accepted are team, service, version, upstream, rollout and objective"
))]
pub struct UnknownKindError {
    text: CompactString,
}

/// Desired state of a resource of any kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum Spec {
    /// See [`Team`].
    Team(Team),
    /// See [`Service`].
    Service(Service),
    /// See [`Version`].
    Version(Version),
    /// See [`Upstream`].
    Upstream(Upstream),
    /// See [`Rollout`].
    Rollout(Rollout),
    /// See [`Objective`].
    Objective(Objective),
}

impl Spec {
    /// Returns the kind of this spec.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Team(_) => Kind::Team,
            Self::Service(_) => Kind::Service,
            Self::Version(_) => Kind::Version,
            Self::Upstream(_) => Kind::Upstream,
            Self::Rollout(_) => Kind::Rollout,
            Self::Objective(_) => Kind::Objective,
        }
    }
}

/// A team with its keys, permissions and limits.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's keys, in hexadecimal.
    pub key_digests: Vec<CompactString>,
    /// Names of the versions the team may use.
    #[serde(default)]
    pub versions: Vec<CompactString>,
    /// Names of the plain services the team may call.
    #[serde(default)]
    pub services: Vec<CompactString>,
    /// Limits, shared by all gateways.
    #[serde(default)]
    pub limits: Limits,
    /// The team's weights for the choice of a plan.
    #[serde(default)]
    pub weights: Weights,
}

/// Limits of a team, shared by all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second.
    pub rate: f64,
    /// Requests above the rate that may arrive at once.
    pub burst: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate: 100.0,
            burst: 100.0,
            concurrency: 200,
        }
    }
}

/// Relative weights of latency, cost and exposure in the choice of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of expected latency.
    pub latency: f64,
    /// Weight of expected cost.
    pub cost: f64,
    /// Weight of the probability that an unproven version answers.
    pub exposure: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            latency: 1.0,
            cost: 1.0,
            exposure: 1.0,
        }
    }
}

/// Type of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Backend {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// A pool of upstreams that serve the same calls.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Service {
    /// Type of the upstreams.
    pub backend: Backend,
    /// Tasks of an engine service, named by callers; the first is the default.
    #[serde(default)]
    pub tasks: Vec<Task>,
    /// Routes of a plain service; a call that matches none is refused.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// Urgency of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TaskClass {
    /// A person waits for the answer.
    Interactive,
    /// The answer is needed soon.
    Normal,
    /// The task may wait for spare capacity.
    Batch,
}

/// A task of an engine service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Task {
    /// Name, which callers send in `x-carawayrun-task`.
    pub name: CompactString,
    /// Urgency.
    pub class: TaskClass,
    /// Minimum expected rating of an answer, in 0..=1.
    pub quality: f64,
    /// Promised time to the first byte, in milliseconds.
    pub latency_ms: u64,
    /// True if a cheaper version may be tried first, with a gate on its answer.
    #[serde(default)]
    pub cascade: bool,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    pub method: CompactString,
    /// Path prefix, relative to the service.
    pub path: CompactString,
    /// True if a call may be repeated.
    pub idempotent: bool,
    /// Urgency.
    pub class: TaskClass,
    /// Price of one call, in millionths of the currency unit.
    #[serde(default)]
    pub price_micros: u64,
}

/// Whether a version takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Phase {
    /// Takes new work.
    #[default]
    Active,
    /// Takes new work only as the target of a roll-out.
    Candidate,
    /// Takes no new work.
    Withdrawn,
}

/// Prices of tokens, in millionths of the currency unit per 1,000 tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Price {
    /// Prompt tokens that were not in the cache.
    pub prompt: u64,
    /// Prompt tokens that were in the cache.
    #[serde(default)]
    pub cached: u64,
    /// Generated tokens.
    pub completion: u64,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Version {
    /// Name of the model that callers ask for.
    pub model: CompactString,
    /// Name of the engine service that runs it.
    pub service: CompactString,
    /// Whether it takes new work.
    #[serde(default)]
    pub phase: Phase,
    /// Price of its tokens.
    pub price: Price,
    /// Initial estimate of the mean rating by task, in 0..=1.
    #[serde(default)]
    pub quality: BTreeMap<CompactString, f64>,
    /// Initial estimate of the time to the first byte, in milliseconds.
    #[serde(default)]
    pub latency_ms: u64,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Upstream {
    /// Name of its service.
    pub service: CompactString,
    /// Data centre in which it runs.
    pub data_centre: CompactString,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Versions it should have loaded.
    #[serde(default)]
    pub versions: Vec<CompactString>,
    /// True if the engine refuses orders with a fencing number lower than the
    /// highest that it has seen.
    #[serde(default)]
    pub fenced: bool,
    /// True if it must finish its requests and take no new ones.
    #[serde(default)]
    pub drain: bool,
}

/// A gradual move of a model's traffic from one version to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Rollout {
    /// Model whose traffic moves.
    pub model: CompactString,
    /// The old version.
    pub from: CompactString,
    /// The new version.
    pub to: CompactString,
    /// Increasing traffic shares in 0..=1; each is held until the evidence
    /// permits the next one.
    pub steps: Vec<f64>,
    /// Maximum number of requests that the new version may answer before it is
    /// evaluated.
    pub max_exposure: u64,
    /// Decrease of the mean rating, or increase of the failure rate, above
    /// which the new version counts as worse.
    pub tolerance: f64,
    /// Accepted probability of withdrawing a good version.
    pub error_rate: f64,
    /// True if the traffic share is held.
    #[serde(default)]
    pub paused: bool,
}

/// Indicator that an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Indicator {
    /// Proportion of requests that did not fail.
    Availability,
    /// Proportion of requests with the first byte within `threshold_ms`.
    FirstByte,
    /// Proportion of requests with the last byte within `threshold_ms`.
    Duration,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Objective {
    /// Service that it covers.
    pub service: CompactString,
    /// Task that it covers; all tasks if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<CompactString>,
    /// Team that it covers; all teams if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<CompactString>,
    /// Measured indicator.
    pub indicator: Indicator,
    /// Latency bound in milliseconds, for the latency indicators.
    #[serde(default)]
    pub threshold_ms: u64,
    /// Target proportion of good requests, in 0..1.
    pub target: f64,
    /// Length of the budget window, in days.
    pub window_days: u32,
}
