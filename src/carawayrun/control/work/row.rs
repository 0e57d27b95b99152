//! The row of a lease.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use crate::store::table::{Condition, Put, Row, Transaction};

/// Value of the row `work/<name>`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LeaseRow {
    /// Node and incarnation that hold the lease; empty once it was released.
    pub(super) holder: CompactString,
    /// Fencing number; incremented whenever the lease is acquired.
    pub(super) fence: u64,
    /// Identifies the write that produced this value.
    pub(super) write: u64,
    /// State of the task, as JSON text.
    pub(super) state: Box<RawValue>,
}

impl LeaseRow {
    /// Parses the value of `row`; none if it is not valid.
    pub(super) fn parse(row: &Row) -> Option<Self> {
        serde_json::from_str(row.value.get()).ok()
    }

    /// Adds the write of this value to `transaction`, on condition that the row
    /// still has `version`.
    pub(super) fn add_to(
        &self,
        name: &str,
        version: u64,
        mut transaction: Transaction,
    ) -> Transaction {
        let key = row_key(name);
        let value = to_raw_value(self).expect("a lease row serializes to JSON");
        transaction.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        transaction.puts.push(Put { key, value });
        transaction
    }
}

/// Key of the row of `name`.
pub(super) fn row_key(name: &str) -> CompactString {
    format_compact!("work/{name}")
}
