//! The view of the control state for the traffic threads.

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

/// An immutable snapshot of the control state; replaced as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// This process.
    pub node: NodeId,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Agents that are not dead, including those that only finish their
    /// requests.
    pub agents: Vec<AgentView>,
    /// This gateway's limit share of each team.
    pub shares: FxHashMap<TeamKey, LimitShareView>,
    /// State of each roll-out.
    pub rollouts: Vec<RolloutView>,
    /// Bad versions whose withdrawal is not in the configuration yet; they get
    /// no new requests.
    pub suspended: Vec<VersionKey>,
    /// Estimates of the quality, latency and length of each version's answers.
    pub estimates: Arc<Estimates>,
    /// Whether new requests are taken.
    pub admission: Admission,
    /// All members that this node knows, including itself.
    pub members: Vec<MemberView>,
    /// This gateway's counts for service-level objectives.
    pub burn: BurnSums,
    /// State of this gateway's billing.
    pub ledger: LedgerView,
}

impl View {
    /// Creates the view of a process that has just started: no configuration,
    /// no members, and no requests admitted.
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
    /// Name and incarnation of the member.
    pub node: NodeId,
    /// Its role.
    pub role: Role,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port of its nng listener.
    pub peer_addr: CompactString,
    /// Its state.
    pub state: MemberState,
    /// Generation that it is known to have in force.
    pub generation: u64,
}

/// State of a gateway's billing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LedgerView {
    /// Bills that are not in the table service yet.
    pub unwritten: u64,
    /// True if another gateway has sealed this one's ledger, so that this
    /// incarnation can't bill any more.
    pub sealed: bool,
}

/// An agent as this node knows it.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// Name and incarnation of the agent.
    pub node: NodeId,
    /// The upstream that it serves.
    pub upstream: UpstreamKey,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port of its HTTP listener for runs.
    pub http_addr: CompactString,
    /// True if it gets new requests; false while it is leaving or suspected, or
    /// its upstream drains.
    pub open: bool,
    /// Its last known load.
    pub load: Option<message::Load>,
    /// When the load was received.
    pub load_time: Millis,
}

/// A gateway's share of a team's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShareView {
    /// Requests a second.
    pub rate: f64,
    /// Burst above the rate, in requests.
    pub burst: f64,
    /// Requests in flight.
    pub concurrency: f64,
}

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum RolloutPhase {
    /// Traffic is split by [`RolloutView::share`].
    Running,
    /// The share is kept constant by an operator.
    Paused,
    /// All traffic is on the new version.
    Complete,
    /// The new version is withdrawn.
    Withdrawn,
}

/// A roll-out as the traffic threads need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutView {
    /// The roll-out.
    pub key: RolloutKey,
    /// Its state.
    pub phase: RolloutPhase,
    /// Traffic share: fraction of the old version's new sessions and requests
    /// that goes to the new version, in 0..=1.
    pub share: f64,
}

/// Whether a node takes new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// New requests are admitted.
    Open,
    /// New requests are refused, for the reason given by the code.
    Closed {
        /// Stable code, as in the errors to callers.
        code: &'static str,
        /// Time after which a caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}
