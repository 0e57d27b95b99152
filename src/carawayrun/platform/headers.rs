//! Parses and sets the platform's headers of requests and answers.

use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead, StatusCode};
use compact_str::CompactString;

use super::time::from_seconds;
use crate::relay::message::{Answer, AnswerId, ClientRequest, Execution, Prefix};

// Names on the wire; `HeaderName` requires lower case.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-carawayrun-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-carawayrun-deadline-ms");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-carawayrun-expect-instance");
const TENANT: HeaderName = HeaderName::from_static("x-carawayrun-tenant");
const MODEL: HeaderName = HeaderName::from_static("x-carawayrun-model");
const TOKENS: HeaderName = HeaderName::from_static("x-carawayrun-token-count");
const PREFIX: HeaderName = HeaderName::from_static("x-carawayrun-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-carawayrun-length-hint");
const PRIORITY: HeaderName = HeaderName::from_static("x-carawayrun-request-priority");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-carawayrun-not-executed");
const CONFIDENCE: HeaderName = HeaderName::from_static("x-carawayrun-confidence");
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const INSTANCE: HeaderName = HeaderName::from_static("x-carawayrun-instance-id");
const SEAL: HeaderName = HeaderName::from_static("x-carawayrun-response-seal");
const SESSION: HeaderName = HeaderName::from_static("session");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that only the gateway may set on requests to upstreams; clients' are
/// dropped.
const GATEWAY_ONLY: [HeaderName; 11] = [
    DEADLINE,
    EXPECT_INSTANCE,
    TENANT,
    PRIORITY,
    HeaderName::from_static("x-carawayrun-expect-version"),
    HeaderName::from_static("x-carawayrun-hold"),
    HeaderName::from_static("x-carawayrun-pin-ms"),
    HeaderName::from_static("x-carawayrun-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    header::AUTHORIZATION,
];

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
    KEEP_ALIVE,
];

/// Scheme in front of the API key in `Authorization`.
const KEY_SCHEME: &str = "Token ";

/// A client's request, parsed from its head.
#[derive(Debug)]
pub struct InboundRequest {
    /// Fields that the data path uses.
    pub request: ClientRequest,
    /// Headers to forward.
    pub headers: HeaderMap,
}

/// Values of the headers that the gateway sets on a request to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct OutboundHeaders<'a> {
    /// Name of the upstream's registration.
    pub upstream: &'a str,
    /// Name of the caller's team.
    pub team: Option<&'a str>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Model to run.
    pub model: Option<&'a str>,
    /// Urgency at an engine, 0 to 9; 0 is served first.
    pub urgency: Option<u8>,
    /// Event after which a stream is resumed.
    pub resume_after: Option<&'a str>,
}

/// ID of a client's request; empty if it names none.
pub fn request_id(head: &RequestHead) -> CompactString {
    let id = head.headers.get(REQUEST_ID);
    let id = id.and_then(|value| value.to_str().ok());
    CompactString::from(id.unwrap_or_default())
}

/// Parses the head of a client's request.
pub fn parse_request(head: &RequestHead) -> InboundRequest {
    let headers = &head.headers;
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let (prompt, output) = parse_token_counts(text(&TOKENS).unwrap_or_default());
    let request = ClientRequest {
        id: request_id(head),
        api_key: text(&header::AUTHORIZATION)
            .and_then(|value| value.strip_prefix(KEY_SCHEME))
            .map(CompactString::from),
        deadline: text(&DEADLINE)
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis),
        model: text(&MODEL).map(CompactString::from),
        prompt_tokens: prompt,
        output_tokens: output,
        expected_tokens: text(&LENGTH_HINT).and_then(|value| value.parse().ok()),
        prefixes: parse_prefixes(text(&PREFIX).unwrap_or_default()),
        session: text(&SESSION).map(CompactString::from),
        resume_after: text(&LAST_EVENT).map(CompactString::from),
    };
    InboundRequest {
        request,
        headers: forwarded_headers(headers),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<CompactString> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| CompactString::from(name.trim().to_ascii_lowercase()))
        .collect();
    let is_kept = |name: &HeaderName| {
        !GATEWAY_ONLY.contains(name)
            && !HOP_BY_HOP.contains(name)
            && (is_end_to_end(name) || !named.iter().any(|other| other == name.as_str()))
    };
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_kept(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

// True for headers that are forwarded even if a client names them in `Connection`.
fn is_end_to_end(name: &HeaderName) -> bool {
    [
        REQUEST_ID,
        MODEL,
        TOKENS,
        PREFIX,
        SESSION,
        LAST_EVENT,
        header::HOST,
    ]
    .contains(name)
}

// Parses `IN,OUT`: the tokens of the prompt and the most tokens of the answer.
fn parse_token_counts(text: &str) -> (u32, u32) {
    let mut numbers = text.split(',').map(|part| part.trim().parse().unwrap_or(0));
    (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0))
}

