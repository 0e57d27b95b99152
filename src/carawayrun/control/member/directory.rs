//! The member directory of a node.

use compact_str::CompactString;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use crate::control::state::{Identity, Role};
use crate::control::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::{self, MemberState};

new_key_type! {
    /// Key of a member; the same for all incarnations of a name.
    pub struct MemberKey;
}

/// A member as this node knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name and latest incarnation.
    pub node: NodeId,
    /// Its role.
    pub role: Role,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port of its nng listener.
    pub peer_addr: CompactString,
    /// host:port of its HTTP listener for runs; empty for gateways.
    pub http_addr: CompactString,
    /// Upstream that it serves; empty for gateways.
    pub upstream: CompactString,
    /// Its state as far as this node knows.
    pub state: MemberState,
    /// Version of its record within this incarnation.
    pub version: u64,
    /// Highest generation that it is known to have in force.
    pub generation: u64,
    /// Its last known load; agents only.
    pub load: Option<message::Load>,
    /// When `load` was received.
    pub load_time: Millis,
    /// When `state` was set.
    pub since: Millis,
    /// True if the platform lists its host as leaving.
    pub listed_leaving: bool,
}

impl Member {
    /// True if it is not known to be dead.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// True if it may get new requests.
    pub fn is_open(&self) -> bool {
        self.state == MemberState::Alive && !self.listed_leaving
    }

    pub(super) fn record(&self) -> message::Member {
        message::Member {
            node: Some((&self.node).into()),
            role: wire_role(self.role).into(),
            data_centre: self.data_centre.to_string(),
            peer_addr: self.peer_addr.to_string(),
            http_addr: self.http_addr.to_string(),
            upstream: self.upstream.to_string(),
            state: self.state.into(),
            version: self.version,
            generation: self.generation,
            load: self.load.clone(),
        }
    }

    // Orders records of one name: the later incarnation wins, then the higher
    // version, then the worse state.
    fn rank(&self) -> (u64, u64, u8) {
        (self.node.incarnation, self.version, severity(self.state))
    }
}

/// Result of merging a received record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordOutcome {
    /// The record is not newer.
    Unchanged,
    /// The record was added or replaced the known one.
    Changed(MemberKey),
    /// The record is about this process and contradicts its own state.
    ContradictsLocal,
    /// A later incarnation of this process's name exists.
    Superseded,
}

/// All known members, this process included.
#[derive(Debug)]
pub struct Directory {
    entries: SlotMap<MemberKey, Member>,
    names: FxHashMap<CompactString, MemberKey>,
    local: MemberKey,
    revision: u64,
}

impl Directory {
    /// Creates a directory with this process as its only member.
    pub fn new(identity: &Identity) -> Self {
        let mut entries = SlotMap::with_key();
        let local = entries.insert(Member {
            node: identity.node.clone(),
            role: identity.role,
            data_centre: identity.data_centre.clone(),
            peer_addr: identity.peer_addr.clone(),
            http_addr: identity.http_addr.clone(),
            upstream: identity.upstream.clone(),
            state: MemberState::Alive,
            version: 1,
            generation: 0,
            load: None,
            load_time: Millis(0),
            since: Millis(0),
            listed_leaving: false,
        });
        let names = [(identity.node.name.clone(), local)].into_iter().collect();
        Self {
            entries,
            names,
            local,
            revision: 1,
        }
    }

