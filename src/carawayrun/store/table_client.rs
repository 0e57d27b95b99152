//! Client of the table service.

use std::net::SocketAddr;

use awc::Client;
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

use super::call::{self, CallError};
use super::table::{ListCall, Row, TableAnswer, TableCall, TableError, Transaction};

/// Maximum length of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Client of the table service; belongs to one thread.
#[derive(Clone)]
pub struct TableClient {
    client: Client,
    base: CompactString,
}

#[derive(Serialize)]
struct ReadBody<'a> {
    keys: &'a [CompactString],
}

#[derive(Deserialize)]
struct RowsBody {
    rows: Vec<Row>,
}

impl TableClient {
    /// Creates a client of the service at `addr`; connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: call::new_client(call::KEEP_ALIVE),
            base: CompactString::from(format!("http://{addr}")),
        }
    }

    /// Makes one call and waits for its answer for a few seconds.
    ///
    /// # Errors
    ///
    /// Returns a [`TableError`], which distinguishes a call that had no effect
    /// from one that may have had.
    pub async fn call(&self, call: TableCall) -> Result<TableAnswer, TableError> {
        match call {
            TableCall::Read(keys) => self.read(&keys).await,
            TableCall::List(list) => self.list(&list).await,
            TableCall::Commit(transaction) => self.commit(&transaction).await,
        }
    }

    async fn read(&self, keys: &[CompactString]) -> Result<TableAnswer, TableError> {
        let url = format!("{}/v1/read", self.base);
        let body = to_json(&ReadBody { keys });
        self.fetch_rows(Method::POST, &url, body).await
    }

    async fn list(&self, list: &ListCall) -> Result<TableAnswer, TableError> {
        let url = format!(
            "{}/v1/rows?prefix={}&after={}&limit={}",
            self.base,
            call::percent_encode(&list.prefix),
            call::percent_encode(&list.after),
            list.limit
        );
        self.fetch_rows(Method::GET, &url, Bytes::new()).await
    }

    async fn fetch_rows(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<TableAnswer, TableError> {
        let answer = self.send(method, url, body).await?;
        match answer.status {
            StatusCode::OK => Ok(TableAnswer::Rows(parse_rows(&answer.body)?)),
            status => Err(call::invalid_status(status, &answer.body).into()),
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<TableAnswer, TableError> {
        let url = format!("{}/v1/commit", self.base);
        let answer = self.send(Method::POST, &url, to_json(transaction)).await?;
        match answer.status {
            StatusCode::OK => Ok(TableAnswer::Committed),
            StatusCode::CONFLICT => Err(TableError::Conflict {
                rows: parse_rows(&answer.body)?,
            }),
            status => Err(call::invalid_status(status, &answer.body).into()),
        }
    }

    async fn send(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<call::Answer, CallError> {
        call::send(&self.client, method, url, body, MAX_ANSWER_BYTES).await
    }
}

impl std::fmt::Debug for TableClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TableClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl From<CallError> for TableError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unavailable { message } => Self::Unavailable { message },
            CallError::Lost { message } => Self::Lost { message },
            CallError::Invalid { message } => Self::Invalid { message },
            // The answer of a commit that took effect may be too long as well.
            error @ CallError::TooLong { .. } => Self::Lost {
                message: error.to_compact_string(),
            },
        }
    }
}

fn to_json(value: &impl Serialize) -> Bytes {
    let text = serde_json::to_vec(value).expect("calls can be written as JSON");
    Bytes::from(text)
}

fn parse_rows(body: &[u8]) -> Result<Vec<Row>, TableError> {
    let rows_body: Result<RowsBody, _> = serde_json::from_slice(body);
    rows_body
        .map(|body| body.rows)
        .map_err(|error| TableError::Lost {
            message: error.to_compact_string(),
        })
}
