//! Views of the members for the traffic threads.

use super::directory::Member;
use crate::control::context::Context;
use crate::control::view::{AgentView, MemberView};
use crate::peer::message::MemberState;

/// Agents that are not dead and whose upstream is in the configuration.
pub(in crate::control) fn agent_views(context: &Context) -> Vec<AgentView> {
    let members = context.members.iter().map(|(_, member)| member);
    members
        .filter(|member| member.is_present())
        .filter_map(|member| agent_view(member, context))
        .collect()
}

/// All members, including dead ones.
pub(in crate::control) fn member_views(context: &Context) -> Vec<MemberView> {
    let members = context.members.iter().map(|(_, member)| member);
    members.map(member_view).collect()
}

fn agent_view(member: &Member, context: &Context) -> Option<AgentView> {
    let upstream = context.config.upstreams.key(&member.upstream)?;
    let drain = context
        .config
        .upstreams
        .get(upstream)
        .is_some_and(|named| named.spec.drain);
    Some(AgentView {
        node: member.node.clone(),
        upstream,
        data_centre: member.data_centre.clone(),
        http_addr: member.http_addr.clone(),
        open: member.is_open() && !drain,
        load: member.load.clone(),
        load_time: member.load_time,
    })
}

fn member_view(member: &Member) -> MemberView {
    let state = if member.listed_leaving && member.state == MemberState::Alive {
        MemberState::Leaving
    } else {
        member.state
    };
    MemberView {
        node: member.node.clone(),
        role: member.role,
        data_centre: member.data_centre.clone(),
        peer_addr: member.peer_addr.clone(),
        state,
        generation: member.generation,
    }
}