// Parses `ID:TOKENS,...`: the parts of the prompt in order. The last one is the
// request's own.
fn parse_prefixes(text: &str) -> Vec<Prefix> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Prefix {
            id: CompactString::from(id),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Builds the head of a request to an upstream.
pub fn upstream_request(
    client: &RequestHead,
    headers: &HeaderMap,
    values: &OutboundHeaders<'_>,
) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = client.method.clone();
    head.uri = client.uri.clone();
    head.headers = headers.clone();
    let left = values.time_left.as_millis().max(1);
    set_header(&mut head.headers, DEADLINE, &left.to_string());
    set_header(&mut head.headers, EXPECT_INSTANCE, values.upstream);
    if let Some(team) = values.team {
        set_header(&mut head.headers, TENANT, team);
    }
    if let Some(model) = values.model {
        set_header(&mut head.headers, MODEL, model);
    }
    if let Some(urgency) = values.urgency {
        set_header(&mut head.headers, PRIORITY, &urgency.to_string());
    }
    if let Some(event) = values.resume_after {
        set_header(&mut head.headers, LAST_EVENT, event);
    }
    head
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => tracing::warn!(%name, %error, "header value is not valid; header left out"),
    }
}

/// Parses the head of an upstream's answer.
pub fn parse_answer(head: &ResponseHead) -> Answer {
    let headers = &head.headers;
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let has_not_run = headers.contains_key(NOT_EXECUTED);
    let execution = if has_not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        Execution::NotRun
    } else {
        Execution::MayHaveRun
    };
    Answer {
        id: parse_answer_id(headers),
        execution,
        is_sealed: headers.contains_key(SEAL),
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
        confidence: text(&CONFIDENCE).and_then(|value| value.parse().ok()),
        rate_limit: text(&SERVER_LIMIT).and_then(parse_rate_limit),
        rest: parse_rest(head),
        is_leaving: text(&SERVER_LEAVING).is_some_and(|value| value.trim() == "1"),
        instance: text(&INSTANCE).map(CompactString::from),
        idle_limit: text(&KEEP_ALIVE).and_then(parse_keep_alive),
        body_length: text(&header::CONTENT_LENGTH).and_then(|value| value.parse().ok()),
        media_type: parse_media_type(text(&header::CONTENT_TYPE).unwrap_or_default()),
    }
}

// Media type of `TYPE; PARAMETER=VALUE`.
fn parse_media_type(text: &str) -> CompactString {
    let name = text.split(';').next().unwrap_or_default();
    CompactString::from(name.trim().to_ascii_lowercase())
}

fn parse_answer_id(headers: &HeaderMap) -> AnswerId {
    let mut ids = headers.get_all(REQUEST_ID);
    let Some(first) = ids.next() else {
        return AnswerId::Missing;
    };
    match first.to_str() {
        Ok(id) if ids.all(|other| other == first) => AnswerId::One(id.into()),
        _ => AnswerId::Conflicting,
    }
}

// Parses a number of requests per second.
fn parse_rate_limit(text: &str) -> Option<f64> {
    let limit: Option<f64> = text.trim().parse().ok();
    let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
    if limit.is_none() {
        tracing::warn!(header = %SERVER_LIMIT, value = text, "limit is not a number of requests; ignored");
    }
    limit
}

// Time for which an upstream that turned a request away wants none: the longest where it
// gives several. Only a 503 asks for rest.
fn parse_rest(head: &ResponseHead) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = head.headers.get_all(header::RETRY_AFTER);
    let rests = values.filter_map(|value| parse_seconds(value.to_str().unwrap_or_default()));
    rests.max().filter(|rest| !rest.is_zero())
}

// Parses a number of seconds, zero or more.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: Option<f64> = text.trim().parse().ok();
    let seconds = seconds.filter(|seconds| *seconds >= 0.0);
    if seconds.is_none() {
        tracing::warn!(header = %header::RETRY_AFTER, value = text, "rest is not a number of seconds; ignored");
    }
    seconds.map(from_seconds)
}

// Parses the time of `timeout=SECONDS`.
fn parse_keep_alive(text: &str) -> Option<Duration> {
    let mut fields = text.split(',');
    let seconds = fields.find_map(|field| field.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Returns the headers of an upstream's answer that are forwarded.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Builds the headers of a refusal: the request's id and `Retry-After`.
pub fn refusal_headers(id: &str, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(2);
    if !id.is_empty() {
        set_header(&mut headers, REQUEST_ID, id);
    }
    if let Some(wait) = retry_after {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        set_header(&mut headers, header::RETRY_AFTER, &seconds);
    }
    headers
}
