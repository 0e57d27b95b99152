//! Client of the platform's metadata store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::ResultExt;

use crate::store::CallError;
use crate::store::call::{self, Answer};
use crate::store::feed::{
    CallSnafu, Change, Changes, Cursor, FeedError, HistoryDroppedSnafu, Snapshot, TooLongSnafu,
};
use crate::store::invalid_rows::InvalidRows;
use crate::store::pool::{ConnectionPool, PoolMetrics};
use crate::store::table::{Row, TableError, Transaction};

/// Longest answer that is read, in bytes. The store sends at most 1 MB of rows, or one row
/// that is longer: a configuration of 4 MiB in base64, and a margin of half as much.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Most rows of one answer: the limit of the store.
const PAGE_ROWS: usize = 500;

/// Header of all answers that counts how often the store was restored from a copy.
const ERA_HEADER: &str = "store-era";

/// A table of the store that the program uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Keyspace {
    /// Configuration and roll-out orders of the operators; read only.
    Orders,
    /// Registrations of upstreams; read only.
    Registrations,
    /// Status of roll-outs for the operators.
    Status,
    /// Phases of roll-outs; written by gateways only.
    Rollouts,
    /// Report addresses of gateways; written by gateways only.
    Gateways,
}

impl Keyspace {
    fn table(self) -> &'static str {
        match self {
            Self::Orders => "op",
            Self::Registrations => "servers",
            Self::Status => "status",
            Self::Rollouts => "rollouts",
            Self::Gateways => "gateways",
        }
    }
}

/// Client of the store, for use on one thread.
#[derive(Clone)]
pub struct StoreClient {
    pool: Rc<ConnectionPool>,
    invalid: Rc<InvalidRows>,
    base: CompactString,
}

#[derive(Deserialize)]
struct WireRow {
    /// The rows that the pages name have none.
    #[serde(default)]
    part: CompactString,
    key: CompactString,
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct RowsBody {
    rows: Vec<WireRow>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    now_ms: u64,
}

#[derive(Serialize)]
struct WireCondition<'a> {
    table: &'static str,
    part: &'static str,
    key: &'a str,
    ver: u64,
}

#[derive(Serialize)]
struct WirePut<'a> {
    table: &'static str,
    part: &'static str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
struct WireTransaction<'a> {
    expected_rev: Vec<WireCondition<'a>>,
    puts: Vec<WirePut<'a>>,
    delete: [(); 0],
}

