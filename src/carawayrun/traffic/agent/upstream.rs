//! HTTP client of the upstream.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Payload, StatusCode};
use awc::error::SendRequestError;
use awc::http::Method;
use awc::{Client, ClientRequest, ClientResponse};
use compact_str::CompactString;
use serde::Deserialize;

use crate::control::{EngineOrder, OrderAction, OrderResult};
use crate::http::{connector, may_have_been_sent};
use crate::peer::message::{Priority, Run};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of short calls such as orders and cancels.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Most connections to the upstream.
const MAX_CONNECTIONS: usize = 1024;

/// Idle time after which a connection is not reused. It is shorter than the
/// usual limits of servers, since a call on a connection that the server has
/// just closed is lost.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// An answer whose body has not been read yet.
pub(crate) type Answer = ClientResponse<actix_http::encoding::Decoder<Payload>>;

/// Error of a call that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub(crate) enum CallError {
    /// The request was not sent.
    #[snafu(display("the upstream was not reached: {message}"))]
    NotSent { message: String },
    /// The request may have been sent.
    #[snafu(display("the upstream did not answer: {message}"))]
    Unanswered { message: String },
}

/// Load report of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub(crate) struct EngineLoad {
    pub(crate) versions: Vec<String>,
}

#[derive(Deserialize)]
struct FenceBody {
    fence: u64,
}

/// Client of one upstream; not shared between threads.
#[derive(Clone)]
pub(crate) struct UpstreamClient {
    client: Client,
    base: CompactString,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `addr`; it connects on the first
    /// call.
    pub(crate) fn new(addr: SocketAddr) -> Self {
        let connector = connector()
            .timeout(CONNECT_TIMEOUT)
            .limit(MAX_CONNECTIONS)
            .conn_keep_alive(KEEP_ALIVE);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            client,
            base: CompactString::from(format!("http://{addr}")),
        }
    }

    /// Sends a run without a time limit; the caller enforces the deadline.
    pub(crate) async fn send_run(&self, run: &Run, id: &str) -> Result<Answer, CallError> {
        let method = Method::from_bytes(run.method.as_bytes()).unwrap_or(Method::POST);
        let mut request = self
            .request(method, &run.path)
            .insert_header(("x-request-id", id))
            .insert_header(("x-priority", priority_header(run.priority())));
        if !run.content_type.is_empty() {
            request = request.insert_header(("content-type", run.content_type.as_str()));
        }
        if run.prefix != 0 {
            request = request.insert_header(("x-prefix", run.prefix.to_string()));
        }
        if !run.idempotency_key.is_empty() {
            request = request.insert_header(("idempotency-key", run.idempotency_key.as_str()));
        }
        for header in &run.headers {
            request = request.append_header((header.name.as_str(), header.value.as_str()));
        }
        let sent = request.send_body(run.body.clone()).await;
        sent.map_err(|error| classify_send_error(&error))
    }

    /// Resumes an interrupted stream behind event `after`, or from its start.
    pub(crate) async fn resume_stream(
        &self,
        id: &str,
        after: Option<u64>,
    ) -> Result<Answer, CallError> {
        let path = match after {
            Some(after) => format!("/v1/streams/{id}?after={after}"),
            None => format!("/v1/streams/{id}"),
        };
        let sent = self.request(Method::GET, &path).send().await;
        sent.map_err(|error| classify_send_error(&error))
    }

    /// Cancels a request. If the engine doesn't answer the cancel, the request
    /// runs to its end.
    pub(crate) async fn cancel(&self, id: &str) {
        let path = format!("/v1/streams/{id}");
        let request = self.request(Method::DELETE, &path).timeout(CALL_TIMEOUT);
        if let Err(error) = request.send().await {
            tracing::debug!(name: "engine.cancel_failed", id, %error);
        }
    }

    /// Fetches the load of the engine; `None` if it doesn't answer.
    pub(crate) async fn fetch_load(&self) -> Option<EngineLoad> {
        let request = self.request(Method::GET, "/v1/load").timeout(CALL_TIMEOUT);
        let mut answer = request.send().await.ok()?;
        answer.json().await.ok()
    }

    /// Sends an order to load or unload a version.
    pub(crate) async fn send_order(&self, order: &EngineOrder) -> OrderResult {
        let action = match order.action {
            OrderAction::Load => "load",
            OrderAction::Unload => "unload",
        };
        let body = serde_json::json!({
            "fence": order.fence,
            "action": action,
            "version": order.version,
        });
        let request = self
            .request(Method::POST, "/v1/orders")
            .timeout(CALL_TIMEOUT);
        let Ok(mut answer) = request.send_json(&body).await else {
            return OrderResult::Failed;
        };
        match answer.status() {
            status if status.is_success() => OrderResult::Accepted,
            StatusCode::CONFLICT => match answer.json::<FenceBody>().await {
                Ok(seen) => OrderResult::Fenced(seen.fence),
                Err(_) => OrderResult::Failed,
            },
            _ => OrderResult::Failed,
        }
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.client
            .request(method, format!("{}{path}", self.base))
            .no_decompress()
    }
}

impl std::fmt::Debug for UpstreamClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

fn classify_send_error(error: &SendRequestError) -> CallError {
    let message = error.to_string();
    if may_have_been_sent(error) {
        CallError::Unanswered { message }
    } else {
        CallError::NotSent { message }
    }
}

fn priority_header(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "0",
        Priority::Normal | Priority::Unspecified => "1",
        Priority::Batch => "2",
    }
}
