//! A client of the resource API.

mod error;
mod watch;

use std::cell::Cell;
use std::time::Duration;

use awc::http::{Method, StatusCode, header};
use bytes::Bytes;
use compact_str::CompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use self::error::ClientError;
use self::error::{lost_answer, malformed_error, no_server_error, refused_error, send_error};

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which a complete answer must arrive; long enough for a gateway
/// to retry a write whose answer the table service lost.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A client of the resource API of several gateways, for use on one thread.
pub struct Client {
    http: awc::Client,
    servers: Vec<CompactString>,
    key: CompactString,
    reason: CompactString,
    /// Index of the server to try first, modulo the number of servers.
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
    /// Creates a client of the gateways at `servers`, URLs such as
    /// `http://10.0.0.5:7001`.
    pub fn new(servers: Vec<CompactString>, key: CompactString) -> Self {
        let http = awc::Client::builder()
            .connector(crate::http::connector().timeout(CONNECT_TIMEOUT))
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

    /// Sets the reason that the audit trail records for changes.
    #[must_use]
    pub fn with_reason(mut self, reason: &str) -> Self {
        self.reason = reason.into();
        self
    }

    /// Reads from the first server that answers.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where a server refuses the call or none answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Reads from each server in turn until one answers with a success.
    ///
    /// # Errors
    ///
    /// The [`ClientError`] of the last server, where all servers fail.
    pub async fn get_from_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut last = None;
        for server in &self.servers {
            match self
                .call_server(server, &Method::GET, path, &Bytes::new())
                .await
            {
                Ok(value) => return Ok(value),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(no_server_error))
    }

    /// Sends a request with a body; tries the next server only where the
    /// request was not sent.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where the call fails.
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
        for offset in 0..self.servers.len() {
            let index = (self.current.get() + offset) % self.servers.len();
            let answer = self
                .call_server(&self.servers[index], &method, path, &body)
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

    async fn call_server<T: DeserializeOwned>(
        &self,
        server: &CompactString,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<T, ClientError> {
        let exchange = self.exchange(server, method, path, body);
        let answered = actix_rt::time::timeout(ANSWER_TIMEOUT, exchange).await;
        let (status, body) =
            answered.unwrap_or_else(|_| lost_answer(server, &"no answer in time"))?;
        if !status.is_success() {
            return Err(refused_error(status, &body));
        }
        serde_json::from_slice(&body).map_err(|error| malformed_error(server, &error))
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
            Err(error) => lost_answer(server, &error),
        }
    }

    fn request(&self, server: &str, method: &Method, path: &str) -> awc::ClientRequest {
        self.http
            .request(method.clone(), format!("{server}{path}"))
            .bearer_auth(&self.key)
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .insert_header(("x-carawayrun-reason", self.reason.as_str()))
    }
}