    /// Returns the member with `key`, or `None` if there is none.
    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.entries.get(key)
    }

    /// Returns the key of the member with `name`, or `None` if there is none.
    pub fn key(&self, name: &str) -> Option<MemberKey> {
        self.names.get(name).copied()
    }

    /// The member that is this process.
    pub fn local(&self) -> &Member {
        &self.entries[self.local]
    }

    /// All members, including dead ones and this process.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.entries.iter()
    }

    /// All other members that are not known to be dead.
    pub fn peers(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        let others =
            move |(key, member): &(MemberKey, &Member)| *key != self.local && member.is_present();
        self.entries.iter().filter(others)
    }

    /// Number of members that are not known to be dead, including this process.
    pub fn present_count(&self) -> usize {
        self.entries
            .values()
            .filter(|member| member.is_present())
            .count()
    }

    /// Draws at most `count` distinct eligible peers at random.
    pub fn sample(
        &self,
        rng: &mut SmallRng,
        count: usize,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<MemberKey> {
        let eligible: Vec<MemberKey> = self
            .peers()
            .filter(|(_, member)| is_eligible(member))
            .map(|(key, _)| key)
            .collect();
        eligible.choose_multiple(rng, count).copied().collect()
    }

    /// Revision of the directory; changes at least whenever the set of present
    /// members and incarnations does.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the generation that this process has in force, for its record.
    pub(in crate::control) fn set_generation(&mut self, generation: u64) {
        self.entries[self.local].generation = generation;
    }

    pub(super) fn local_key(&self) -> MemberKey {
        self.local
    }

    pub(super) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.entries.get_mut(key)
    }

    pub(super) fn local_mut(&mut self) -> &mut Member {
        &mut self.entries[self.local]
    }

    /// Merges a received record: adds it, or replaces the known one if it is
    /// newer. The higher generation of the same incarnation is kept in any case.
    /// A record of this process is only compared with its own.
    pub(super) fn merge_record(&mut self, record: &message::Member, now: Millis) -> RecordOutcome {
        let Some(received) = from_record(record, now) else {
            return RecordOutcome::Unchanged;
        };
        let Some(key) = self.key(&received.node.name) else {
            return self.add(received);
        };
        if key == self.local {
            return self.merge_local_record(&received);
        }
        let known = &mut self.entries[key];
        if received.node.incarnation == known.node.incarnation {
            known.generation = known.generation.max(received.generation);
        }
        if received.rank() <= known.rank() {
            return RecordOutcome::Unchanged;
        }
        replace_member(known, received);
        self.revision += 1;
        RecordOutcome::Changed(key)
    }

    /// Sets a member's state within its incarnation and record version.
    pub(super) fn set_state(&mut self, key: MemberKey, state: MemberState, now: Millis) {
        if let Some(member) = self.entries.get_mut(key) {
            member.state = state;
            member.since = now;
            self.revision += 1;
        }
    }

    /// Removes members that were declared dead before `before`.
    pub(super) fn drop_dead(&mut self, before: Millis) {
        let kept = |member: &Member| member.is_present() || member.since >= before;
        self.entries.retain(|_, member| kept(member));
        let entries = &self.entries;
        self.names.retain(|_, key| entries.contains_key(*key));
    }

    fn add(&mut self, received: Member) -> RecordOutcome {
        if !received.is_present() {
            return RecordOutcome::Unchanged;
        }
        let name = received.node.name.clone();
        let key = self.entries.insert(received);
        self.names.insert(name, key);
        self.revision += 1;
        RecordOutcome::Changed(key)
    }

    fn merge_local_record(&mut self, received: &Member) -> RecordOutcome {
        let local = self.local();
        if received.node.incarnation > local.node.incarnation {
            return if received.is_present() {
                RecordOutcome::Superseded
            } else {
                RecordOutcome::Unchanged
            };
        }
        if received.rank() > local.rank() {
            RecordOutcome::ContradictsLocal
        } else {
            RecordOutcome::Unchanged
        }
    }
}

// A new incarnation does not inherit the generation and the leaving mark of the
// old one.
fn replace_member(known: &mut Member, received: Member) {
    let same_incarnation = known.node.incarnation == received.node.incarnation;
    let generation = if same_incarnation {
        known.generation.max(received.generation)
    } else {
        received.generation
    };
    let listed_leaving = same_incarnation && known.listed_leaving;
    *known = Member {
        generation,
        listed_leaving,
        ..received
    };
}

fn from_record(record: &message::Member, now: Millis) -> Option<Member> {
    let node = record.node.as_ref()?;
    let role = match record.role() {
        message::Role::Gateway => Role::Gateway,
        message::Role::Agent => Role::Agent,
        message::Role::Unspecified => return None,
    };
    if record.state() == MemberState::Unspecified || node.name.is_empty() {
        return None;
    }
    Some(Member {
        node: node.into(),
        role,
        data_centre: record.data_centre.as_str().into(),
        peer_addr: record.peer_addr.as_str().into(),
        http_addr: record.http_addr.as_str().into(),
        upstream: record.upstream.as_str().into(),
        state: record.state(),
        version: record.version,
        generation: record.generation,
        load: record.load.clone(),
        load_time: now,
        since: now,
        listed_leaving: false,
    })
}

fn wire_role(role: Role) -> message::Role {
    match role {
        Role::Gateway => message::Role::Gateway,
        Role::Agent => message::Role::Agent,
    }
}

fn severity(state: MemberState) -> u8 {
    match state {
        MemberState::Unspecified | MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}

/// Draws a number that ties an ack to its ping.
pub(super) fn random_nonce(rng: &mut SmallRng) -> u64 {
    // Zero is `UNTRACKED_NONCE`.
    rng.random_range(1..=u64::MAX)
}
