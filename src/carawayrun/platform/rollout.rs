//! Roll-out orders of the operators, and the status rows written for them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::number::Number;
use super::store::{Keyspace, qualified_key};
use super::time::from_seconds;
use crate::relay::rollout::{OrderId, Phase, RolloutOrder, RolloutRow};
use crate::store::table::{Condition, Put, Row, Transaction};

/// Key prefix of orders and of their status rows.
const PREFIX: &str = "rollout/";

#[derive(Deserialize)]
struct WireOrder {
    service: CompactString,
    /// Version to roll out.
    to: CompactString,
    duration_s: Number,
}

#[derive(Serialize)]
struct WireStatus<'a> {
    service: &'a str,
    to: &'a str,
    /// `active`, `complete` or `reverted`.
    state: &'static str,
}

/// Parses a roll-out order from a row that was read in `era`; `None` if the row
/// holds something else.
///
/// # Errors
///
/// If the row's value is not an order.
pub fn parse_order(row: &Row, era: u64) -> Option<Result<RolloutOrder, serde_json::Error>> {
    if !row.key.starts_with(PREFIX) {
        return None;
    }
    let wire: Result<WireOrder, _> = serde_json::from_str(row.value.get());
    Some(wire.map(|wire| RolloutOrder {
        service: wire.service,
        to: wire.to,
        limit: from_seconds(wire.duration_s.value()),
        id: OrderId {
            era,
            version: row.version,
        },
    }))
}

/// Returns the service of an order from its row's key.
pub(crate) fn order_service(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX)
}

/// Builds the transaction that writes the row of a roll-out, on condition that it
/// is still at `version`, and its status row for the operators.
pub fn rollout_transaction(row: &RolloutRow, version: u64) -> Transaction {
    let key = qualified_key(Keyspace::Rollouts, &row.service);
    let status = WireStatus {
        service: &row.service,
        to: &row.to,
        state: match row.phase {
            Phase::Canary | Phase::Spread => "active",
            Phase::Complete => "complete",
            Phase::Reverted => "reverted",
        },
    };
    let status_key = qualified_key(Keyspace::Status, &format!("{PREFIX}{}", row.service));
    Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        puts: vec![put_row(key, row), put_row(status_key, &status)],
        deletes: Vec::new(),
    }
}

/// Builds the transaction that replaces a row which only this gateway writes.
pub fn put_transaction(table: Keyspace, key: &str, value: &impl Serialize) -> Transaction {
    Transaction {
        puts: vec![put_row(qualified_key(table, key), value)],
        ..Transaction::default()
    }
}

fn put_row(key: CompactString, value: &impl Serialize) -> Put {
    let value = serde_json::value::to_raw_value(value).expect("rows serialize to JSON");
    Put { key, value }
}
