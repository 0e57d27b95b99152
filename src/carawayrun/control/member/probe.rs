//! Whom to ping next, and the ping that is under way.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::directory::{Directory, MemberKey};
use crate::control::time::Millis;

/// One in this many pings goes to another data centre.
const PINGS_PER_REMOTE: u32 = 8;

/// A ping that is not yet answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub(super) target: MemberKey,
    pub(super) incarnation: u64,
    pub(super) nonce: u64,
    pub(super) sent: Millis,
    /// True once others were asked to ping it too.
    pub(super) relayed: bool,
}

/// A ping made for another node.
#[derive(Debug, Clone)]
pub(super) struct RelayedPing {
    /// Nonce of the ping made here.
    pub(super) nonce: u64,
    /// Nonce of the ping of the node that asked.
    pub(super) origin_nonce: u64,
    /// Where that node listens.
    pub(super) reply_addr: compact_str::CompactString,
    pub(super) sent: Millis,
}

/// Goes round the members of the own data centre, and round all others now and
/// then. A round is shuffled, so that each member is pinged once within it.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    local: Vec<MemberKey>,
    remote: Vec<MemberKey>,
}

impl ProbeOrder {
    /// The next member to ping, where there is any other.
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
