//! Which members have the newest generation in force.
//!
//! Every membership message carries one bit a member: set where the member is
//! known to have the sender's generation. Whoever knows the same set of lives
//! merges the bits, so that all know of all within some ten rounds, for 127
//! bytes a message at 1,010 members.

use bytes::Bytes;

use super::digest;
use super::directory::{Directory, Member, MemberKey};
use crate::peer::message;

/// The order of the bits, kept until the set of present lives changes.
#[derive(Debug, Default)]
pub(super) struct InForceTracker {
    revision: u64,
    set: u64,
    order: Vec<MemberKey>,
}

impl InForceTracker {
    /// What is known of the members' progress to this node's generation.
    pub(super) fn bits(&mut self, directory: &Directory) -> message::InForce {
        self.refresh(directory);
        let generation = directory.local().generation;
        let mut bits = vec![0; self.order.len().div_ceil(8)];
        for (index, key) in self.order.iter().enumerate() {
            if directory
                .get(*key)
                .is_some_and(|member| member.generation >= generation)
            {
                bits[index / 8] |= 1 << (index % 8);
            }
        }
        message::InForce {
            set: self.set,
            generation,
            bits: Bytes::from(bits),
        }
    }

    /// Merges what another node knows; true where something was new.
    pub(super) fn merge(&mut self, directory: &mut Directory, theirs: &message::InForce) -> bool {
        self.refresh(directory);
        if theirs.set != self.set {
            return false;
        }
        let mut changed = false;
        for (index, key) in self.order.iter().enumerate() {
            let set = theirs
                .bits
                .get(index / 8)
                .is_some_and(|byte| byte & (1 << (index % 8)) != 0);
            let is_peer = set && *key != directory.local_key();
            let known = directory.get_mut(*key).filter(|_| is_peer);
            changed |= known.is_some_and(|member| raise_generation(member, theirs.generation));
        }
        changed
    }

    fn refresh(&mut self, directory: &Directory) {
        if self.revision == directory.revision() {
            return;
        }
        let mut present: Vec<(MemberKey, &Member)> = directory
            .iter()
            .filter(|(_, member)| member.is_present())
            .collect();
        present.sort_by(|(_, a), (_, b)| a.node.cmp(&b.node));
        self.set = digest::set_digest(present.iter().map(|(_, member)| *member));
        self.order = present.into_iter().map(|(key, _)| key).collect();
        self.revision = directory.revision();
    }
}

/// Raises the generation that a member is known to have in force.
pub(super) fn raise_generation(member: &mut Member, generation: u64) -> bool {
    let higher = generation > member.generation;
    if higher {
        member.generation = generation;
    }
    higher
}
