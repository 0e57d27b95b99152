//! Calls to the transactional table service, as data.
//!
//! A row has a key, a value and a version. A write increments the version, and
//! version zero means that the row does not exist. A transaction commits all
//! its writes if all its conditions hold, and none otherwise.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A row as stored by the service.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key, whose parts are separated by `/`.
    pub key: CompactString,
    /// Number of writes since the row was created.
    pub version: u64,
    /// JSON text.
    pub value: Box<RawValue>,
}

/// Version that a row must have when a transaction commits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: CompactString,
    /// Required version; zero if the row must not exist.
    pub version: u64,
}

/// A write of one row.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: CompactString,
    /// JSON text.
    pub value: Box<RawValue>,
}

/// Conditions and writes that take effect together.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of rows to delete.
    #[serde(default)]
    pub deletes: Vec<CompactString>,
}

/// A call to the service.
#[derive(Debug, Clone)]
pub enum TableCall {
    /// Reads rows by key; `POST /v1/read`.
    Read(Vec<CompactString>),
    /// Reads rows by prefix, in the order of their keys; `GET /v1/rows`.
    List(ListCall),
    /// Commits a transaction; `POST /v1/commit`.
    Commit(Transaction),
}

/// A read by prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListCall {
    /// Prefix of the keys.
    pub prefix: CompactString,
    /// Returns only keys after this one; empty for all.
    pub after: CompactString,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// Answer to a successful call.
#[derive(Debug, Clone)]
pub enum TableAnswer {
    /// Rows of a read that exist.
    Rows(Vec<Row>),
    /// The transaction took effect.
    Committed,
}

/// Error of a call to the service.
#[derive(Debug, Clone)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TableError {
    /// A condition did not hold, so nothing was written.
    #[snafu(display("{} rows had changed", rows.len()))]
    Conflict {
        /// Current rows of the failed conditions, without those that don't
        /// exist.
        rows: Vec<Row>,
    },
    /// The service was not reached, or answered that it did not apply the call
    /// (overload, outage).
    #[snafu(display("table service unavailable: {message}"))]
    Unavailable {
        /// Error of the connection, or status and start of the answer's body.
        message: CompactString,
    },
    /// No usable answer arrived; a write may have taken effect.
    #[snafu(display("no answer from the table service: {message}"))]
    Lost {
        /// Cause, such as an error of the connection.
        message: CompactString,
    },
    /// The service answered with an unexpected status, such as that of a
    /// malformed call, which is a bug in its caller.
    #[snafu(display("table service refused the call: {message}"))]
    Invalid {
        /// Status and start of the answer's body.
        message: CompactString,
    },
}
