//! Bodies of the resource API, shared by the gateway and the command line.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::control::RolloutPhase;
use crate::resource::{Change, ChangeItem, Resource};

/// Body of a failed call.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Code, message and details of an error.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ErrorDetail {
    /// Stable error code.
    pub code: CompactString,
    /// Message for operators, with the fix where there is one.
    pub message: String,
    /// Problems found in the resources, one message each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<CompactString>,
    /// Current version of the resource, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Value>,
    /// Id of the write, where its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_id: Option<CompactString>,
}

/// A resource with its observed state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ResourceView {
    /// Desired state.
    #[serde(flatten)]
    pub resource: Resource,
    /// Observed state.
    pub status: Status,
}

/// Observed state of a resource.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// Generation that the answering gateway has in force.
    pub generation: u64,
    /// Number of live nodes.
    pub live: usize,
    /// Number of live nodes that have this version of the resource in force.
    pub in_force: usize,
    /// The first few live nodes that are not known to have it in force.
    pub pending: Vec<CompactString>,
    /// Conditions of the resource, with their reasons.
    pub conditions: Vec<ConditionView>,
    /// State of a roll-out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutStatus>,
}

/// A condition of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ConditionView {
    /// Type of the condition: `InForce` or `Serving`.
    pub name: CompactString,
    /// Whether the condition holds.
    pub holds: bool,
    /// Machine-readable reason in one word.
    pub reason: CompactString,
    /// Message for operators.
    pub message: CompactString,
    /// Time at which the answering gateway last saw `reason` change, RFC 3339.
    pub since: CompactString,
}

/// State of a roll-out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutStatus {
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Share of the traffic that the new version gets, in 0..=1.
    pub share: f64,
}

/// All resources of a kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListBody {
    /// Generation to watch from.
    pub generation: u64,
    /// The resources, sorted by name.
    pub items: Vec<ResourceView>,
}

/// Answer to an apply call.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ApplyBody {
    /// Generation of the change; with `dry_run`, the one it would get.
    pub generation: u64,
    /// True where the change was only checked, not written.
    pub dry_run: bool,
    /// Changed resources; unchanged ones are left out.
    pub items: Vec<ChangeItem>,
}

/// Answer to a delete call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DeleteBody {
    /// Generation of the deletion.
    pub generation: u64,
}

/// A page of the audit trail.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AuditBody {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "type")]
pub enum WatchLine {
    /// The next change of the configuration.
    Change {
        /// The change.
        change: Box<Change>,
    },
    /// No change since the last line; shows that the connection is alive.
    #[serde(rename_all = "camelCase")]
    Heartbeat {
        /// Generation up to which all changes have been sent.
        generation: u64,
        /// Generation that the answering gateway has in force.
        in_force: u64,
        /// False while the table service is unreachable, so changes may be
        /// delayed.
        store_available: bool,
    },
    /// The next change is no longer stored: the client must list the resources
    /// again and watch from the generation of that list.
    Gone {
        /// Oldest generation from which a watch can continue.
        oldest: u64,
    },
}

/// State of the system as one gateway knows it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusBody {
    /// The answering gateway.
    pub node: CompactString,
    /// Generation that it has in force.
    pub generation: u64,
    /// Stable code of the reason why it accepts no requests; empty where it
    /// accepts them.
    pub closed: CompactString,
    /// All members that it knows.
    pub members: Vec<MemberStatus>,
    /// Agents that it may send requests to.
    pub agents: Vec<AgentStatus>,
    /// Roll-outs and their state.
    pub rollouts: Vec<NamedRollout>,
    /// Versions that a roll-out rejected and whose withdrawal is not in the
    /// configuration yet.
    pub suspended: Vec<CompactString>,
}

/// State of a member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberStatus {
    /// Name and incarnation.
    pub node: CompactString,
    /// `gateway` or `agent`.
    pub role: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: CompactString,
    /// Last generation that it is known to have in force.
    pub generation: u64,
}

/// State of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AgentStatus {
    /// Name and incarnation.
    pub node: CompactString,
    /// Upstream that it serves.
    pub upstream: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// False where it gets no new requests.
    pub open: bool,
    /// Requests in flight.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Versions that are loaded and warmed up.
    pub warm: Vec<CompactString>,
}

/// A roll-out and its state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NamedRollout {
    /// Name of the resource.
    pub name: CompactString,
    /// Model whose traffic is moved.
    pub model: CompactString,
    /// Old version.
    pub from: CompactString,
    /// New version.
    pub to: CompactString,
    /// State of the roll-out.
    #[serde(flatten)]
    pub status: RolloutStatus,
}
