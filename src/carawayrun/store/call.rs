//! HTTP calls to a service of the platform.

use std::cell::Cell;
use std::fmt::Write;
use std::pin::pin;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::header::{self, HeaderMap};
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::StreamExt;
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

use crate::http::{connector, may_have_been_sent};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which a call is given up.
const SILENCE: Duration = Duration::from_secs(5);

/// Time for which an answer may arrive at any pace.
const PACE_GRACE: Duration = Duration::from_secs(5);

/// Pace below which an answer is given up after that, in bytes per second: a byte now and
/// then would keep its call for ever.
const MIN_PACE: f64 = 16.0 * 1024.0;

/// Longest answer that doesn't delay others on the same link, in bytes.
const MAX_SMALL_BYTES: usize = 64 * 1024;

/// Longest time for which a large answer excuses the silence of others.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of connections to one service from one thread.
const MAX_CONNECTIONS: usize = 16;

/// Usual idle time after which a connection is not reused. Shorter than servers
/// allow, since a call on a connection that the server just closed is lost.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Error of a call without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CallError {
    /// The service was not reached, or answered that it did not apply the call.
    #[snafu(display("not applied: {message}"))]
    Unavailable {
        /// Error of the connection, or status and start of the answer's body.
        message: CompactString,
    },
    /// No complete answer arrived; the call may have taken effect.
    #[snafu(display("answer lost: {message}"))]
    Lost {
        /// Error of the connection, or status and start of the answer's body.
        message: CompactString,
    },
    /// The service answered with an unexpected status, for instance because the
    /// call is malformed, or with a body that can't be parsed. The table client
    /// reports such a body as lost instead, since a commit may have taken
    /// effect.
    #[snafu(display("not understood: {message}"))]
    Invalid {
        /// Status and start of the answer's body, or error of the parser.
        message: CompactString,
    },
    /// The answer is longer than the caller reads.
    #[snafu(display("the answer is longer than {limit} bytes"))]
    TooLong {
        /// Longest answer that is read, in bytes.
        limit: usize,
    },
}

/// Limits of an answer. It may take any time as long as it arrives: its length and the pace
/// of the link are not the caller's to decide.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerLimits {
    /// Longest time from the request to the head of the answer.
    pub(crate) head: Duration,
    /// Longest time from each part of the answer to the next.
    pub(crate) silence: Duration,
    /// Longest body, in bytes.
    pub(crate) bytes: usize,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// `ETag` of the body; empty if the service gives none.
    pub(crate) etag: CompactString,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How an answer arrives.
#[derive(Debug, Default)]
pub(crate) struct AnswerProgress {
    bytes: Cell<usize>,
    /// Length of the body that the head announced, if any.
    expected: Cell<Option<usize>>,
    /// Time from the request to the head.
    head_after: Cell<Duration>,
    /// Longest silence after the head.
    silence: Cell<Duration>,
}

impl AnswerProgress {
    /// Bytes of the body that arrived.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Time from the request to the head.
    pub(crate) fn head_after(&self) -> Duration {
        self.head_after.get()
    }

    /// Longest silence after the head.
    pub(crate) fn silence(&self) -> Duration {
        self.silence.get()
    }

    // Error of a call that is given up for `reason`.
    fn give_up(&self, reason: &str) -> CallError {
        let bytes = self.bytes.get();
        let message = match self.expected.get() {
            Some(expected) => format_compact!("{reason}, {bytes} of {expected} bytes arrived"),
            None => format_compact!("{reason}, {bytes} bytes arrived"),
        };
        CallError::Lost { message }
    }
}

/// Use of a link by large answers, which delay all others that come over it.
#[derive(Debug, Default)]
pub(crate) struct LinkUse {
    used_at: Cell<Option<Instant>>,
}

impl LinkUse {
    /// Returns true if a large answer arrived after `begun`.
    pub(crate) fn is_used_since(&self, begun: Instant) -> bool {
        self.used_at.get() > Some(begun)
    }

    /// Records that a part of a large answer has just arrived.
    pub(crate) fn record_use(&self) {
        self.used_at.set(Some(Instant::now()));
    }

    /// Waits for `next`; `None` if it doesn't come within `limit` of `begun` and of the last
    /// part of a large answer.
    pub(crate) async fn wait<T>(
        &self,
        begun: Instant,
        limit: Duration,
        next: impl Future<Output = T>,
    ) -> Option<T> {
        let mut next = pin!(next);
        loop {
            let since = self.used_at.get().unwrap_or(begun).max(begun);
            let until = (since + limit).min(begun + limit + MAX_DELAY);
            if let Ok(done) = timeout_at(until, &mut next).await {
                return Some(done);
            }
            if self.used_at.get() <= Some(since) || until >= begun + limit + MAX_DELAY {
                return None;
            }
        }
    }
}

/// Creates a client that does not reuse connections after an idle time of `keep_alive`.
pub(crate) fn new_client(keep_alive: Duration) -> Client {
    let connector = connector()
        .timeout(CONNECT_TIMEOUT)
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(keep_alive);
    Client::builder()
        .connector(connector)
        .timeout(SILENCE)
        .disable_redirects()
        .finish()
}

