//! A client of the resource API.

use std::cell::Cell;
use std::time::Duration;

use awc::Connector;
use awc::error::SendRequestError;
use awc::http::{Method, StatusCode, header};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use super::api::{ErrorBody, ErrorDetail, WatchLine};

/// Time until a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time until a whole answer must be there; writes settle lost answers of the
/// table service within it.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// Longest silence on a watch; heartbeats come more often.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A call that did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No server could be reached; nothing was done.
    #[snafu(display("no server could be reached: {message}; see --server"))]
    Unreachable {
        /// What happened at each.
        message: CompactString,
    },
    /// The answer was lost: a write may have taken effect.
    #[snafu(display("{server}: the answer was lost: {message}; a write may have taken effect"))]
    Lost {
        /// The server asked.
        server: CompactString,
        /// What happened.
        message: CompactString,
    },
    /// The server refused the call.
    #[snafu(display("{}", detail.message))]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// What it said.
        detail: Box<ErrorDetail>,
    },
    /// The answer can't be read.
    #[snafu(display("{server}: the answer can't be read: {message}"))]
    Malformed {
        /// The server asked.
        server: CompactString,
        /// What is wrong.
        message: CompactString,
    },
}

impl ClientError {
    /// True where the server said that there is no such thing.
    pub fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused { status, .. } if *status == StatusCode::NOT_FOUND)
    }

    /// True where what was sent is at fault.
    pub fn is_invalid(&self) -> bool {
        matches!(
            self,
            Self::Refused { status, .. }
                if matches!(*status, StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY)
        )
    }
}

/// A client of the resource API of several gateways; belongs to one thread.
pub struct Client {
    http: awc::Client,
    servers: Vec<CompactString>,
    key: CompactString,
    reason: CompactString,
    /// Index of the server that answered last.
    current: Cell<usize>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("servers", &self.servers)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// A client of gateways at `servers`, URLs such as `http://10.0.0.5:7001`.
    pub fn new(servers: Vec<CompactString>, key: CompactString) -> Self {
        let http = awc::Client::builder()
            .connector(Connector::new().timeout(CONNECT_TIMEOUT))
            .disable_timeout()
            .finish();
        Self {
            http,
            servers,
            key,
            reason: CompactString::default(),
            current: Cell::new(0),
        }
    }

    /// The same, with a reason for the audit trail.
    #[must_use]
    pub fn with_reason(mut self, reason: &str) -> Self {
        self.reason = reason.into();
        self
    }

    /// Reads from the first server that answers.
    ///
    /// # Errors
    ///
    /// [`ClientError`] as the last server asked failed.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Reads from each server in turn until one knows the answer.
    ///
    /// # Errors
    ///
    /// [`ClientError`] as the last server asked failed.
    pub async fn get_from_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut last = None;
        for server in &self.servers {
            match self
                .call_one(server, &Method::GET, path, &Bytes::new())
                .await
            {
                Ok(value) => return Ok(value),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(no_server))
    }

