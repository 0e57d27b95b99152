//! Parsing and validation of the headers of a request.

use actix_http::header::{self, HeaderMap};
use compact_str::{CompactString, format_compact};

use super::refusal::Refusal;
use crate::peer::message::Header;
use crate::traffic::Code;

/// Deadline of a request whose caller sets none, in milliseconds.
pub(super) const DEFAULT_DEADLINE_MS: u64 = 120_000;

/// Maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Maximum length of a session id or token, in bytes.
const MAX_SESSION_BYTES: usize = 1024;

/// Maximum length of a task's name, in bytes.
const MAX_TASK_BYTES: usize = 63;

/// Headers that the gateway consumes instead of forwarding them.
const CONSUMED_HEADERS: [&str; 18] = [
    "accept-encoding",
    "authorization",
    "connection",
    "content-length",
    "content-type",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-prefix",
    "x-priority",
    "x-request-id",
];

/// Prefix of the headers that are addressed to the gateway; they are not
/// forwarded.
const GATEWAY_HEADER_PREFIX: &str = "x-carawayrun-";

/// The headers of a request that the gateway uses or forwards.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RequestHeaders {
    /// The caller's key; empty if there is none.
    pub(super) bearer: CompactString,
    pub(super) task: Option<CompactString>,
    pub(super) session: Option<CompactString>,
    pub(super) deadline_ms: u64,
    pub(super) quality: Option<f64>,
    pub(super) idempotency_key: Option<CompactString>,
    pub(super) content_type: CompactString,
    /// Headers that are forwarded to a plain service.
    pub(super) forwarded: Vec<Header>,
}

impl RequestHeaders {
    /// Parses and validates the headers.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that names the invalid header.
    pub(super) fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        Ok(Self {
            bearer: bearer(headers)?,
            task: read_bounded(headers, "x-carawayrun-task", MAX_TASK_BYTES)?,
            session: read_bounded(headers, "x-carawayrun-session", MAX_SESSION_BYTES)?,
            deadline_ms: deadline_ms(headers)?,
            quality: quality(headers)?,
            idempotency_key: read_bounded(headers, "idempotency-key", MAX_IDEMPOTENCY_KEY_BYTES)?,
            content_type: read_single(headers, header::CONTENT_TYPE.as_str())?.unwrap_or_default(),
            forwarded: forwarded(headers)?,
        })
    }
}

// Collects all headers but the hop-by-hop ones, those that the gateway
// interprets itself, and the caller's key.
fn forwarded(headers: &HeaderMap) -> Result<Vec<Header>, Refusal> {
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        let name = name.as_str();
        if CONSUMED_HEADERS.contains(&name) || name.starts_with(GATEWAY_HEADER_PREFIX) {
            continue;
        }
        let Ok(value) = value.to_str() else {
            return Err(malformed(name, "give visible ASCII only"));
        };
        forwarded.push(Header {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }
    Ok(forwarded)
}

fn bearer(headers: &HeaderMap) -> Result<CompactString, Refusal> {
    let Some(value) = read_single(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(CompactString::default());
    };
    match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().into()),
        _ => Err(malformed("authorization", "give `Bearer KEY`")),
    }
}

fn deadline_ms(headers: &HeaderMap) -> Result<u64, Refusal> {
    const NAME: &str = "x-carawayrun-deadline-ms";
    let Some(value) = read_single(headers, NAME)? else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    match value.parse() {
        Ok(0) => Err(Refusal::new(
            Code::DeadlineExpired,
            "the deadline had passed when the request came",
        )),
        Ok(left_ms) if left_ms <= MAX_DEADLINE_MS => Ok(left_ms),
        _ => Err(malformed(NAME, "give milliseconds from 1 to 3600000")),
    }
}

fn quality(headers: &HeaderMap) -> Result<Option<f64>, Refusal> {
    const NAME: &str = "x-carawayrun-quality";
    let Some(value) = read_single(headers, NAME)? else {
        return Ok(None);
    };
    match value.parse() {
        Ok(target) if (0.0..=1.0).contains(&target) => Ok(Some(target)),
        _ => Err(malformed(NAME, "give a number from 0 to 1")),
    }
}

fn read_bounded(
    headers: &HeaderMap,
    name: &'static str,
    limit: usize,
) -> Result<Option<CompactString>, Refusal> {
    match read_single(headers, name)? {
        Some(value) if value.is_empty() || value.len() > limit => Err(malformed(
            name,
            &format_compact!("give from 1 to {limit} bytes"),
        )),
        value => Ok(value),
    }
}

fn read_single(headers: &HeaderMap, name: &str) -> Result<Option<CompactString>, Refusal> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let message = format_compact!("header `{name}` stands more than once; give it once");
        return Err(Refusal::new(Code::DuplicateHeader, message));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.into())),
        Err(_) => Err(malformed(name, "give visible ASCII only")),
    }
}

fn malformed(name: &str, fix: &str) -> Refusal {
    let message = format_compact!("header `{name}` can't be read; {fix}");
    Refusal::new(Code::MalformedHeader, message)
}
