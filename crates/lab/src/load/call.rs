//! Sends a request and determines its outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::time::Instant;
use awc::ClientRequest;
use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::json;

use super::class::Class;
use super::verify::{ExpectedAnswer, check_echo};
use super::{MAX_CONNECTIONS, Options};
use crate::command::Failure;

/// Tokens in the answer of a [`Class::Tweak`] request.
const TWEAK_TOKENS: usize = 12;
/// Tokens in the answer of a [`Class::Plan`] request.
const PLAN_TOKENS: usize = 200;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Outcome {
    /// The answer is complete and belongs to the request.
    Answered {
        first: Duration,
        total: Duration,
        chunks: u64,
    },
    /// An error answer, with its stable code and whether the request ran.
    Refused { code: String, ran: String },
    /// The connection failed, or the stream ended without `[DONE]` or an error.
    Broken { message: String },
    /// The answer is incomplete or belongs to another request.
    Wrong { message: String },
}

/// Body of an answer, decompressed.
type Body = actix_http::encoding::Decoder<actix_http::Payload>;

/// Sends requests to the targets in rotation.
pub(super) struct LoadClient {
    client: awc::Client,
    targets: Vec<String>,
    direct: bool,
    key: String,
    model: String,
    service: String,
    tasks: BTreeMap<String, String>,
    stream_tokens: usize,
    deadline_ms: u64,
    seed: u64,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorObject,
}

#[derive(Deserialize)]
struct ErrorObject {
    code: String,
    #[serde(default)]
    ran: String,
}

// Reads an answer and measures its latency.
struct ResponseReader {
    start: Instant,
    first: Option<Duration>,
    body: Vec<u8>,
}

impl LoadClient {
    pub(super) fn new(options: &Options) -> Result<Self, Failure> {
        let mut tasks = BTreeMap::new();
        for pair in &options.task {
            let (class, task) = pair
                .split_once('=')
                .ok_or_else(|| format!("--task: `{pair}` is not CLASS=TASK"))?;
            tasks.insert(class.to_owned(), task.to_owned());
        }
        let connector = awc::Connector::new().limit(MAX_CONNECTIONS);
        Ok(Self {
            client: awc::Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
            targets: options
                .direct
                .iter()
                .chain(&options.target)
                .cloned()
                .collect(),
            direct: options.direct.is_some(),
            key: options.key.clone(),
            model: options.model.clone(),
            service: options.service.clone(),
            tasks,
            stream_tokens: options.stream_tokens,
            deadline_ms: options.deadline_ms,
            seed: options.seed,
        })
    }

    /// Sends a request and reads its answer to the end.
    pub(super) async fn call(&self, class: Class, number: u64) -> Outcome {
        match class {
            Class::Stream => self.send_chat(class, number, self.stream_tokens).await,
            Class::Tweak => self.send_chat(class, number, TWEAK_TOKENS).await,
            Class::Plan => self.send_chat(class, number, PLAN_TOKENS).await,
            Class::Status => self.send_plain(class, number, String::new()).await,
            Class::Switch => {
                let body = json!({"effect": format!("{}-{number}", self.seed)});
                self.send_plain(class, number, body.to_string()).await
            }
        }
    }

