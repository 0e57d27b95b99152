//! Rows of the table service that hold ledgers and bills.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use super::sequences::Sequences;
use crate::control::event::Bill;
use crate::peer::NodeId;
use crate::store::table::{Condition, Put, Row, Transaction};

/// Prefix of the rows of all ledgers.
pub(super) const PREFIX: &str = "ledger/";

/// The ledger of one life of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LedgerRow {
    /// Requests that need no further bill.
    #[serde(flatten)]
    pub(super) written: Sequences,
    /// Number of the last batch of bills.
    pub(super) batch: u64,
    /// Number of writes that carried no bills, to show that the gateway lives.
    #[serde(default)]
    pub(super) beat: u64,
    /// True where the gateway may write no more.
    #[serde(default)]
    pub(super) sealed: bool,
    /// Life of the node that sealed it and completes it.
    #[serde(default)]
    pub(super) sealer: CompactString,
    /// True where nothing more is expected.
    #[serde(default)]
    pub(super) settled: bool,
}

/// A row as it was read: absent rows have version zero.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct StoredLedger {
    pub(super) version: u64,
    pub(super) row: LedgerRow,
}

/// Key of a ledger.
pub(super) fn key(node: &NodeId) -> CompactString {
    format_compact!("{PREFIX}{node}")
}

/// The life whose ledger has this key.
pub(super) fn node_of(key: &str) -> Option<NodeId> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

/// The ledger of `node` among the rows of an answer; none where it is unreadable.
pub(super) fn find(rows: &[Row], node: &NodeId) -> Option<StoredLedger> {
    let wanted = key(node);
    let Some(row) = rows.iter().find(|row| row.key == wanted) else {
        return Some(StoredLedger::default());
    };
    parse(row)
}

/// A ledger as a row holds it; none where it is unreadable.
pub(super) fn parse(row: &Row) -> Option<StoredLedger> {
    Some(StoredLedger {
        version: row.version,
        row: serde_json::from_str(row.value.get()).ok()?,
    })
}

/// Writes a ledger, and a batch of bills with it where there are any.
pub(super) fn transaction(
    node: &NodeId,
    version: u64,
    row: &LedgerRow,
    bills: &[Bill],
) -> Transaction {
    let mut puts = vec![Put {
        key: key(node),
        value: to_json(row),
    }];
    if !bills.is_empty() {
        puts.push(Put {
            key: format_compact!("bill/{node}/{:016x}", row.batch),
            value: to_json(&bills),
        });
    }
    Transaction {
        conditions: vec![Condition {
            key: key(node),
            version,
        }],
        puts,
        deletes: Vec::new(),
    }
}

fn to_json(value: &impl Serialize) -> Box<RawValue> {
    to_raw_value(value).expect("rows can be written as JSON")
}
