//! Which gateway reads a table of the store, and what the others learn of it.
//!
//! Load pattern: hundreds of gateways would each ask the store for the same
//! changes several times a second. One of them reads, and tells the others a
//! digest of what it read and the store's time of that. A gateway that holds
//! the same rows has them confirmed as of that time without a call of its own;
//! one that holds other rows reads them at once. The reader is the gateway with
//! the least name among those that read lately, so a second one gives way and
//! the next one takes over when confirmations stop. No lease is needed: two
//! readers cost calls, nothing else.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHasher;

/// What a reader knew of a table, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// The store's clock at the answer.
    pub at: Duration,
    /// Digest of the rows.
    pub digest: u64,
}

/// What a gateway does next about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDecision {
    /// It reads.
    Read,
    /// It leaves that to another one, for this long at most.
    Wait(Duration),
}

/// A table as one gateway follows it. Times are on the store's clock.
#[derive(Debug, Default)]
pub struct FollowedTable {
    rows: BTreeMap<CompactString, u64>,
    own: Option<Confirmation>,
    peers: BTreeMap<CompactString, Confirmation>,
}

impl FollowedTable {
    /// A row was read; `content` is a number that differs where it matters.
    pub fn insert_row(&mut self, key: &str, content: u64) {
        self.rows.insert(key.into(), content);
    }

    /// A row is gone.
    pub fn remove_row(&mut self, key: &str) {
        self.rows.remove(key);
    }

    /// All rows will be read anew.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// The rows were read as of the store's time `at`.
    pub fn record_read(&mut self, at: Duration) {
        let digest = self.digest();
        self.own = Some(Confirmation { at, digest });
    }

    /// Another gateway read the table.
    pub fn record_peer(&mut self, node: &str, confirmation: Confirmation) {
        let newest = self.peers.entry(node.into()).or_insert(confirmation);
        if confirmation.at > newest.at {
            *newest = confirmation;
        }
    }

    /// What this gateway read last itself.
    pub fn own_confirmation(&self) -> Option<Confirmation> {
        self.own
    }

    /// The newest time as of which the rows are known to be as they are here.
    pub fn confirmed_at(&self) -> Option<Duration> {
        let own = self.own?;
        let peers = self.peers.values();
        let same = peers.filter(|confirmation| confirmation.digest == own.digest);
        same.map(|confirmation| confirmation.at)
            .chain([own.at])
            .max()
    }

    /// Whether it is up to this gateway, `node`, to read. A confirmation counts
    /// for `fresh`.
    pub fn decide_read(&self, node: &str, now: Duration, ttl: Duration) -> ReadDecision {
        let Some(own) = self.own else {
            return ReadDecision::Read;
        };
        let newer = self
            .peers
            .values()
            .max_by_key(|confirmation| confirmation.at);
        if newer.is_some_and(|confirmation| {
            confirmation.at > own.at && confirmation.digest != own.digest
        }) {
            return ReadDecision::Read;
        }
        let before = self
            .peers
            .iter()
            .take_while(|(name, _)| name.as_str() < node);
        let reader = before.map(|(_, confirmation)| confirmation.at + ttl).max();
        match reader {
            Some(until) if until > now => ReadDecision::Wait(until.saturating_sub(now)),
            _ => ReadDecision::Read,
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        for (key, content) in &self.rows {
            key.as_str().hash(&mut hasher);
            content.hash(&mut hasher);
        }
        hasher.finish()
    }
}
