//! Election of the gateway that reads a table of the store on behalf of all
//! others.
//!
//! Load pattern: hundreds of gateways would each poll the store for the same
//! changes several times a second. Instead, one gateway reads the table and sends
//! the others a digest of its rows with the store's time of the read. A gateway
//! that holds the same rows takes this as a confirmation as of that time, without
//! a call of its own; a gateway with other rows reads the table at once. The
//! reader is the gateway with the least name among those that have read recently,
//! so a second reader stops and the next one takes over when confirmations stop.
//! No lease is needed: a second reader costs additional calls and has no other
//! effect.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHasher;

/// Digest of a table's rows, and when they were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Restores of the store before the read. The same row versions, and so the
    /// same digest, mean other rows in another era.
    pub era: u64,
    /// The store's time in its response.
    pub at: Duration,
    /// Digest of the rows.
    pub digest: u64,
}

impl Confirmation {
    fn is_newer_than(&self, other: &Self) -> bool {
        (self.era, self.at) > (other.era, other.at)
    }

    fn has_same_rows(&self, other: &Self) -> bool {
        (self.era, self.digest) == (other.era, other.digest)
    }
}

/// Whether a gateway reads a table now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDecision {
    /// This gateway reads the table.
    Read,
    /// Another gateway reads it; check again after at most this time.
    Wait(Duration),
}

/// A table of the store that a gateway follows. Times are on the store's clock.
#[derive(Debug, Default)]
pub struct FollowedTable {
    rows: BTreeMap<CompactString, u64>,
    own: Option<Confirmation>,
    peers: BTreeMap<CompactString, Confirmation>,
    /// Era and time as of which the rows were last known to be current. Kept, as a
    /// peer's newer confirmation of other rows takes the place of the one it is from.
    current_at: Option<(u64, Duration)>,
    /// Time of the first confirmation of newer rows that this gateway has not read yet.
    behind_since: Option<Duration>,
}

impl FollowedTable {
    /// Inserts a row; `content` must change whenever a relevant part of the row
    /// does.
    pub fn insert_row(&mut self, key: &str, content: u64) {
        self.rows.insert(key.into(), content);
    }

    /// Removes a deleted row.
    pub fn remove_row(&mut self, key: &str) {
        self.rows.remove(key);
    }

    /// Removes all rows, before the table is read from scratch.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Records that this gateway read the rows in `era` as of the store's time `at`.
    pub fn record_read(&mut self, era: u64, at: Duration) {
        let digest = self.digest();
        self.own = Some(Confirmation { era, at, digest });
        self.update_current_at();
        self.update_behind();
    }

    /// Records a confirmation by another gateway; an older one than known is
    /// ignored.
    pub fn record_peer(&mut self, node: &str, confirmation: Confirmation) {
        let newest = self.peers.entry(node.into()).or_insert(confirmation);
        if confirmation.is_newer_than(newest) {
            *newest = confirmation;
        }
        self.update_current_at();
        self.update_behind();
    }

    /// Time at `now` for which another gateway is known to hold newer rows than this one;
    /// `None` if none is.
    pub fn lag(&self, now: Duration) -> Option<Duration> {
        self.behind_since.map(|since| now.saturating_sub(since))
    }

    /// Confirmation of this gateway's last read.
    pub fn own_confirmation(&self) -> Option<Confirmation> {
        self.own
    }

    /// Latest time in `era` as of which the local rows are known to be current. It
    /// never goes back within an era.
    pub fn confirmed_at(&self, era: u64) -> Option<Duration> {
        let current = self.current_at.filter(|(known, _)| *known == era);
        current.map(|(_, at)| at)
    }

    fn update_current_at(&mut self) {
        let Some(own) = self.own else {
            return;
        };
        let peers = self.peers.values();
        let same = peers.filter(|confirmation| confirmation.has_same_rows(&own));
        let times = same.map(|confirmation| confirmation.at);
        let at = times.fold(own.at, Duration::max);
        // A later era comes first, whatever its clock.
        self.current_at = self.current_at.max(Some((own.era, at)));
    }

    /// Decides whether this gateway, `node`, reads the table now. A confirmation
    /// is valid for `ttl`.
    pub fn decide_read(&self, node: &str, now: Duration, ttl: Duration) -> ReadDecision {
        let Some(own) = self.own.filter(|own| !self.has_newer_rows(own)) else {
            return ReadDecision::Read;
        };
        let before = self
            .peers
            .iter()
            .take_while(|(name, _)| name.as_str() < node)
            .filter(|(_, confirmation)| confirmation.era == own.era);
        let reader = before.map(|(_, confirmation)| confirmation.at + ttl).max();
        match reader {
            Some(until) if until > now => ReadDecision::Wait(until.saturating_sub(now)),
            _ => ReadDecision::Read,
        }
    }

    /// Returns true if a change may be missing already: another gateway has newer
    /// rows, or nobody has confirmed the own ones for `ttl`. A read then must not
    /// wait for a change.
    pub fn is_behind(&self, now: Duration, ttl: Duration) -> bool {
        let Some(own) = self.own else {
            return true;
        };
        let confirmed_at = self.confirmed_at(own.era).unwrap_or(own.at);
        self.has_newer_rows(&own) || confirmed_at + ttl <= now
    }

    fn has_newer_rows(&self, own: &Confirmation) -> bool {
        self.newer_rows(own).is_some()
    }

    // Newest confirmation of the others, if it is of newer rows than `own`.
    fn newer_rows(&self, own: &Confirmation) -> Option<&Confirmation> {
        let newest = self
            .peers
            .values()
            .max_by_key(|confirmation| (confirmation.era, confirmation.at));
        newest.filter(|newest| newest.is_newer_than(own) && !newest.has_same_rows(own))
    }

    fn update_behind(&mut self) {
        let newer = self.own.and_then(|own| self.newer_rows(&own).copied());
        self.behind_since = newer.map(|newer| self.behind_since.unwrap_or(newer.at));
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
