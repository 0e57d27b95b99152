//! Snapshots and change feeds of tables, as data.

use std::time::Duration;

use super::table::Row;

/// Position in the changes of a service. It is valid in its era only, as versions
/// are given out again after a restore.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Number of times that the service was restored from a copy.
    pub era: u64,
    /// Version of the last change.
    pub version: u64,
}

/// Rows of one table at one point in time.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Newest version in the service at that time.
    pub cursor: Cursor,
    /// Time on the service's steady clock, which is independent of its callers'
    /// restarts.
    pub now: Duration,
}

/// Change of one row.
#[derive(Debug, Clone)]
pub enum Change {
    /// The row was written.
    Put(Row),
    /// The row with this key was deleted.
    Deleted(compact_str::CompactString),
}

/// Changes of one table after a version.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// Changes in the order in which they took effect.
    pub changes: Vec<Change>,
    /// Version up to which the changes are complete.
    pub cursor: Cursor,
    /// Time on the service's steady clock.
    pub now: Duration,
}

/// Error of reading a feed.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FeedError {
    /// The service no longer has these changes; read a snapshot instead.
    #[snafu(display("the history after that version was dropped"))]
    HistoryDropped,
    /// The changes are longer than the caller reads; a snapshot has the newest ones alone.
    #[snafu(display("the changes are longer than they may be"))]
    TooLong,
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the call.
        source: super::CallError,
    },
}