impl StoreClient {
    /// Creates a client of the store at `addr`; it connects on the first call, and counts
    /// in `metrics`.
    pub(crate) fn new(addr: SocketAddr, metrics: PoolMetrics) -> Self {
        Self {
            pool: Rc::new(ConnectionPool::new(metrics)),
            invalid: Rc::default(),
            base: CompactString::from(format!("http://{addr}")),
        }
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the store did not answer with rows.
    pub async fn snapshot(&self, table: Keyspace) -> Result<Snapshot, CallError> {
        let mut snapshot = Snapshot::default();
        let mut from = String::new();
        loop {
            let (page, era) = self.read_page(table, &from).await?;
            // Changes are followed from the version of the first page, so that none
            // is missed.
            if from.is_empty() {
                snapshot.cursor = Cursor {
                    era,
                    version: page.ver,
                };
            } else if snapshot.cursor.era != era {
                // The pages are of different copies.
                snapshot = Snapshot::default();
                from.clear();
                continue;
            }
            snapshot.now = Duration::from_millis(page.now_ms);
            from = page.rows.last().map(key_after).unwrap_or_default();
            let has_more = page.has_more && !page.rows.is_empty();
            let rows = page.rows.into_iter();
            snapshot
                .rows
                .extend(rows.filter_map(|row| self.parse_row(table, row)));
            if !has_more {
                return Ok(snapshot);
            }
        }
    }

    async fn read_page(&self, table: Keyspace, from: &str) -> Result<(RowsBody, u64), CallError> {
        let url = format!(
            "{}/v1/rows-get?table={}&part=&from={}&limit={PAGE_ROWS}",
            self.base,
            table.table(),
            call::percent_encode(from)
        );
        let build = |client: &Client, _| client.get(url.as_str());
        let answer = self.pool.read(build, Duration::ZERO, MAX_ANSWER_BYTES);
        let answer = answer.await?;
        match answer.status {
            StatusCode::OK => Ok((parse_rows(&answer)?, parse_era(&answer)?)),
            status => Err(call::invalid_status(status, &answer.body)),
        }
    }

    /// Waits for changes of a table after `version`, at most `wait`, and reads at most
    /// `limit` bytes of them.
    ///
    /// # Errors
    ///
    /// [`FeedError`] if the call failed, if the store no longer has the changes, or if they
    /// are longer.
    pub async fn changes(
        &self,
        table: Keyspace,
        version: u64,
        wait: Duration,
        limit: usize,
    ) -> Result<Changes, FeedError> {
        let url = format!(
            "{}/v1/rows-feed?table={}&after={version}",
            self.base,
            table.table()
        );
        let build = |client: &Client, wait: Duration| {
            client.get(format!("{url}&wait_ms={}", wait.as_millis()))
        };
        let answer = match self
            .pool
            .read(build, wait, limit.min(MAX_ANSWER_BYTES))
            .await
        {
            Err(CallError::TooLong { .. }) => return TooLongSnafu.fail(),
            answer => answer.context(CallSnafu)?,
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::GONE => return HistoryDroppedSnafu.fail(),
            status => {
                return Err(call::invalid_status(status, &answer.body)).context(CallSnafu);
            }
        }
        let body = parse_rows(&answer).context(CallSnafu)?;
        // A feed is of a table with all its parts.
        let own = body.rows.into_iter().filter(|row| row.part.is_empty());
        Ok(Changes {
            cursor: Cursor {
                era: parse_era(&answer).context(CallSnafu)?,
                version: body.ver,
            },
            now: Duration::from_millis(body.now_ms),
            changes: own.map(|row| self.parse_change(table, row)).collect(),
        })
    }

    /// Records an invalid row; returns true if this version of it was not recorded last,
    /// so that it is to be logged.
    pub fn record_invalid(&self, table: Keyspace, row: &Row) -> bool {
        self.invalid.record(table.table(), &row.key, row.version)
    }

    fn parse_change(&self, table: Keyspace, wire: WireRow) -> Change {
        if wire.deleted {
            return Change::Deleted(wire.key);
        }
        // A row that can't be parsed counts as deleted.
        let key = wire.key.clone();
        self.parse_row(table, wire)
            .map_or(Change::Deleted(key), Change::Put)
    }

    fn parse_row(&self, table: Keyspace, wire: WireRow) -> Option<Row> {
        let WireRow { key, ver, .. } = &wire;
        let value = decode_value(&wire.value);
        // What operators wrote and can't be read was not taken back.
        let is_operators = table == Keyspace::Orders;
        let value = value.or_else(|| is_operators.then(|| RawValue::NULL.to_owned()));
        if value.is_none() && self.invalid.record(table.table(), key, *ver) {
            tracing::warn!(%key, version = ver, "store row is not valid JSON; ignored");
        }
        Some(Row {
            version: wire.ver,
            value: value?,
            key: wire.key,
        })
    }

    /// Commits a transaction, whose keys are qualified by the name of their table.
    ///
    /// # Errors
    ///
    /// [`TableError`] says whether the call may have taken effect.
    ///
    /// # Panics
    ///
    /// If the transaction can't be serialized to JSON, which its types exclude.
    pub async fn commit(&self, writes: &Transaction) -> Result<(), TableError> {
        let body =
            serde_json::to_vec(&wire_transaction(writes)).expect("transactions serialize to JSON");
        let url = format!("{}/v1/rows-tx", self.base);
        let build = |client: &Client| client.post(url.as_str());
        let body = Bytes::from(body);
        let answer = self.pool.write(build, body, MAX_ANSWER_BYTES).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::PRECONDITION_FAILED => {
                let rows = parse_rows(&answer)?.rows.into_iter();
                let rows = rows.filter_map(|row| self.parse_row(Keyspace::Rollouts, row));
                let rows = rows.collect();
                Err(TableError::Conflict { rows })
            }
            status => Err(call::invalid_status(status, &answer.body).into()),
        }
    }
}

impl std::fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

/// Returns the key of a row for [`Transaction`]s: `TABLE/KEY`.
pub(super) fn qualified_key(table: Keyspace, key: &str) -> CompactString {
    CompactString::from(format!("{}/{key}", table.table()))
}

// Splits a qualified key into table and key; the table is empty if it is not one
// that gateways write.
fn split_key(key: &str) -> (&'static str, &str) {
    let (table, key) = key.split_once('/').unwrap_or(("", key));
    let known = [Keyspace::Status, Keyspace::Rollouts, Keyspace::Gateways];
    let table = known.iter().find(|known| known.table() == table);
    (table.map_or("", |known| known.table()), key)
}

fn wire_transaction(writes: &Transaction) -> WireTransaction<'_> {
    let expected_rev = writes.conditions.iter().map(|condition| {
        let (table, key) = split_key(&condition.key);
        let ver = condition.version;
        WireCondition {
            table,
            part: "",
            key,
            ver,
        }
    });
    let puts = writes.puts.iter().map(|put| {
        let (table, key) = split_key(&put.key);
        WirePut {
            table,
            part: "",
            key,
            value: STANDARD.encode(put.value.get()),
        }
    });
    WireTransaction {
        expected_rev: expected_rev.collect(),
        puts: puts.collect(),
        delete: [],
    }
}

fn parse_rows(answer: &Answer) -> Result<RowsBody, CallError> {
    serde_json::from_slice(&answer.body).map_err(|error| call::invalid_json(&error))
}

// Era of an answer; zero if the store does not count eras.
fn parse_era(answer: &Answer) -> Result<u64, CallError> {
    let Some(value) = answer.headers.get(ERA_HEADER) else {
        return Ok(0);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.ok_or_else(|| call::invalid_answer(&format!("{ERA_HEADER} is {value:?}, not a number")))
}

// The smallest key after that of a row, as ranges include their start.
fn key_after(row: &WireRow) -> String {
    format!("{}\0", row.key)
}

fn decode_value(encoded: &str) -> Option<Box<RawValue>> {
    let bytes = STANDARD.decode(encoded).ok()?;
    RawValue::from_string(String::from_utf8(bytes).ok()?).ok()
}
