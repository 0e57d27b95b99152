//! Writer of answers to a client.

use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::Encoder;

use super::body::Body;

/// Time limit for a client to receive what is written; a client that reads
/// nothing would occupy its upstream's slot.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes that are encoded before they are written.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Writes one answer to a client's connection.
pub(super) struct Responder<'a> {
    writer: &'a mut OwnedWriteHalf,
    codec: &'a mut Codec,
    is_last: bool,
    has_started: bool,
}

impl<'a> Responder<'a> {
    /// Creates a writer; with `is_last` the connection is closed after the
    /// answer.
    pub(super) fn new(writer: &'a mut OwnedWriteHalf, codec: &'a mut Codec, is_last: bool) -> Self {
        Self {
            writer,
            codec,
            is_last,
            has_started: false,
        }
    }

    /// Returns true once the client may have received a part of the answer.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Writes an answer with a complete body.
    pub(super) async fn write_whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Body,
    ) -> io::Result<()> {
        let mut out = BytesMut::new();
        self.encode_head(
            status,
            headers,
            BodySize::Sized(body.len() as u64),
            &mut out,
        )?;
        let write_all = async {
            for block in body.blocks() {
                if out.len() + block.len() > MAX_WRITE_BYTES {
                    self.write(&out).await?;
                    out.clear();
                }
                let block = Message::Chunk(Some(block.clone()));
                self.codec.encode(block, &mut out)?;
            }
            self.codec.encode(Message::Chunk(None), &mut out)?;
            self.write(&out).await
        };
        tokio::time::timeout(WRITE_TIMEOUT, write_all)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes the head and the first bytes of a body that goes on.
    pub(super) async fn write_first(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: Option<u64>,
        first: &Bytes,
    ) -> io::Result<()> {
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        let mut out = BytesMut::new();
        self.encode_head(status, headers, size, &mut out)?;
        if !first.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(first.clone())), &mut out)?;
        }
        self.write(&out).await
    }

    /// Writes a chunk of the body.
    pub(super) async fn write_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        let mut out = BytesMut::new();
        self.codec.encode(Message::Chunk(Some(bytes)), &mut out)?;
        self.write(&out).await
    }

    /// Writes the last bytes of the body, if any, and its end.
    pub(super) async fn write_last(&mut self, rest: Bytes) -> io::Result<()> {
        let mut out = BytesMut::new();
        if !rest.is_empty() {
            self.codec.encode(Message::Chunk(Some(rest)), &mut out)?;
        }
        self.codec.encode(Message::Chunk(None), &mut out)?;
        self.write(&out).await
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
        out: &mut BytesMut,
    ) -> io::Result<()> {
        let mut answer = Response::with_body(status, ());
        *answer.headers_mut() = headers;
        if self.is_last {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((answer, size)), out)
    }

    async fn write(&mut self, out: &[u8]) -> io::Result<()> {
        self.has_started = true;
        tokio::time::timeout(WRITE_TIMEOUT, self.writer.write_all(out))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}
