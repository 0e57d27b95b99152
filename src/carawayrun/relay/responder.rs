//! Writer of answers to a client.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::Encoder;

use super::body::Body;
use super::drain::Phases;
use super::liveness::PeerWatch;
use super::traffic::MemoryHold;

/// Time limit for a client to receive an answer of the relay itself. That of an upstream's
/// answer is its request's deadline.
const OWN_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes of a whole body that are encoded before they are written.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Why an answer could not be delivered.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum WriteError {
    #[snafu(display("the client's connection failed: {source}"))]
    Io { source: io::Error },
    #[snafu(display("the client read too slowly while memory was short"))]
    Displaced,
    #[snafu(display("the client did not receive the answer in time"))]
    TooSlow,
}

/// Whether a connection is closed after an answer. It is decided when the answer's head is
/// written: until then the client may send a request that must be answered, too.
#[derive(Debug, Clone, Copy)]
pub(super) enum Closing<'a> {
    Decided(bool),
    /// In a drain, unless the client has sent more.
    Draining {
        phases: &'a Phases,
        has_next: &'a Cell<bool>,
    },
}

impl Closing<'_> {
    fn is_due(&self) -> bool {
        match self {
            Self::Decided(is_due) => *is_due,
            Self::Draining { phases, has_next } => {
                phases.get().drain().is_some() && !has_next.get()
            }
        }
    }
}

/// Writes one answer to a client's connection.
pub(super) struct Responder<'a> {
    writer: &'a mut OwnedWriteHalf,
    codec: &'a mut Codec,
    watch: Option<&'a PeerWatch>,
    closing: Closing<'a>,
    is_last: bool,
    has_started: bool,
    /// Encoded bytes that the connection has not taken yet.
    unwritten: BytesMut,
}

impl<'a> Responder<'a> {
    /// Creates a writer.
    pub(super) fn new(
        writer: &'a mut OwnedWriteHalf,
        codec: &'a mut Codec,
        closing: Closing<'a>,
    ) -> Self {
        Self {
            writer,
            codec,
            watch: None,
            closing,
            is_last: false,
            has_started: false,
            unwritten: BytesMut::new(),
        }
    }

    /// Tells `watch` of each write.
    pub(super) fn watched(mut self, watch: &'a PeerWatch) -> Self {
        self.watch = Some(watch);
        self
    }

    /// Returns true if the answer's head said that the connection is closed after it.
    pub(super) fn is_last(&self) -> bool {
        self.is_last
    }

    /// Returns true once the client may have received a part of the answer.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns true while the connection has not taken all that is to be written.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Memory of what is to be written, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.unwritten.capacity()
    }

    /// Writes an answer with a complete body. With `hold`, the memory of the body, it gives
    /// way while the client takes nothing.
    pub(super) async fn write_whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Body,
        hold: Option<&MemoryHold>,
    ) -> Result<(), WriteError> {
        let size = BodySize::Sized(body.len() as u64);
        self.encode_head(status, headers, size)?;
        for block in body.blocks() {
            if self.unwritten.len() + block.len() > MAX_WRITE_BYTES {
                self.flush(hold).await?;
            }
            self.encode(Message::Chunk(Some(block.clone())))?;
        }
        self.encode(Message::Chunk(None))?;
        self.flush(hold).await
    }

    /// As [`Self::write_whole`], for an answer of the relay itself.
    pub(super) async fn write_own(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Body,
    ) -> Result<(), WriteError> {
        let writing = self.write_whole(status, headers, body, None);
        let written = tokio::time::timeout(OWN_ANSWER_TIMEOUT, writing).await;
        written.unwrap_or_else(|_| TooSlowSnafu.fail())
    }

    /// Adds the head and the first bytes of a body that goes on to what is to be written.
    pub(super) fn begin(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: Option<u64>,
        first: Bytes,
    ) -> Result<(), WriteError> {
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        self.encode_head(status, headers, size)?;
        self.add(first)
    }

    /// Adds a part of the body to what is to be written.
    pub(super) fn add(&mut self, bytes: Bytes) -> Result<(), WriteError> {
        if bytes.is_empty() {
            // An empty chunk would end the body.
            return Ok(());
        }
        self.encode(Message::Chunk(Some(bytes)))
    }

    /// Adds the end of the body to what is to be written.
    pub(super) fn end(&mut self) -> Result<(), WriteError> {
        self.encode(Message::Chunk(None))
    }

    /// Writes as much as the connection takes at once, after it takes anything.
    pub(super) async fn write_some(&mut self) -> Result<(), WriteError> {
        let count = self.writer.write(&self.unwritten).await.context(IoSnafu)?;
        if count == 0 {
            let source = io::ErrorKind::WriteZero.into();
            return Err(WriteError::Io { source });
        }
        self.unwritten.advance(count);
        if let Some(watch) = self.watch {
            watch.record_write();
        }
        if self.unwritten.is_empty() && self.unwritten.capacity() > MAX_WRITE_BYTES {
            self.unwritten = BytesMut::new();
        }
        Ok(())
    }

    /// Writes all that is to be written; see [`Self::write_whole`].
    pub(super) async fn flush(&mut self, hold: Option<&MemoryHold>) -> Result<(), WriteError> {
        while self.has_unwritten() {
            let Some(hold) = hold else {
                self.write_some().await?;
                continue;
            };
            hold.record_delivery();
            tokio::select! {
                biased;
                written = self.write_some() => written?,
                () = hold.evicted() => return DisplacedSnafu.fail(),
            }
        }
        Ok(())
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> Result<(), WriteError> {
        let mut answer = Response::with_body(status, ());
        *answer.headers_mut() = headers;
        self.is_last = self.closing.is_due();
        if self.is_last {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.encode(Message::Item((answer, size)))
    }

    fn encode(&mut self, message: Message<(Response<()>, BodySize)>) -> Result<(), WriteError> {
        self.has_started = true;
        let encoded = self.codec.encode(message, &mut self.unwritten);
        encoded.context(IoSnafu)
    }
}
