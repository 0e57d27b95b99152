//! Calls to the transactional table service, as data.
//!
//! A row has a key, a value and a version; a write raises the version by one,
//! and version zero means that the row does not exist. A transaction commits
//! all its writes when all its conditions hold, else none.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A row as the service holds it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key; parts are divided by `/`.
    pub key: CompactString,
    /// Number of writes since the row was created.
    pub version: u64,
    /// JSON text.
    pub value: Box<RawValue>,
}

/// A row's version that must hold when a transaction commits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: CompactString,
    /// Version it must have; zero where it must not exist.
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
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of rows to remove.
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
    /// Only keys after this one; empty for all.
    pub after: CompactString,
    /// Most rows to return.
    pub limit: u32,
}

/// The answer to a call that the service answered with success.
#[derive(Debug, Clone)]
pub enum TableAnswer {
    /// Rows of a read, those that exist only.
    Rows(Vec<Row>),
    /// The transaction took effect.
    Committed,
}

/// A call that did not succeed.
#[derive(Debug, Clone)]
#[derive(snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TableError {
    /// A condition did not hold, so nothing was written.
    #[snafu(display("{} rows had changed", rows.len()))]
    Conflict {
        /// The rows of the failed conditions as they are; missing ones absent.
        rows: Vec<Row>,
    },
    /// The service said that it did not act (overload, outage).
    #[snafu(display("table service unavailable: {message}"))]
    Unavailable {
        /// What it said.
        message: CompactString,
    },
    /// No answer came: a write may have taken effect.
    #[snafu(display("no answer from the table service: {message}"))]
    Lost {
        /// What the connection said.
        message: CompactString,
    },
    /// The service refused the call as malformed; a fault of ours.
    #[snafu(display("table service refused the call: {message}"))]
    Invalid {
        /// What it said.
        message: CompactString,
    },
}
