//! Metadata store of the users' platform: tables of rows with a change feed.
//!
//! Tests use four more calls: `PUT` and `DELETE /rows/TABLE/KEY` stand for the
//! writes of operators and upstreams, `POST /drop-history` drops the feed's
//! history, and `POST /restore` replaces all rows by those of an earlier version
//! (`version=N`) or time (`age_ms=N`). Versions are then given out again from
//! there, and the era in the header `Store-Era` rises by one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bpaf::Bpaf;
use carawayrun::http::{json, read_body, text};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::value::{RawValue, to_raw_value};
use tokio::sync::Notify;

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, lost_answer, query_value, read_json, run as serve};

/// Maximum size of the value that an operator or upstream writes, in bytes.
const MAX_VALUE_BYTES: usize = 8 << 20;

/// Command-line options.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(String::from("127.0.0.1:0")))]
    listen: String,
    /// Initial faults, as the JSON body of `PUT /faults`
    #[bpaf(argument("JSON"), fallback(Faults::default()))]
    faults: Faults,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let Options { listen, faults } = options.clone();
    serve(&listen, move || {
        let service = Rc::new(Service {
            faults: FaultState::new(&faults),
            rows: RefCell::default(),
            history: RefCell::default(),
            oldest_cursor: Cell::default(),
            version: Cell::default(),
            era: Cell::default(),
            calls: Cell::default(),
            changed: Notify::new(),
            started_at: Instant::now(),
        });
        move |request| Rc::clone(&service).handle(request)
    })
}

