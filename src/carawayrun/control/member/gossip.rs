//! Spreading of records that changed.
//!
//! A changed record is sent along with every membership message, and with
//! messages of its own while there is any, a number of times that grows with
//! the logarithm of the number of members. That reaches all of them with high
//! probability; the exchange of digests finds the rest.

use super::directory::{Directory, MemberKey};
use crate::peer::message;

/// Most records in one message; keeps it near one network packet.
pub(super) const MAX_RECORDS: usize = 8;

/// Times a record is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The records that are still to be sent.
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
    /// Has the record of `key` spread, afresh where it is already.
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

    /// The records for one message, those sent least often first.
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
