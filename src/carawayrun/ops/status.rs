//! Observed state of resources and of the system, from the node's view.

use compact_str::{CompactString, ToCompactString, format_compact};

use super::api::{
    AgentStatus, ConditionView, MemberStatus, NamedRollout, ResourceView, RolloutStatus, Status,
    StatusBody,
};
use super::condition_times::ConditionTimes;
use crate::control::{Admission, AgentView, MemberView, Role, RolloutView, View};
use crate::peer::message::MemberState;
use crate::resource::{Kind, Phase, Resource, Spec};

/// Maximum number of pending nodes listed in the status of a resource.
const MAX_PENDING_SHOWN: usize = 10;

/// Returns a resource with its observed state.
pub(super) fn resource_view(
    view: &View,
    condition_times: &ConditionTimes,
    resource: &Resource,
) -> ResourceView {
    let wanted = resource.metadata.resource_version;
    let live = view.members.iter().filter(|member| is_live(member));
    let live: Vec<&MemberView> = live.collect();
    let behind = live.iter().filter(|member| member.generation < wanted);
    let behind: Vec<&CompactString> = behind.map(|member| &member.node.name).collect();
    let mut conditions = vec![in_force_condition(&behind)];
    conditions.extend(serving_condition(view, resource));
    for condition in &mut conditions {
        condition.since = condition_times.transition_time(resource, condition);
    }
    ResourceView {
        resource: resource.clone(),
        status: Status {
            generation: view.config.generation,
            live: live.len(),
            in_force: live.len() - behind.len(),
            pending: behind
                .into_iter()
                .take(MAX_PENDING_SHOWN)
                .cloned()
                .collect(),
            conditions,
            rollout: rollout_of(view, resource),
        },
    }
}

/// Returns the state of the system as this gateway knows it.
pub(super) fn status_body(view: &View) -> StatusBody {
    let suspended = view.suspended.iter();
    let suspended = suspended.filter_map(|key| view.config.versions.get(*key));
    StatusBody {
        node: view.node.to_compact_string(),
        generation: view.config.generation,
        closed: match &view.admission {
            Admission::Open => CompactString::default(),
            Admission::Closed { code, .. } => (*code).into(),
        },
        members: view.members.iter().map(member_status).collect(),
        agents: view
            .agents
            .iter()
            .map(|agent| agent_status(view, agent))
            .collect(),
        rollouts: view
            .rollouts
            .iter()
            .filter_map(|rollout| named_rollout(view, rollout))
            .collect(),
        suspended: suspended.map(|version| version.name.clone()).collect(),
    }
}

fn is_live(member: &MemberView) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

fn in_force_condition(behind: &[&CompactString]) -> ConditionView {
    if behind.is_empty() {
        let message = CompactString::const_new("all live nodes have it in force");
        return condition("InForce", true, "Everywhere", message);
    }
    let mut names: Vec<&str> = behind.iter().map(|name| name.as_str()).collect();
    names.truncate(MAX_PENDING_SHOWN);
    let message = format_compact!("waiting for {} nodes: {}", behind.len(), names.join(", "));
    condition("InForce", false, "Pending", message)
}

/// Returns the `Serving` condition of a version or an upstream; none for other
/// kinds.
fn serving_condition(view: &View, resource: &Resource) -> Option<ConditionView> {
    let name = &resource.metadata.name;
    match &resource.spec {
        Spec::Version(version) => Some(version_serving(view, name, version.phase)),
        Spec::Upstream(upstream) => Some(upstream_serving(view, name, upstream.drain)),
        _ => None,
    }
}

fn version_serving(view: &View, name: &CompactString, phase: Phase) -> ConditionView {
    if phase == Phase::Withdrawn {
        return condition("Serving", false, "Withdrawn", "takes no new work".into());
    }
    let key = view.config.versions.key(name);
    if key.is_some_and(|key| view.suspended.contains(&key)) {
        let message = CompactString::const_new("judged bad by a roll-out; takes no new work");
        return condition("Serving", false, "Suspended", message);
    }
    let is_warm = |agent: &&AgentView| {
        let load = agent.load.as_ref();
        agent.open && load.is_some_and(|load| load.warm.iter().any(|warm| warm == name))
    };
    let warm = view.agents.iter().filter(is_warm).count();
    let reason = if warm > 0 { "Warm" } else { "NotWarm" };
    let message = format_compact!("warm at {warm} upstreams");
    condition("Serving", warm > 0, reason, message)
}

fn upstream_serving(view: &View, name: &CompactString, drain: bool) -> ConditionView {
    let key = view.config.upstreams.key(name);
    let mut agents = view
        .agents
        .iter()
        .filter(|agent| Some(agent.upstream) == key);
    match agents.find(|agent| agent.open) {
        _ if drain => condition("Serving", false, "Draining", "takes no new work".into()),
        Some(agent) => condition(
            "Serving",
            true,
            "Open",
            format_compact!("agent {}", agent.node),
        ),
        None => condition(
            "Serving",
            false,
            "NoAgent",
            "no agent of it is alive and open".into(),
        ),
    }
}

fn condition(name: &str, holds: bool, reason: &str, message: CompactString) -> ConditionView {
    ConditionView {
        name: name.into(),
        holds,
        reason: reason.into(),
        message,
        since: CompactString::default(),
    }
}

fn rollout_of(view: &View, resource: &Resource) -> Option<RolloutStatus> {
    if resource.kind != Kind::Rollout {
        return None;
    }
    let key = view.config.rollouts.key(&resource.metadata.name)?;
    let found = view.rollouts.iter().find(|rollout| rollout.key == key)?;
    Some(rollout_status(found))
}

fn rollout_status(rollout: &RolloutView) -> RolloutStatus {
    RolloutStatus {
        phase: rollout.phase,
        share: rollout.share,
    }
}

fn named_rollout(view: &View, rollout: &RolloutView) -> Option<NamedRollout> {
    let entry = view.config.rollouts.get(rollout.key)?;
    Some(NamedRollout {
        name: entry.name.clone(),
        model: entry.spec.model.clone(),
        from: entry.spec.from.clone(),
        to: entry.spec.to.clone(),
        status: rollout_status(rollout),
    })
}

fn member_status(member: &MemberView) -> MemberStatus {
    MemberStatus {
        node: member.node.to_compact_string(),
        role: match member.role {
            Role::Gateway => "gateway".into(),
            Role::Agent => "agent".into(),
        },
        data_centre: member.data_centre.clone(),
        state: match member.state {
            MemberState::Unspecified => "unknown".into(),
            MemberState::Alive => "alive".into(),
            MemberState::Suspect => "suspect".into(),
            MemberState::Leaving => "leaving".into(),
            MemberState::Dead => "dead".into(),
        },
        generation: member.generation,
    }
}

fn agent_status(view: &View, agent: &AgentView) -> AgentStatus {
    let upstream = view.config.upstreams.get(agent.upstream);
    let load = agent.load.clone().unwrap_or_default();
    AgentStatus {
        node: agent.node.to_compact_string(),
        upstream: upstream.map_or_else(CompactString::default, |named| named.name.clone()),
        data_centre: agent.data_centre.clone(),
        open: agent.open,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        warm: load.warm.iter().map(CompactString::from).collect(),
    }
}