    /// Sends a body; goes to the next server only where nothing was sent.
    ///
    /// # Errors
    ///
    /// [`ClientError`] as the call failed.
    ///
    /// # Panics
    ///
    /// Where `body` can't be written as JSON.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).expect("bodies of the API can be written as JSON");
        self.call(method, path, Bytes::from(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let mut last = None;
        let mut unreachable = Vec::new();
        for turn in 0..self.servers.len() {
            let index = (self.current.get() + turn) % self.servers.len();
            let answer = self
                .call_one(&self.servers[index], &method, path, &body)
                .await;
            match answer {
                Err(ClientError::Unreachable { message }) => unreachable.push(message),
                Err(error @ ClientError::Lost { .. }) if method == Method::GET => {
                    last = Some(error);
                }
                other => {
                    self.current.set(index);
                    return other;
                }
            }
        }
        Err(last.unwrap_or_else(|| ClientError::Unreachable {
            message: unreachable.join("; ").into(),
        }))
    }

    async fn call_one<T: DeserializeOwned>(
        &self,
        server: &CompactString,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<T, ClientError> {
        let whole = self.exchange(server, method, path, body);
        let answered = actix_rt::time::timeout(ANSWER_TIMEOUT, whole).await;
        let (status, body) = answered.unwrap_or_else(|_| lost(server, &"no answer in time"))?;
        if !status.is_success() {
            return Err(refused(status, &body));
        }
        serde_json::from_slice(&body).map_err(|error| malformed(server, &error))
    }

    async fn exchange(
        &self,
        server: &CompactString,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let request = self.request(server, method, path);
        let answer = request.send_body(body.clone()).await;
        let mut answer = answer.map_err(|error| send_error(server, &error))?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        match body {
            Ok(body) => Ok((answer.status(), body)),
            Err(error) => lost(server, &error),
        }
    }

    fn request(&self, server: &str, method: &Method, path: &str) -> awc::ClientRequest {
        self.http
            .request(method.clone(), format!("{server}{path}"))
            .bearer_auth(&self.key)
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .insert_header(("x-carawayrun-reason", self.reason.as_str()))
    }

    /// Reads the lines of a watch after generation `from` until `take` says
    /// false; goes on at another server where a connection ends.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no server can be reached or one refuses.
    pub async fn watch(
        &self,
        mut from: u64,
        mut take: impl FnMut(WatchLine) -> bool,
    ) -> Result<(), ClientError> {
        let mut failures = 0;
        while failures < self.servers.len() {
            let index = self.current.get() % self.servers.len();
            let server = &self.servers[index];
            let before = from;
            match self.watch_one(server, &mut from, &mut take).await {
                Ok(true) => return Ok(()),
                Err(error @ ClientError::Refused { .. }) => return Err(error),
                Ok(false) | Err(_) => self.current.set(index + 1),
            }
            failures = if from > before { 0 } else { failures + 1 };
        }
        UnreachableSnafu {
            message: "the watch ended at each",
        }
        .fail()
    }

    // Returns true where `take` had enough.
    async fn watch_one(
        &self,
        server: &CompactString,
        from: &mut u64,
        take: &mut impl FnMut(WatchLine) -> bool,
    ) -> Result<bool, ClientError> {
        let path = format!("/apis/v1/watch?from={from}");
        let request = self.request(server, &Method::GET, &path).send();
        let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, request).await;
        let Ok(answer) = answer else {
            return lost(server, &"no answer in time");
        };
        let mut answer = answer.map_err(|error| send_error(server, &error))?;
        if !answer.status().is_success() {
            let body = answer.body().await.unwrap_or_default();
            return Err(refused(answer.status(), &body));
        }
        let mut rest = Vec::new();
        loop {
            let part = actix_rt::time::timeout(WATCH_TIMEOUT, answer.next()).await;
            let Ok(Some(Ok(part))) = part else {
                return Ok(false);
            };
            rest.extend_from_slice(&part);
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = rest.drain(..=end).collect();
                let line =
                    serde_json::from_slice(&line).map_err(|error| malformed(server, &error))?;
                if let WatchLine::Change { change } = &line {
                    *from = change.generation;
                }
                let gone = matches!(line, WatchLine::Gone { .. });
                if !take(line) || gone {
                    return Ok(true);
                }
            }
        }
    }
}

fn send_error(server: &CompactString, error: &SendRequestError) -> ClientError {
    let message = error.to_compact_string();
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => ClientError::Unreachable {
            message: format!("{server}: {message}").into(),
        },
        _ => ClientError::Lost {
            server: server.clone(),
            message,
        },
    }
}

fn refused(status: StatusCode, body: &[u8]) -> ClientError {
    let parsed: Result<ErrorBody, _> = serde_json::from_slice(body);
    let detail = parsed.map_or_else(
        |_| ErrorDetail {
            code: "malformed".into(),
            message: format!("status {status} without an error of this API; is it a gateway's operators' address?"),
            ..ErrorDetail::default()
        },
        |body| body.error,
    );
    ClientError::Refused {
        status,
        detail: Box::new(detail),
    }
}

fn malformed(server: &CompactString, error: &serde_json::Error) -> ClientError {
    ClientError::Malformed {
        server: server.clone(),
        message: error.to_compact_string(),
    }
}

fn lost<T>(server: &CompactString, message: &impl ToCompactString) -> Result<T, ClientError> {
    LostSnafu {
        server: server.clone(),
        message: message.to_compact_string(),
    }
    .fail()
}

fn no_server() -> ClientError {
    ClientError::Unreachable {
        message: "none is given".into(),
    }
}
