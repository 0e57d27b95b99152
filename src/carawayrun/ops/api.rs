//! Bodies of the resource API, shared by the gateway and the command line.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::control::RolloutPhase;
use crate::resource::{Change, ChangeItem, Resource};

/// The error of any call.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ErrorDetail {
    /// Stable code.
    pub code: CompactString,
    /// For people; names the fix where there is one.
    pub message: String,
    /// Problems of the resources, one each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<CompactString>,
    /// The current resource version, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Value>,
    /// The write whose outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_id: Option<CompactString>,
}

/// A resource with what became of it.
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
    /// The first few live nodes that are not known to have it in force yet.
    pub pending: Vec<CompactString>,
    /// What is the case and why.
    pub conditions: Vec<ConditionView>,
    /// State of a roll-out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutStatus>,
}

/// One thing that is or is not the case.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ConditionView {
    /// What: `InForce`, `Serving`.
    pub name: CompactString,
    /// Whether it is the case.
    pub holds: bool,
    /// One word for programs.
    pub reason: CompactString,
    /// For people.
    pub message: CompactString,
    /// Since when, as the answering gateway saw it, RFC 3339.
    pub since: CompactString,
}

/// State of a roll-out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutStatus {
    /// Where it is.
    pub phase: RolloutPhase,
    /// Share of traffic on the new version, in 0..=1.
    pub share: f64,
}

/// All resources of a kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListBody {
    /// Generation to watch from.
    pub generation: u64,
    /// The resources, by name.
    pub items: Vec<ResourceView>,
}

/// The answer to a set of resources that was applied.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ApplyBody {
    /// Generation with the change; with `dry_run`, the one it would have.
    pub generation: u64,
    /// True where nothing was written.
    pub dry_run: bool,
    /// What was changed; resources that were equal are left out.
    pub items: Vec<ChangeItem>,
}

/// The answer to a deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DeleteBody {
    /// Generation with the deletion.
    pub generation: u64,
}

/// A part of the audit trail.
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
    /// The next change.
    Change {
        /// What was changed.
        change: Box<Change>,
    },
    /// Nothing has changed; the connection lives.
    #[serde(rename_all = "camelCase")]
    Heartbeat {
        /// Generation up to which all changes were sent.
        generation: u64,
        /// Generation that the answering gateway has in force.
        in_force: u64,
        /// False where changes may be late because the table service is down.
        store_available: bool,
    },
    /// The next change is no longer there: list again, and watch from the
    /// generation of the list.
    Gone {
        /// Oldest generation from which a watch can go on.
        oldest: u64,
    },
}

/// What a gateway knows of the system.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusBody {
    /// The answering gateway.
    pub node: CompactString,
    /// Generation it has in force.
    pub generation: u64,
    /// Stable code of the reason why it takes no requests; empty where it does.
    pub closed: CompactString,
    /// All members it knows.
    pub members: Vec<MemberStatus>,
    /// Agents it may send work to.
    pub agents: Vec<AgentStatus>,
    /// Roll-outs.
    pub rollouts: Vec<NamedRollout>,
    /// Versions judged bad whose withdrawal is not in the configuration yet.
    pub suspended: Vec<CompactString>,
}

/// A member of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberStatus {
    /// Name and life.
    pub node: CompactString,
    /// `gateway` or `agent`.
    pub role: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: CompactString,
    /// Generation that it is known to have in force.
    pub generation: u64,
}

/// An agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AgentStatus {
    /// Name and life.
    pub node: CompactString,
    /// Upstream it stands before.
    pub upstream: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// False where it gets no new work.
    pub open: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Versions that are loaded and warm.
    pub warm: Vec<CompactString>,
}

/// A roll-out and its state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NamedRollout {
    /// Name of the resource.
    pub name: CompactString,
    /// Model whose traffic moves.
    pub model: CompactString,
    /// The old version.
    pub from: CompactString,
    /// The new version.
    pub to: CompactString,
    /// Its state.
    #[serde(flatten)]
    pub status: RolloutStatus,
}
