//! Selection of the next member to ping, and the pending ping.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::directory::{Directory, MemberKey};
use crate::control::time::Millis;

/// Pings for each ping to another data centre, on average.
const PINGS_PER_REMOTE: u32 = 8;

/// A ping of this node that is not answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) target: MemberKey,
    pub(super) incarnation: u64,
    pub(super) nonce: u64,
    pub(super) sent: Millis,
    /// True once other members were asked to ping the target.
    pub(super) relayed: bool,
}

/// A ping sent on behalf of another node.
#[derive(Debug, Clone)]
pub(super) struct RelayedPing {
    /// Nonce of the ping that this node sent.
    pub(super) nonce: u64,
    /// Nonce of the requesting node's ping.
    pub(super) origin_nonce: u64,
    /// Peer address of the requesting node.
    pub(super) reply_addr: compact_str::CompactString,
    pub(super) sent: Millis,
}

/// Order of pings: shuffled rounds over the members of the own data centre,
/// and, less often, over all others. Each member is pinged once within a round.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    local: Vec<MemberKey>,
    remote: Vec<MemberKey>,
}

impl ProbeOrder {
    /// Returns the next member to ping; none if there is no other member.
    pub(super) fn next(&mut self, directory: &Directory, rng: &mut SmallRng) -> Option<MemberKey> {
        let remote_turn = rng.random_ratio(1, PINGS_PER_REMOTE);
        if remote_turn {
            next_remote(&mut self.remote, directory, rng)
                .or_else(|| next_local(&mut self.local, directory, rng))
        } else {
            next_local(&mut self.local, directory, rng)
                .or_else(|| next_remote(&mut self.remote, directory, rng))
        }
    }
}

fn next_local(
    round: &mut Vec<MemberKey>,
    directory: &Directory,
    rng: &mut SmallRng,
) -> Option<MemberKey> {
    next_of(round, directory, rng, true)
}

fn next_remote(
    round: &mut Vec<MemberKey>,
    directory: &Directory,
    rng: &mut SmallRng,
) -> Option<MemberKey> {
    next_of(round, directory, rng, false)
}

fn next_of(
    round: &mut Vec<MemberKey>,
    directory: &Directory,
    rng: &mut SmallRng,
    local: bool,
) -> Option<MemberKey> {
    let data_centre = &directory.local().data_centre;
    if let Some(key) = pop_present(round, directory) {
        return Some(key);
    }
    *round = directory
        .peers()
        .filter(|(_, member)| (member.data_centre == *data_centre) == local)
        .map(|(key, _)| key)
        .collect();
    round.shuffle(rng);
    pop_present(round, directory)
}

fn pop_present(round: &mut Vec<MemberKey>, directory: &Directory) -> Option<MemberKey> {
    while let Some(key) = round.pop() {
        if directory
            .get(key)
            .is_some_and(super::directory::Member::is_present)
        {
            return Some(key);
        }
    }
    None
}
