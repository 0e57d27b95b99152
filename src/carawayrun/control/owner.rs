//! Selection of the gateway that owns a subject and aggregates all gateways'
//! data on it.
//!
//! Uses rendezvous hashing (Thaler and Ravishankar, 1998) over the live
//! gateways: nodes that know the same members select the same owner, and only
//! the subjects of a gateway that leaves move. Nodes that know different
//! members may select two owners for a while, so correctness must not depend on
//! a single owner.

use std::hash::{Hash, Hasher};

use compact_str::CompactString;
use rustc_hash::FxHasher;

use super::context::Context;
use super::member::Member;
use super::state::Role;
use crate::peer::message::MemberState;

/// The gateway that owns a subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Owner {
    /// This process.
    Local,
    /// The gateway with this peer address.
    Remote(CompactString),
}

/// Selects the owner of `subject`; none if no gateway is alive.
pub(super) fn owner(subject: &str, context: &Context) -> Option<Owner> {
    let best = live_gateways(context).max_by_key(|member| weight(subject, member))?;
    let here = best.node.name == context.identity.node.name;
    Some(if here {
        Owner::Local
    } else {
        Owner::Remote(best.peer_addr.clone())
    })
}

/// The live gateways, including this process if it is one.
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