struct Service {
    faults: FaultState,
    /// Rows by table, part and key.
    rows: RefCell<BTreeMap<(String, String, String), Row>>,
    /// All writes with their times, the oldest first.
    history: RefCell<Vec<(Instant, Row)>>,
    /// Lowest `after` that the feed accepts; `POST /drop-history` raises it above every
    /// cursor issued so far.
    oldest_cursor: Cell<u64>,
    version: Cell<u64>,
    /// Number of restores from a copy.
    era: Cell<u64>,
    calls: Cell<u64>,
    changed: Notify,
    started_at: Instant,
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Row {
    table: String,
    part: String,
    key: String,
    value: EncodedValue,
    ver: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

/// A value as it stands in answers, so that a long one costs no time there.
#[derive(Debug, Clone)]
struct EncodedValue(Rc<RawValue>);

impl EncodedValue {
    fn new(base64: &str) -> Self {
        let text = to_raw_value(base64).expect("text can be written as JSON");
        Self(text.into())
    }
}

impl Serialize for EncodedValue {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct RowsBody {
    rows: Vec<Row>,
    has_more: bool,
    ver: u64,
    now_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<ExpectedVersion>,
    #[serde(default)]
    puts: Vec<Put>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ExpectedVersion {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Put {
    table: String,
    key: String,
    value: String,
}

impl Service {
    async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let mut answer = Rc::clone(&self).answer(request).await;
        let name = HeaderName::from_static("store-era");
        let era = HeaderValue::from(self.era.get());
        answer.headers_mut().insert(name, era);
        answer
    }

    async fn answer(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if request.path() == "/restore" {
            return self.restore(&request);
        }
        if request.path().starts_with("/rows/") {
            return self.write_row_for_test(&mut request).await;
        }
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::POST, "/v1/rows-tx") => self.transact(&mut request).await,
            (&Method::GET, "/v1/rows-get") => self.list_rows(&request),
            (&Method::GET, "/v1/rows-feed") => self.read_feed(&request).await,
            (&Method::GET, "/calls") => json(StatusCode::OK, &self.calls.get()),
            (&Method::POST, "/drop-history") => {
                self.oldest_cursor.set(self.version.get() + 1);
                self.changed.notify_waiters();
                text(StatusCode::OK, "dropped\n")
            }
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn write_row_for_test(&self, request: &mut Request) -> Response<BoxBody> {
        let path = request.path().to_owned();
        let Some((table, key)) = path["/rows/".len()..].split_once('/') else {
            return text(StatusCode::NOT_FOUND, "give /rows/TABLE/KEY\n");
        };
        let body = match read_body(request.take_payload(), MAX_VALUE_BYTES).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let value = EncodedValue::new(&STANDARD.encode(&body));
        let version = self.next_version();
        self.write_row(Row {
            table: table.into(),
            part: query_value(request, "part").unwrap_or_default(),
            key: key.into(),
            value,
            ver: version,
            deleted: request.method() == Method::DELETE,
        });
        self.changed.notify_waiters();
        json(StatusCode::OK, &version)
    }

    fn restore(&self, request: &Request) -> Response<BoxBody> {
        let number = |name| query_value(request, name).and_then(|text| text.parse::<u64>().ok());
        let (version, age_ms) = (number("version"), number("age_ms"));
        if version.is_none() && age_ms.is_none() {
            return text(StatusCode::BAD_REQUEST, "give version=N or age_ms=N\n");
        }
        let age = age_ms.map(Duration::from_millis);
        let is_copied = |at: &Instant, row: &Row| {
            version.is_none_or(|version| row.ver <= version)
                && age.is_none_or(|age| at.elapsed() >= age)
        };
        let mut history = self.history.take();
        history.retain(|(at, row)| is_copied(at, row));
        self.rows.borrow_mut().clear();
        for (_, row) in &history {
            self.apply_row(row);
        }
        self.version
            .set(history.last().map_or(0, |(_, row)| row.ver));
        self.history.replace(history);
        self.era.set(self.era.get() + 1);
        self.changed.notify_waiters();
        json(StatusCode::OK, &self.version.get())
    }

    async fn transact(&self, request: &mut Request) -> Response<BoxBody> {
        self.calls.set(self.calls.get() + 1);
        let transaction: Transaction = match read_json(request).await {
            Ok(transaction) => transaction,
            Err(answer) => return answer,
        };
        let rows = self.rows.borrow();
        let find_row =
            |table: &str, key: &str| rows.get(&(table.to_owned(), String::new(), key.to_owned()));
        let conditions_hold = transaction.expected_rev.iter().all(|expected| {
            let row = find_row(&expected.table, &expected.key);
            row.map_or(0, |row| row.ver) == expected.ver
        });
        if !conditions_hold {
            let current = transaction.expected_rev.iter();
            let current = current.filter_map(|expected| find_row(&expected.table, &expected.key));
            let current = current.cloned().collect();
            return json(StatusCode::PRECONDITION_FAILED, &self.rows_body(current));
        }
        drop(rows);
        let version = self.next_version();
        for put in transaction.puts {
            self.write_row(Row {
                table: put.table,
                part: String::new(),
                key: put.key,
                value: EncodedValue::new(&put.value),
                ver: version,
                deleted: false,
            });
        }
        self.changed.notify_waiters();
        if self.faults.take_lost_answer() {
            return lost_answer();
        }
        json(StatusCode::OK, &self.rows_body(Vec::new()))
    }

    fn list_rows(&self, request: &Request) -> Response<BoxBody> {
        self.calls.set(self.calls.get() + 1);
        let table = query_value(request, "table").unwrap_or_default();
        let part = query_value(request, "part").unwrap_or_default();
        let from = query_value(request, "from").unwrap_or_default();
        let rows = self.rows.borrow();
        let rows = rows.values();
        let rows = rows.filter(|row| row.table == table && row.part == part && row.key >= from);
        json(StatusCode::OK, &self.rows_body(rows.cloned().collect()))
    }

    async fn read_feed(&self, request: &Request) -> Response<BoxBody> {
        self.calls.set(self.calls.get() + 1);
        let table = query_value(request, "table").unwrap_or_default();
        let parse_number = |name| query_value(request, name).and_then(|text| text.parse().ok());
        let after: u64 = parse_number("after").unwrap_or_default();
        let wait = Duration::from_millis(parse_number("wait_ms").unwrap_or_default());
        let deadline = actix_rt::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if after < self.oldest_cursor.get() || after > self.version.get() {
                return text(StatusCode::GONE, "no history from there\n");
            }
            let rows = self.changes_after(&table, after);
            let has_changed = rows.is_empty() && {
                let remaining = deadline.saturating_duration_since(actix_rt::time::Instant::now());
                actix_rt::time::timeout(remaining, changed).await.is_ok()
            };
            if !has_changed {
                return json(StatusCode::OK, &self.rows_body(rows));
            }
        }
    }

    fn changes_after(&self, table: &str, after: u64) -> Vec<Row> {
        let history = self.history.borrow();
        let rows = history.iter().map(|(_, row)| row);
        let rows = rows.filter(|row| row.table == table && row.ver > after);
        rows.cloned().collect()
    }

    fn write_row(&self, row: Row) {
        self.apply_row(&row);
        self.history.borrow_mut().push((Instant::now(), row));
    }

    fn apply_row(&self, row: &Row) {
        let row_key = (row.table.clone(), row.part.clone(), row.key.clone());
        if row.deleted {
            self.rows.borrow_mut().remove(&row_key);
        } else {
            self.rows.borrow_mut().insert(row_key, row.clone());
        }
    }

    fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 1);
        self.version.get()
    }

    fn rows_body(&self, rows: Vec<Row>) -> RowsBody {
        RowsBody {
            rows,
            has_more: false,
            ver: self.version.get(),
            now_ms: self.started_at.elapsed().as_millis() as u64,
        }
    }
}
