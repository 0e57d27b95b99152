//! Anti-entropy between two members.
//!
//! Gossip may miss some members. The exchange of digests with a random member,
//! one number for each bucket of names, finds the records that differ.

use rand::Rng;
use rand::rngs::SmallRng;
use sha2::{Digest, Sha256};

use super::directory::{Directory, Member, MemberKey};
use crate::peer::message;

/// Number of buckets into which names are hashed.
const BUCKETS: usize = 32;

/// Maximum number of records in one answer to a digest.
const MAX_RECORDS: usize = 96;

/// Computes the digest of each bucket over the members that are present.
pub(super) fn buckets(directory: &Directory) -> Vec<u64> {
    let mut buckets = vec![0; BUCKETS];
    for (_, member) in directory.iter().filter(|(_, member)| member.is_present()) {
        buckets[bucket(member)] ^= record_digest(member);
    }
    buckets
}

/// Returns the records in buckets that differ from `theirs`; if they exceed one
/// message, a random contiguous selection.
pub(super) fn differing_records(
    directory: &Directory,
    theirs: &[u64],
    rng: &mut SmallRng,
) -> Vec<message::Member> {
    let ours = buckets(directory);
    let differs = |member: &Member| {
        let index = bucket(member);
        theirs.get(index) != ours.get(index)
    };
    let mut selected: Vec<MemberKey> = directory
        .iter()
        .filter(|(_, member)| differs(member))
        .map(|(key, _)| key)
        .collect();
    if selected.len() > MAX_RECORDS {
        let start = rng.random_range(0..selected.len());
        selected.rotate_left(start);
        selected.truncate(MAX_RECORDS);
    }
    selected
        .into_iter()
        .filter_map(|key| directory.get(key))
        .map(Member::record)
        .collect()
}

/// Digest of names and incarnations, equal on all nodes that know the same
/// present members.
pub(super) fn members_digest<'a>(sorted: impl Iterator<Item = &'a Member>) -> u64 {
    let mut hasher = Sha256::new();
    for member in sorted {
        hasher.update(member.node.name.as_bytes());
        hasher.update([0]);
        hasher.update(member.node.incarnation.to_be_bytes());
    }
    digest_prefix(hasher)
}

fn bucket(member: &Member) -> usize {
    let mut hasher = Sha256::new();
    hasher.update(member.node.name.as_bytes());
    (digest_prefix(hasher) % BUCKETS as u64) as usize
}

fn record_digest(member: &Member) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(member.node.name.as_bytes());
    hasher.update([0]);
    hasher.update(member.node.incarnation.to_be_bytes());
    hasher.update(member.version.to_be_bytes());
    hasher.update(i32::from(member.state).to_be_bytes());
    digest_prefix(hasher)
}

fn digest_prefix(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    let (first, _) = digest.split_at(size_of::<u64>());
    u64::from_be_bytes(first.try_into().expect("a SHA-256 digest has 32 bytes"))
}
