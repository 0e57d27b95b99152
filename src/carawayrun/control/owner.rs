//! Which gateway collects what all gateways know of a subject.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998) over the live gateways:
//! every node that knows the same members names the same one, and a gateway
//! that leaves moves only its own subjects. Two nodes that know different
//! members may name two for a while, so nothing may rest on there being one.

use std::hash::{Hash, Hasher};

use compact_str::CompactString;
use rustc_hash::FxHasher;

use super::context::Context;
use super::member::Member;
use super::state::Role;
use crate::peer::message::MemberState;

/// The gateway that a subject belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Owner {
    /// This process.
    Local,
    /// The gateway with this peer address.
    Remote(CompactString),
}

/// The home of `subject`; none where no gateway is alive.
pub(super) fn owner(subject: &str, context: &Context) -> Option<Owner> {
    let best = live_gateways(context).max_by_key(|member| weight(subject, member))?;
    let here = best.node.name == context.identity.node.name;
    Some(if here {
        Owner::Local
    } else {
        Owner::Remote(best.peer_addr.clone())
    })
}

/// The live gateways, this process included where it is one.
pub(super) fn live_gateways(context: &Context) -> impl Iterator<Item = &Member> {
    let members = context.members.iter().map(|(_, member)| member);
    members.filter(|member| member.role == Role::Gateway && member.state == MemberState::Alive)
}

fn weight(subject: &str, member: &Member) -> u64 {
    let mut hasher = FxHasher::default();
    subject.hash(&mut hasher);
    member.node.name.hash(&mut hasher);
    hasher.finish()
}