/// Sends one request and reads its answer; fails if the body is longer than
/// `limit` bytes.
pub(crate) async fn send(
    client: &Client,
    method: Method,
    url: &str,
    body: Bytes,
    limit: usize,
) -> Result<Answer, CallError> {
    send_request(client.request(method, url), body, limit).await
}

/// Sends `request` with `body` and reads its answer; fails if the body of the
/// answer is longer than `limit` bytes.
pub(crate) async fn send_request(
    request: ClientRequest,
    body: Bytes,
    limit: usize,
) -> Result<Answer, CallError> {
    let limits = AnswerLimits {
        head: SILENCE,
        silence: SILENCE,
        bytes: limit,
    };
    let progress = AnswerProgress::default();
    let link = LinkUse::default();
    let answer = exchange(request, body, limits, &link, &progress).await;
    answer.and_then(check_status)
}

/// As [`send_request`], but returns an answer of any status, and records in `progress` how
/// it arrives over `link`.
pub(crate) async fn exchange(
    request: ClientRequest,
    body: Bytes,
    limits: AnswerLimits,
    link: &LinkUse,
    progress: &AnswerProgress,
) -> Result<Answer, CallError> {
    let limit = limits.bytes;
    let begun = Instant::now();
    let sending = request
        .timeout(limits.head + MAX_DELAY)
        .content_type("application/json")
        .send_body(body);
    let mut response = link
        .wait(begun, limits.head, sending)
        .await
        .ok_or_else(|| progress.give_up("no answer in time"))?
        .map_err(|error| classify_send_error(&error))?;
    progress.head_after.set(begun.elapsed());
    let status = response.status();
    let headers = response.headers().clone();
    let text_of = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let etag = CompactString::from(text_of(header::ETAG).unwrap_or_default());
    let expected = text_of(header::CONTENT_LENGTH).and_then(|length| length.parse().ok());
    progress.expected.set(expected);
    let expected = expected.unwrap_or_default();
    snafu::ensure!(expected <= limit, TooLongSnafu { limit });
    let mut body = BytesMut::with_capacity(expected);
    let begun = Instant::now();
    loop {
        let waited = Instant::now();
        let part = link
            .wait(waited, limits.silence, response.next())
            .await
            .ok_or_else(|| progress.give_up("the rest of the answer stays away"))?;
        let Some(part) = part else {
            break;
        };
        let part = part.map_err(|error| progress.give_up(&error.to_string()))?;
        progress
            .silence
            .update(|silence| silence.max(waited.elapsed()));
        progress.bytes.update(|bytes| bytes + part.len());
        snafu::ensure!(progress.bytes() <= limit, TooLongSnafu { limit });
        if progress.bytes() > MAX_SMALL_BYTES {
            link.record_use();
        }
        body.extend_from_slice(&part);
        let slow = begun.elapsed().saturating_sub(PACE_GRACE);
        if (progress.bytes() as f64) < MIN_PACE * slow.as_secs_f64() {
            return Err(progress.give_up("the answer is too slow"));
        }
    }
    Ok(Answer {
        status,
        etag,
        headers,
        body: body.freeze(),
    })
}

/// Returns an error for an answer that says that the call was not applied, or
/// leaves that open.
pub(crate) fn check_status(answer: Answer) -> Result<Answer, CallError> {
    let status = answer.status;
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        return Err(CallError::Unavailable {
            message: describe_answer(status, &answer.body),
        });
    }
    if status.is_server_error() {
        return Err(answer_lost(&describe_answer(status, &answer.body)));
    }
    Ok(answer)
}

pub(crate) fn invalid_status(status: StatusCode, body: &[u8]) -> CallError {
    CallError::Invalid {
        message: describe_answer(status, body),
    }
}

pub(crate) fn invalid_answer(message: &str) -> CallError {
    CallError::Invalid {
        message: message.into(),
    }
}

pub(crate) fn invalid_json(error: &serde_json::Error) -> CallError {
    CallError::Invalid {
        message: error.to_compact_string(),
    }
}

/// Classifies a send error: [`CallError::Lost`] if the request may have been
/// sent, else [`CallError::Unavailable`], since it had no effect.
fn classify_send_error(error: &SendRequestError) -> CallError {
    if may_have_been_sent(error) {
        return answer_lost(&error.to_string());
    }
    CallError::Unavailable {
        message: error.to_compact_string(),
    }
}

pub(crate) fn answer_lost(message: &str) -> CallError {
    CallError::Lost {
        message: message.into(),
    }
}

fn describe_answer(status: StatusCode, body: &[u8]) -> CompactString {
    const MAX_QUOTED_BYTES: usize = 200;
    let start = &body[..body.len().min(MAX_QUOTED_BYTES)];
    CompactString::from(format!("{status}: {}", String::from_utf8_lossy(start)))
}

/// Encodes every byte except letters, digits and `-._~/` as `%XX`.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            out.push(char::from(byte));
        } else {
            write!(out, "%{byte:02X}").expect("writing to a string does not fail");
        }
    }
    out
}
