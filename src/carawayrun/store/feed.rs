//! Following the rows of a table service that tells what changed.

use std::time::Duration;

use super::table::Row;

/// Rows of one table as of a single moment.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Newest version in the service at that moment.
    pub version: u64,
    /// The service's steady clock, which runs on over the restarts of its callers.
    pub now: Duration,
}

/// What happened to a row.
#[derive(Debug, Clone)]
pub enum Change {
    /// It was written.
    Put(Row),
    /// It was removed; only its key is left.
    Deleted(compact_str::CompactString),
}

/// Changes of one table after a version.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// In the order in which they took effect.
    pub changes: Vec<Change>,
    /// Version up to which they are complete.
    pub version: u64,
    /// The service's steady clock.
    pub now: Duration,
}

/// A feed that could not be continued.
#[derive(Debug)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FeedError {
    /// The changes asked for are no longer kept: read a snapshot.
    #[snafu(display("the history after that version was dropped"))]
    HistoryDropped,
    /// The call did not succeed.
    #[snafu(display("{source}"))]
    Call {
        /// What went wrong.
        source: super::CallError,
    },
}
