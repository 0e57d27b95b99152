//! Rows of ledgers and bills in the table service.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use super::sequences::Sequences;
use crate::control::event::Bill;
use crate::peer::NodeId;
use crate::store::table::{Condition, Put, Row, Transaction};

/// Prefix of the keys of all ledgers' rows.
pub(super) const PREFIX: &str = "ledger/";

/// The ledger of one incarnation of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LedgerRow {
    /// Requests that need no further bill, including those for which none was
    /// written.
    #[serde(flatten)]
    pub(super) written: Sequences,
    /// Ordinal of the last batch of bills; zero if there is none.
    pub(super) batch: u64,
    /// Number of heartbeats, that is writes without bills.
    #[serde(default)]
    pub(super) beat: u64,
    /// True if the gateway may not write any more.
    #[serde(default)]
    pub(super) sealed: bool,
    /// Incarnation of the gateway that sealed the ledger and completes it.
    #[serde(default)]
    pub(super) sealer: CompactString,
    /// True if the ledger is complete.
    #[serde(default)]
    pub(super) settled: bool,
}

/// A ledger's row as read, with its version; zero if the row is absent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct StoredLedger {
    pub(super) version: u64,
    pub(super) row: LedgerRow,
}

/// Key of a ledger's row.
pub(super) fn key(node: &NodeId) -> CompactString {
    format_compact!("{PREFIX}{node}")
}

/// The incarnation whose ledger has this key.
pub(super) fn node_of(key: &str) -> Option<NodeId> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

/// Finds the ledger of `node` in the rows of an answer; `None` if its row can't
/// be parsed.
pub(super) fn find(rows: &[Row], node: &NodeId) -> Option<StoredLedger> {
    let wanted = key(node);
    let Some(row) = rows.iter().find(|row| row.key == wanted) else {
        return Some(StoredLedger::default());
    };
    parse(row)
}

/// Parses a ledger's row; `None` if it is not valid.
pub(super) fn parse(row: &Row) -> Option<StoredLedger> {
    Some(StoredLedger {
        version: row.version,
        row: serde_json::from_str(row.value.get()).ok()?,
    })
}

/// A transaction that writes a ledger's row and its batch of bills, if any.
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
