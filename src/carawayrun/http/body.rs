//! Reading and writing bodies.

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderValue};
use actix_http::{Payload, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use futures_util::StreamExt;
use serde::Serialize;
use snafu::{ResultExt, Snafu};

/// A body that could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadBodyError {
    /// Longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Most bytes that are accepted.
        limit: usize,
    },
    /// The connection failed, or the framing was wrong.
    #[snafu(display("the body could not be read: {source}"))]
    Unreadable {
        /// What the connection said.
        source: PayloadError,
    },
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// [`ReadBodyError`] where it is longer or the connection fails.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, ReadBodyError> {
    let mut whole = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.context(UnreadableSnafu)?;
        if whole.len() + part.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// An answer with `value` as JSON.
///
/// # Panics
///
/// Where `value` can't be written as JSON, which only a map with keys other
/// than text could cause.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("types of the API can be written as JSON");
    typed(status, "application/json", Bytes::from(body))
}

/// An answer with a text that is JSON already.
pub fn json_text(status: StatusCode, body: &'static str) -> Response<BoxBody> {
    typed(
        status,
        "application/json",
        Bytes::from_static(body.as_bytes()),
    )
}

/// An answer with a plain text.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    typed(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(body.into()),
    )
}

/// An answer whose body comes in parts.
pub fn stream<S, E>(status: StatusCode, content_type: &'static str, parts: S) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, E>> + 'static,
    E: Into<Box<dyn std::error::Error>> + 'static,
{
    let mut answer = Response::with_body(status, BodyStream::new(parts).boxed());
    set_type(&mut answer, content_type);
    answer
}

fn typed(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<BoxBody> {
    let mut answer = Response::with_body(status, body.boxed());
    set_type(&mut answer, content_type);
    answer
}

fn set_type(answer: &mut Response<BoxBody>, content_type: &'static str) {
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
}
