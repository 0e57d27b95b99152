//! Orders to roll a version out, and what operators are told of them.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::store::{Keyspace, qualified};
use crate::relay::rollout::{Order, Phase, RolloutRow};
use crate::store::table::{Condition, Put, Row, Transaction};

/// Start of the keys of orders and of their status.
const PREFIX: &str = "rollout/";

#[derive(Deserialize)]
struct WireOrder {
    service: CompactString,
    /// Version to move to.
    to: CompactString,
    duration_s: f64,
}

#[derive(Serialize)]
struct WireStatus<'a> {
    service: &'a str,
    to: &'a str,
    /// `active`, `complete` or `reverted`.
    state: &'static str,
}

/// The order that a row of the operators holds; none where it is another row.
///
/// # Errors
///
/// Where the row can't be read.
pub fn order(row: &Row) -> Option<Result<Order, serde_json::Error>> {
    if !row.key.starts_with(PREFIX) {
        return None;
    }
    let wire: Result<WireOrder, _> = serde_json::from_str(row.value.get());
    Some(wire.map(|wire| Order {
        service: wire.service,
        to: wire.to,
        limit: Duration::from_secs_f64(wire.duration_s.max(0.0)),
        version: row.version,
    }))
}

/// The service of an order by its row's key.
pub(crate) fn ordered_service(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX)
}

/// The transaction that moves a roll-out on: its own row under the condition
/// that it is still at `version`, and what operators are told.
pub fn status(row: &RolloutRow, version: u64) -> Transaction {
    let key = qualified(Keyspace::Rollouts, &row.service);
    let told = WireStatus {
        service: &row.service,
        to: &row.to,
        state: match row.phase {
            Phase::Canary | Phase::Spread => "active",
            Phase::Complete => "complete",
            Phase::Reverted => "reverted",
        },
    };
    let told_key = qualified(Keyspace::Status, &format!("{PREFIX}{}", row.service));
    Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        puts: vec![put(key, row), put(told_key, &told)],
        deletes: Vec::new(),
    }
}

/// The transaction that replaces a row that only this gateway writes.
pub fn note(table: Keyspace, key: &str, value: &impl Serialize) -> Transaction {
    Transaction {
        puts: vec![put(qualified(table, key), value)],
        ..Transaction::default()
    }
}

fn put(key: CompactString, value: &impl Serialize) -> Put {
    let value = serde_json::value::to_raw_value(value).expect("rows can be written as JSON");
    Put { key, value }
}
