//! The desired state of each kind of resource.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The kinds of resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// A customer with keys, permissions and limits.
    Team,
    /// A pool of upstreams of one sort, with its tasks and routes.
    Service,
    /// One version of a model.
    Version,
    /// One back end.
    Upstream,
    /// A move of traffic from one version to another.
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

    /// The name as manifests and table rows write it.
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

    /// Accepts any letter case and the plural, as operators type them.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let lower = text.to_ascii_lowercase();
        let singular = lower.strip_suffix('s').unwrap_or(&lower);
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(singular))
            .ok_or_else(|| UnknownKindError { text: text.into() })
    }
}

/// A text that names no kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display(
    "unknown kind `{text}`; accepted are team, service, version, upstream, rollout and objective"
))]
pub struct UnknownKindError {
    text: CompactString,
}

/// The desired state of a resource of any kind.
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
    /// The kind of this spec.
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

/// A team: who may call, what it may use and how much.
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
    /// Limits over all gateways.
    #[serde(default)]
    pub limits: Limits,
    /// What matters to the team, for the choice of plans.
    #[serde(default)]
    pub weights: Weights,
}

/// Limits of a team, shared by all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may arrive at once above the rate.
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
    /// Weight of the chance of being answered by an unproven version.
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

/// What stands behind a service.
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
    /// What stands behind it.
    pub backend: Backend,
    /// Tasks that callers of an engine service name; the first is the default.
    #[serde(default)]
    pub tasks: Vec<Task>,
    /// Calls of a plain service; a call that matches none is refused.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// How urgent a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TaskClass {
    /// A person waits for it.
    Interactive,
    /// Soon.
    Normal,
    /// When there is room.
    Batch,
}

/// A task of an engine service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Task {
    /// Name, as callers write it in `x-carawayrun-task`.
    pub name: CompactString,
    /// Urgency.
    pub class: TaskClass,
    /// Expected rating in 0..=1 that an answer has to meet.
    pub quality: f64,
    /// Time to the first byte that is promised, in milliseconds.
    pub latency_ms: u64,
    /// True where a cheaper version may be tried first behind a gate.
    #[serde(default)]
    pub cascade: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    pub method: CompactString,
    /// Path prefix below the service.
    pub path: CompactString,
    /// True where the call may be repeated.
    pub idempotent: bool,
    /// Urgency.
    pub class: TaskClass,
    /// Cost of one call, in millionths of the currency unit.
    #[serde(default)]
    pub price_micros: u64,
}

/// Whether a version takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Phase {
    /// Takes work.
    #[default]
    Active,
    /// Takes work only as the new side of a roll-out.
    Candidate,
    /// Takes no new work.
    Withdrawn,
}

/// Price of tokens, in millionths of the currency unit per 1,000 tokens.
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
    /// Whether it takes work.
    #[serde(default)]
    pub phase: Phase,
    /// Price of its tokens.
    pub price: Price,
    /// First guess of the mean rating by task, in 0..=1.
    #[serde(default)]
    pub quality: BTreeMap<CompactString, f64>,
    /// First guess of the time to the first byte, in milliseconds.
    #[serde(default)]
    pub latency_ms: u64,
}

/// One back end.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Upstream {
    /// Name of the service it serves.
    pub service: CompactString,
    /// Data centre it stands in.
    pub data_centre: CompactString,
    /// Requests it runs at once.
    pub slots: u32,
    /// Versions it should have loaded.
    #[serde(default)]
    pub versions: Vec<CompactString>,
    /// True where the engine refuses an order with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// True where it should finish what it has and take nothing new.
    #[serde(default)]
    pub drain: bool,
}

/// A move of a model's traffic from one version to another.
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
    /// Shares of traffic in 0..=1, rising; each is held until the evidence
    /// allows the next.
    pub steps: Vec<f64>,
    /// Most requests the new version may answer while it is not yet judged.
    pub max_exposure: u64,
    /// Loss of mean rating or rise of the share of failures that counts as bad.
    pub tolerance: f64,
    /// Chance of withdrawing a good version.
    pub error_rate: f64,
    /// True where the share is held.
    #[serde(default)]
    pub paused: bool,
}

/// What an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Indicator {
    /// Requests that did not fail.
    Availability,
    /// Requests whose first byte came within `threshold_ms`.
    FirstByte,
    /// Requests whose last byte came within `threshold_ms`.
    Duration,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Objective {
    /// Service it holds for.
    pub service: CompactString,
    /// Task it holds for; all where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<CompactString>,
    /// Team it holds for; all where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<CompactString>,
    /// What is measured.
    pub indicator: Indicator,
    /// Latency bound in milliseconds, for the latency indicators.
    #[serde(default)]
    pub threshold_ms: u64,
    /// Share of good requests in 0..1.
    pub target: f64,
    /// Length of the budget window, in days.
    pub window_days: u32,
}
