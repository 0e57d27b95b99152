//! Dissemination of changed records.
//!
//! A changed record is piggybacked on membership messages, and on gossip
//! messages while any are queued, a number of times that grows with the
//! logarithm of the number of members. That reaches all of them with high
//! probability; the exchange of digests covers the rest.

use super::directory::{Directory, MemberKey};
use crate::peer::message;

/// Maximum number of records in one message; keeps it near one network packet.
pub(super) const MAX_RECORDS: usize = 8;

/// Number of sends of a record per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Queue of records that are still to be sent.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    queue: Vec<Update>,
}

#[derive(Debug, Clone, Copy)]
struct Update {
    key: MemberKey,
    sends_left: u32,
}

impl GossipQueue {
    /// Queues the record of `key`; restarts its count if it is queued already.
    pub(super) fn push(&mut self, key: MemberKey, members: usize) {
        self.queue.retain(|update| update.key != key);
        let doublings = (members + 1).next_power_of_two().ilog2().max(1);
        self.queue.push(Update {
            key,
            sends_left: SENDS_PER_DOUBLING * doublings,
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the records for one message, those with the most sends left first.
    pub(super) fn take(&mut self, directory: &Directory) -> Vec<message::Member> {
        self.queue
            .sort_by_key(|update| std::cmp::Reverse(update.sends_left));
        let chosen = self.queue.iter_mut().take(MAX_RECORDS);
        let records = chosen
            .filter_map(|update| {
                update.sends_left -= 1;
                directory.get(update.key)
            })
            .map(super::directory::Member::record)
            .collect();
        self.queue.retain(|update| update.sends_left > 0);
        records
    }
}