    async fn send_chat(&self, class: Class, number: u64, word_count: usize) -> Outcome {
        let body = json!({
            "model": self.model,
            "stream": class == Class::Stream,
            "max_tokens": word_count,
            "messages": [{"role": "user", "content": format!("request {number}")}],
        });
        let request = |base: &str| {
            let url = format!("{base}/v1/chat/completions");
            self.with_headers(self.client.post(url), class, number)
        };
        let start = Instant::now();
        let sent = self.send(number, request, &body.to_string()).await;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => return broken_outcome(&error),
        };
        let expected = ExpectedAnswer {
            version: self.header_or(&response, "x-carawayrun-version", &self.model),
            id: self.header_or(&response, "x-request-id", &self.direct_request_id(number)),
            word_count,
        };
        let status = response.status();
        let mut reader = ResponseReader::new(start);
        if let Err(message) = reader.read(&mut response).await {
            return Outcome::Broken { message };
        }
        if !status.is_success() {
            return refused_outcome(&reader.body, status.as_u16());
        }
        if class == Class::Stream {
            check_stream(&reader, &expected)
        } else {
            let check_result = expected.check(std::slice::from_ref(&reader.body));
            reader.outcome(check_result, 1)
        }
    }

    async fn send_plain(&self, class: Class, number: u64, body: String) -> Outcome {
        let start = Instant::now();
        let request = |base: &str| self.plain_request(class, number, base);
        let mut response = match self.send(number, request, &body).await {
            Ok(response) => response,
            Err(error) => return broken_outcome(&error),
        };
        let id = self.header_or(&response, "x-request-id", "");
        let status = response.status();
        let mut reader = ResponseReader::new(start);
        if let Err(message) = reader.read(&mut response).await {
            return Outcome::Broken { message };
        }
        if !status.is_success() {
            return refused_outcome(&reader.body, status.as_u16());
        }
        let check_result = check_echo(&reader.body, &id, &body);
        reader.outcome(check_result, 1)
    }

    fn plain_request(&self, class: Class, number: u64, base: &str) -> ClientRequest {
        let service = &self.service;
        if class != Class::Switch {
            let url = format!("{base}/services/{service}/status/{number}");
            return self.with_headers(self.client.get(url), class, number);
        }
        let url = format!("{base}/services/{service}/switch");
        let key = format!("switch-{}-{number}", self.seed);
        self.with_headers(self.client.post(url), class, number)
            .insert_header(("idempotency-key", key))
    }

    fn target_url(&self, number: u64) -> &str {
        &self.targets[number as usize % self.targets.len()]
    }

    // Tries the next target if one can't be reached, as a load balancer does.
    async fn send(
        &self,
        number: u64,
        request: impl Fn(&str) -> ClientRequest,
        body: &str,
    ) -> Result<awc::ClientResponse<Body>, awc::error::SendRequestError> {
        let mut attempts = 1;
        loop {
            let base = self.target_url(number + attempts - 1);
            let sent = request(base).send_body(body.to_owned()).await;
            match sent {
                Err(awc::error::SendRequestError::Connect(error))
                    if !matches!(error, awc::error::ConnectError::Disconnected)
                        && attempts < self.targets.len() as u64 =>
                {
                    attempts += 1;
                }
                sent => return sent,
            }
        }
    }

    fn direct_request_id(&self, number: u64) -> String {
        format!("load-{}-{number}", self.seed)
    }

    // Sets the request id for an engine, or the headers of a gateway request.
    fn with_headers(&self, request: ClientRequest, class: Class, number: u64) -> ClientRequest {
        if self.direct {
            return request.insert_header(("x-request-id", self.direct_request_id(number)));
        }
        let request = request
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("x-carawayrun-deadline-ms", self.deadline_ms.to_string()));
        match self.tasks.get(class.as_str()) {
            Some(task) => request.insert_header(("x-carawayrun-task", task.as_str())),
            None => request,
        }
    }

    // Returns the header; `fallback` if it is absent or the target is an engine.
    fn header_or<S>(
        &self,
        response: &awc::ClientResponse<S>,
        name: &str,
        fallback: &str,
    ) -> String {
        let value = response.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        if self.direct { None } else { text }
            .unwrap_or(fallback)
            .to_owned()
    }
}

impl ResponseReader {
    fn new(start: Instant) -> Self {
        Self {
            start,
            first: None,
            body: Vec::new(),
        }
    }

    async fn read<S>(&mut self, response: &mut awc::ClientResponse<S>) -> Result<(), String>
    where
        S: futures_core::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    {
        while let Some(part) = response.next().await {
            let part = part.map_err(|error| error.to_string())?;
            self.first.get_or_insert_with(|| self.start.elapsed());
            self.body.extend_from_slice(&part);
        }
        Ok(())
    }

    fn outcome(&self, check_result: Result<(), String>, chunks: u64) -> Outcome {
        match check_result {
            Ok(()) => Outcome::Answered {
                first: self.first.unwrap_or_default(),
                total: self.start.elapsed(),
                chunks,
            },
            Err(message) => Outcome::Wrong { message },
        }
    }
}

fn broken_outcome(error: &awc::error::SendRequestError) -> Outcome {
    Outcome::Broken {
        message: error.to_string(),
    }
}

fn refused_outcome(body: &[u8], status: u16) -> Outcome {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(ErrorBody { error }) => Outcome::Refused {
            code: error.code,
            ran: error.ran,
        },
        Err(_) => Outcome::Refused {
            code: format!("status_{status}"),
            ran: "unknown".into(),
        },
    }
}

// A stream must end with `[DONE]`, or with an error object instead.
fn check_stream(reader: &ResponseReader, expected: &ExpectedAnswer) -> Outcome {
    let mut payloads = parse_events(&reader.body);
    if payloads.last().is_some_and(|last| last == b"[DONE]") {
        payloads.pop();
        let chunks = payloads.len() as u64;
        return reader.outcome(expected.check(&payloads), chunks);
    }
    match payloads
        .last()
        .map(|last| serde_json::from_slice::<ErrorBody>(last))
    {
        Some(Ok(ErrorBody { error })) => Outcome::Refused {
            code: error.code,
            ran: error.ran,
        },
        // The client library reports a broken connection like a closed one, so
        // only the missing end shows that the answer is incomplete.
        _ => Outcome::Broken {
            message: format!(
                "the stream of {} ended without `[DONE]` or an error",
                expected.id
            ),
        },
    }
}

// Returns the `data` payloads of the complete server-sent events in `body`.
fn parse_events(body: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = BytesMut::from(body);
    let mut payloads = Vec::new();
    while let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") {
        let event = rest.split_to(end);
        rest.advance(2);
        payloads.extend(
            event
                .as_ref()
                .split(|byte: &u8| *byte == b'\n')
                .filter_map(|line| line.strip_prefix(b"data: "))
                .map(<[u8]>::to_vec),
        );
    }
    payloads
}
