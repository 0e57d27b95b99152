//! Table service with conditional transactions, kept in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bpaf::Bpaf;
use carawayrun::http::{json, text};
use carawayrun::store::table::{Condition, Row, Transaction};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, lost_answer, query_value, read_json, run as serve};

/// Maximum number of rows in the answer of a list call.
const MAX_ROWS: usize = 10_000;

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
            ..Service::default()
        });
        move |request| Rc::clone(&service).handle(request)
    })
}

#[derive(Debug, Default)]
struct Service {
    rows: RefCell<BTreeMap<CompactString, Row>>,
    faults: FaultState,
    reads: Cell<u64>,
    writes: Cell<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadBody {
    keys: Vec<CompactString>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct RowsBody {
    rows: Vec<Row>,
}

/// Answer of `GET /counts`: calls since the start, and the rows stored now.
#[derive(Debug)]
#[derive(Serialize)]
struct Counts {
    reads: u64,
    writes: u64,
    rows: usize,
}

impl Service {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::POST, "/v1/read") => self.read(&mut request).await,
            (&Method::GET, "/v1/rows") => self.list(&request),
            (&Method::POST, "/v1/commit") => self.commit(&mut request).await,
            (&Method::GET, "/counts") => json(StatusCode::OK, &self.counts()),
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn read(&self, request: &mut Request) -> Response<BoxBody> {
        let body: ReadBody = match read_json(request).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        self.reads.set(self.reads.get() + 1);
        let rows = self.rows.borrow();
        let found = body
            .keys
            .iter()
            .filter_map(|key| rows.get(key).cloned())
            .collect();
        json(StatusCode::OK, &RowsBody { rows: found })
    }

    fn list(&self, request: &Request) -> Response<BoxBody> {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        let after = query_value(request, "after").unwrap_or_default();
        let limit = query_value(request, "limit").and_then(|text| text.parse().ok());
        self.reads.set(self.reads.get() + 1);
        let start = if after < prefix {
            Bound::Included(prefix.as_str())
        } else {
            Bound::Excluded(after.as_str())
        };
        let rows = self.rows.borrow();
        let found = rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&prefix))
            .take(limit.unwrap_or(MAX_ROWS).min(MAX_ROWS))
            .map(|(_, row)| row.clone())
            .collect();
        json(StatusCode::OK, &RowsBody { rows: found })
    }

    async fn commit(&self, request: &mut Request) -> Response<BoxBody> {
        let transaction: Transaction = match read_json(request).await {
            Ok(transaction) => transaction,
            Err(answer) => return answer,
        };
        self.writes.set(self.writes.get() + 1);
        let failed = self.failed_conditions(&transaction.conditions);
        if !failed.is_empty() {
            let rows = self.rows.borrow();
            let found = failed
                .iter()
                .filter_map(|key| rows.get(key).cloned())
                .collect();
            return json(StatusCode::CONFLICT, &RowsBody { rows: found });
        }
        self.apply_transaction(transaction);
        if self.faults.take_lost_answer() {
            return lost_answer();
        }
        json(StatusCode::OK, &serde_json::json!({}))
    }

    fn failed_conditions(&self, conditions: &[Condition]) -> Vec<CompactString> {
        let rows = self.rows.borrow();
        conditions
            .iter()
            .filter(|condition| {
                rows.get(&condition.key).map_or(0, |row| row.version) != condition.version
            })
            .map(|condition| condition.key.clone())
            .collect()
    }

    fn apply_transaction(&self, transaction: Transaction) {
        let mut rows = self.rows.borrow_mut();
        for put in transaction.puts {
            let version = rows.get(&put.key).map_or(0, |row| row.version) + 1;
            rows.insert(
                put.key.clone(),
                Row {
                    key: put.key,
                    version,
                    value: put.value,
                },
            );
        }
        for key in transaction.deletes {
            rows.remove(&key);
        }
    }

    fn counts(&self) -> Counts {
        Counts {
            reads: self.reads.get(),
            writes: self.writes.get(),
            rows: self.rows.borrow().len(),
        }
    }
}
