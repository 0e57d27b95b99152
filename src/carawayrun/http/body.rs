//! Reads request bodies and builds responses.

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderValue};
use actix_http::{Payload, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use futures_util::StreamExt;
use serde::Serialize;
use snafu::{ResultExt, Snafu};

/// Error of reading a body.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The connection failed, or the framing was wrong.
    #[snafu(display("the body could not be read: {source}"))]
    Unreadable {
        /// Error of the connection.
        source: PayloadError,
    },
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`ReadBodyError`] if the body is longer or the connection fails.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, ReadBodyError> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.context(UnreadableSnafu)?;
        if body.len() + part.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Builds a response with `value` as JSON.
///
/// # Panics
///
/// Panics if `value` can't be serialized as JSON, as a map with keys that are
/// not text.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("types of the API can be written as JSON");
    response(status, "application/json", Bytes::from(body))
}

/// Builds a response with a text that is already JSON.
pub fn json_text(status: StatusCode, body: &'static str) -> Response<BoxBody> {
    response(
        status,
        "application/json",
        Bytes::from_static(body.as_bytes()),
    )
}

/// Builds a response with plain text.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    response(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(body.into()),
    )
}

/// Builds a response whose body is streamed in parts.
pub fn stream<S, E>(status: StatusCode, content_type: &'static str, parts: S) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, E>> + 'static,
    E: Into<Box<dyn std::error::Error>> + 'static,
{
    let mut answer = Response::with_body(status, BodyStream::new(parts).boxed());
    set_content_type(&mut answer, content_type);
    answer
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<BoxBody> {
    let mut answer = Response::with_body(status, body.boxed());
    set_content_type(&mut answer, content_type);
    answer
}

fn set_content_type(answer: &mut Response<BoxBody>, content_type: &'static str) {
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
}
