//! The row of one piece of control work.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use crate::store::table::{Condition, Put, Row, Transaction};

/// Value of the row `work/<name>`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LeaseRow {
    /// The life that holds it; empty where it was given up.
    pub(super) holder: CompactString,
    /// Fencing number: grows by one whenever the holder changes.
    pub(super) fence: u64,
    /// Identifies the write that made this value.
    pub(super) write: u64,
    /// What the holder keeps; JSON text.
    pub(super) state: Box<RawValue>,
}

impl LeaseRow {
    /// What `row` holds; none where it can't be read.
    pub(super) fn parse(row: &Row) -> Option<Self> {
        serde_json::from_str(row.value.get()).ok()
    }

    /// `transaction` together with this value, on condition that the row still
    /// has `version`.
    pub(super) fn add_to(
        &self,
        name: &str,
        version: u64,
        mut transaction: Transaction,
    ) -> Transaction {
        let key = row_key(name);
        let value = to_raw_value(self).expect("a row can be written as JSON");
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
