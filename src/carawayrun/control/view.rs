//! What the traffic threads see of the control state.

use std::sync::Arc;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::state::Role;
use super::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::{self, MemberState};
use crate::policy::Estimates;
use crate::report::BurnSums;
use crate::resource::{Config, RolloutKey, TeamKey, UpstreamKey, VersionKey};

/// An immutable picture of the control state; replaced as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// This process.
    pub node: NodeId,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Agents that take new work or are finishing what they have.
    pub agents: Vec<AgentView>,
    /// This gateway's part of the team limits.
    pub shares: FxHashMap<TeamKey, LimitShareView>,
    /// Roll-outs under way.
    pub rollouts: Vec<RolloutView>,
    /// Versions that were judged bad and whose withdrawal is not yet in the
    /// configuration; they take no new work either.
    pub suspended: Vec<VersionKey>,
    /// What was learned of each version's answers.
    pub estimates: Arc<Estimates>,
    /// Whether new requests are taken.
    pub admission: Admission,
    /// All members that this node knows, itself included.
    pub members: Vec<MemberView>,
    /// This gateway's counts for service-level objectives.
    pub burn: BurnSums,
    /// State of this gateway's billing.
    pub ledger: LedgerView,
}

impl View {
    /// The view of a process that has just started: no configuration, nobody
    /// known, and no requests taken.
    pub fn empty(node: NodeId) -> Self {
        Self {
            node,
            config: Arc::new(Config::empty()),
            agents: Vec::new(),
            shares: FxHashMap::default(),
            rollouts: Vec::new(),
            suspended: Vec::new(),
            estimates: Arc::new(Estimates::default()),
            admission: Admission::Closed {
                code: "stale_configuration",
                retry_after_ms: 1_000,
            },
            members: Vec::new(),
            burn: BurnSums::default(),
            ledger: LedgerView::default(),
        }
    }
}

/// A member as this node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The member's life.
    pub node: NodeId,
    /// What it does.
    pub role: Role,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port of its nng listener.
    pub peer_addr: CompactString,
    /// Whether it lives.
    pub state: MemberState,
    /// Generation that it is known to have in force.
    pub generation: u64,
}

/// State of a gateway's billing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LedgerView {
    /// Bills that are not in the table service yet.
    pub unwritten: u64,
    /// True where another gateway has closed this one's ledger, so that this
    /// life can't bill any more.
    pub sealed: bool,
}

/// An agent as this node knows it.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// The agent's life.
    pub node: NodeId,
    /// The upstream it stands before.
    pub upstream: UpstreamKey,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port for runs.
    pub http_addr: CompactString,
    /// False while it is leaving or suspected: it gets no new work.
    pub open: bool,
    /// Its last known load and when it was learned.
    pub load: Option<message::Load>,
    /// When the load was learned.
    pub load_time: Millis,
}

/// A gateway's part of a team's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShareView {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once above the rate.
    pub burst: f64,
    /// Requests in flight.
    pub concurrency: f64,
}

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum RolloutPhase {
    /// Traffic is split by `share`.
    Running,
    /// The share is held by an operator.
    Paused,
    /// All traffic is on the new version.
    Complete,
    /// The new version was judged bad and is withdrawn.
    Withdrawn,
}

/// A roll-out as the traffic threads need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutView {
    /// The roll-out.
    pub key: RolloutKey,
    /// Its state.
    pub phase: RolloutPhase,
    /// Share of the model's new sessions and requests on the new version.
    pub share: f64,
}

/// Whether a node takes new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It does.
    Open,
    /// It does not, for the reason of the stable code.
    Closed {
        /// Stable code, as in the errors to callers.
        code: &'static str,
        /// When a caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
}
