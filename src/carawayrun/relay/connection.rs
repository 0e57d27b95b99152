//! Connections to upstreams.
//!
//! `actix-http`'s codecs frame the messages. The connection itself is driven
//! here, since the data path needs facts that a pooled client hides: whether any
//! byte of a request was written, whether a body ended or was interrupted, and
//! whether bytes arrived that belong to no request.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

use super::body::Body;
use super::liveness::PeerWatch;
use super::progress::{FramingAllowance, MAX_HEAD_BYTES, MAX_INTERIM_BYTES, MessagePart, Turn};
use super::stalls::StallMonitor;

/// Idle limit of connections to peers that announce none: most servers keep an
/// idle connection for some seconds.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time before the peer's idle limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Longest idle limit; a connection that the peer closed silently would not be
/// detected before its next use.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Most bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// Longest body that is copied behind its head, to be written with it.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Time after the end of an answer without a length in which a peer that broke off resets
/// the connection.
const RESET_DELAY: Duration = Duration::from_millis(250);

/// Greatest status that HTTP has.
const MAX_STATUS: u16 = 599;

/// Error on a connection before the end of an answer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ConnectionError {
    #[snafu(display("connection failed: {source}"))]
    Io { source: io::Error },
    #[snafu(display("connection closed before the end of the answer"))]
    Closed,
    #[snafu(display("connection reset at the end of an answer without a length: {source}"))]
    Reset { source: io::Error },
    #[snafu(display("answer's head is malformed: {source}"))]
    Head { source: ParseError },
    #[snafu(display("answer's body is malformed: {source}"))]
    Body { source: PayloadError },
    #[snafu(display("answer has too many bytes without progress: {part}"))]
    NoProgress { part: MessagePart },
    #[snafu(display("no connection in time"))]
    ConnectTimeout,
}

enum Codec {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body without a length, delimited by the end of the connection.
    UntilClose,
    /// The peer has ended its side within such a body; a reset may follow until this time.
    Ending(Instant),
    /// The end of such a body.
    Closed,
    Done,
}

/// What was decoded of a framed body.
enum Decoded {
    Chunk(Bytes),
    End,
    /// More bytes are needed.
    Incomplete,
}

/// Connection to an upstream, for one request at a time.
pub(crate) struct UpstreamConnection {
    stream: TcpStream,
    peer: SocketAddr,
    watch: PeerWatch,
    stalls: Arc<StallMonitor>,
    config: ServiceConfig,
    codec: Codec,
    received: BytesMut,
    unsent: VecDeque<Bytes>,
    /// Bytes of interim heads before the answer.
    interim: usize,
    framing: FramingAllowance,
    turn: Turn,
    /// Requests that were started.
    requests: u64,
    has_written: bool,
    keep_alive: bool,
    /// True if answers to the request's method may have a body.
    expects_body: bool,
    idle_since: Instant,
    /// Time for which an idle connection may be used.
    idle_limit: Duration,
}

impl UpstreamConnection {
    /// Connects within `limit`.
    pub(crate) async fn connect(
        addr: SocketAddr,
        limit: Duration,
        config: &ServiceConfig,
        stalls: &Arc<StallMonitor>,
    ) -> Result<Self, ConnectionError> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(addr))
            .await
            .ok()
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .context(IoSnafu)?;
        let watch = PeerWatch::open(&stream).context(IoSnafu)?;
        Ok(Self {
            stream,
            peer: addr,
            watch,
            stalls: Arc::clone(stalls),
            config: config.clone(),
            codec: Codec::Done,
            received: BytesMut::new(),
            unsent: VecDeque::new(),
            interim: 0,
            framing: FramingAllowance::default(),
            turn: Turn::default(),
            requests: 0,
            has_written: false,
            keep_alive: true,
            expects_body: true,
            idle_since: Instant::now(),
            idle_limit: DEFAULT_IDLE_LIMIT,
        })
    }

    /// Starts a request; [`Self::read_head`] writes it.
    pub(crate) fn start_request(
        &mut self,
        head: RequestHead,
        body: &Body,
    ) -> Result<(), ConnectionError> {
        let mut codec = ClientCodec::new(self.config.clone());
        let has_no_body = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
        self.expects_body = head.method != Method::HEAD;
        let size = if has_no_body {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        self.unsent.clear();
        let message = Message::Item((RequestHeadType::from(head), size));
        let mut out = BytesMut::new();
        codec.encode(message, &mut out).context(IoSnafu)?;
        let is_copied = body.len() <= MAX_COPIED_BYTES;
        for block in body.blocks().iter().filter(|_| is_copied) {
            out.extend_from_slice(block);
        }
        self.unsent.push_back(out.freeze());
        if !is_copied {
            self.unsent.extend(body.blocks().iter().cloned());
        }
        self.codec = Codec::Head(codec);
        self.interim = 0;
        self.framing = FramingAllowance::default();
        self.requests += 1;
        self.has_written = false;
        Ok(())
    }

    /// Returns true if there was no request before the present one.
    pub(crate) fn is_first_request(&self) -> bool {
        self.requests <= 1
    }

    /// Returns true once a byte of the request was written, so that it may run.
    pub(crate) fn has_written(&self) -> bool {
        self.has_written
    }

    /// Returns true if the body of the answer ends with its connection, so that its end
    /// alone does not show that it is complete.
    pub(crate) fn is_unframed(&self) -> bool {
        matches!(
            self.codec,
            Codec::UntilClose | Codec::Ending(_) | Codec::Closed
        )
    }

    /// Sets the time for which the peer keeps an idle connection open.
    pub(crate) fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_LIMIT);
    }

    /// Time for which the idle connection may still be used; a request that
    /// crosses the peer's close of the connection is lost.
    pub(crate) fn idle_left(&self) -> Duration {
        self.idle_limit.saturating_sub(self.idle_since.elapsed())
    }

    /// Time since the last answer ended.
    pub(crate) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Writes the rest of the request and reads the head of its answer.
    pub(crate) async fn read_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        loop {
            self.turn.give_way().await;
            if let Some(head) = self.decode_head()? {
                self.begin_body(&head);
                return Ok(head);
            }
            if self.transfer().await.context(IoSnafu)? == 0 {
                return ClosedSnafu.fail();
            }
        }
    }

    // Decodes the head of the answer, after any interim heads.
    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ConnectionError> {
        let Codec::Head(codec) = &mut self.codec else {
            return Ok(None);
        };
        loop {
            let before = self.received.len();
            self.turn.record(before);
            let head = codec.decode(&mut self.received).context(HeadSnafu)?;
            let part = MessagePart::Head;
            let Some(head) = head else {
                snafu::ensure!(before <= MAX_HEAD_BYTES, NoProgressSnafu { part });
                return Ok(None);
            };
            let length = before - self.received.len();
            if head.status.as_u16() > MAX_STATUS {
                let source = ParseError::Status;
                return Err(ConnectionError::Head { source });
            }
            if !head.status.is_informational() {
                snafu::ensure!(length <= MAX_HEAD_BYTES, NoProgressSnafu { part });
                return Ok(Some(head));
            }
            // No other protocol was asked for, and interim answers have no body.
            if codec.message_type() != MessageType::None {
                let source = ParseError::Status;
                return Err(ConnectionError::Head { source });
            }
            self.interim += length;
            let part = MessagePart::Interim;
            snafu::ensure!(self.interim <= MAX_INTERIM_BYTES, NoProgressSnafu { part });
        }
    }

    /// Reads the next chunk of the body; `None` at its complete end.
    pub(crate) async fn read_chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        loop {
            self.turn.give_way().await;
            match &mut self.codec {
                Codec::Body(_) => match self.decode_chunk()? {
                    Decoded::Chunk(chunk) => return Ok(Some(chunk)),
                    Decoded::End => {
                        self.finish();
                        return Ok(None);
                    }
                    Decoded::Incomplete => {}
                },
                Codec::UntilClose if !self.received.is_empty() => {
                    self.turn.record(self.received.len());
                    return Ok(Some(self.received.split().freeze()));
                }
                Codec::UntilClose => {}
                Codec::Ending(until) => {
                    let until = *until;
                    self.check_sound_end(until).await?;
                    self.codec = Codec::Closed;
                    return Ok(None);
                }
                Codec::Head(_) | Codec::Closed | Codec::Done => return Ok(None),
            }
            if self.transfer().await.context(IoSnafu)? > 0 {
                continue;
            }
            if !matches!(self.codec, Codec::UntilClose) {
                return ClosedSnafu.fail();
            }
            // Kept, as callers drop this future and call again.
            self.codec = Codec::Ending(Instant::now() + RESET_DELAY);
        }
    }

    // Fails unless the end of the connection shows that an answer without a length is
    // whole. The system of a peer that breaks off resets the connection, often after it has
    // ended its side: with a part of the request unread, or with nothing unread at all. So
    // neither the length of the request nor how much of it was taken shows a sound end.
    async fn check_sound_end(&self, until: Instant) -> Result<(), ConnectionError> {
        snafu::ensure!(self.unsent.is_empty(), ClosedSnafu);
        self.check_reset()?;
        let reset = self.stream.ready(Interest::ERROR);
        // Without a reset by then, the end is sound.
        let _ = tokio::time::timeout_at(until, reset).await;
        self.check_reset()
    }

    fn check_reset(&self) -> Result<(), ConnectionError> {
        let error = self.stream.take_error().context(IoSnafu)?;
        error.map_or(Ok(()), |source| Err(ConnectionError::Reset { source }))
    }

    // Decodes the next chunk of a framed body.
    fn decode_chunk(&mut self) -> Result<Decoded, ConnectionError> {
        let Codec::Body(codec) = &mut self.codec else {
            return Ok(Decoded::End);
        };
        let before = self.received.len();
        let decoded = codec.decode(&mut self.received).context(BodySnafu)?;
        let consumed = before - self.received.len();
        self.turn.record(consumed);
        let data = decoded.iter().flatten().map(Bytes::len).sum();
        let part = MessagePart::Framing;
        let is_allowed = self.framing.take(consumed - data, data);
        snafu::ensure!(is_allowed, NoProgressSnafu { part });
        Ok(match decoded {
            Some(Some(chunk)) => Decoded::Chunk(chunk),
            Some(None) => Decoded::End,
            None => Decoded::Incomplete,
        })
    }

    /// Returns true if the connection can be used for another request: the answer
    /// ended, the peer keeps the connection open, and no unexpected bytes
    /// arrived.
    pub(crate) fn is_reusable(&mut self) -> bool {
        let is_idle = matches!(self.codec, Codec::Done)
            && self.keep_alive
            && self.unsent.is_empty()
            && self.received.is_empty();
        if !is_idle {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns true while a body follows the head that was read.
    pub(crate) fn has_body(&self) -> bool {
        matches!(
            self.codec,
            Codec::Body(_) | Codec::UntilClose | Codec::Ending(_)
        )
    }

    fn begin_body(&mut self, head: &ResponseHead) {
        let Codec::Head(codec) = std::mem::replace(&mut self.codec, Codec::Done) else {
            return;
        };
        self.keep_alive = codec.keep_alive();
        if !may_have_body(head) {
            // Such an answer ends with its head, whatever length it names.
            self.keep_alive &= !has_framing(head);
            self.finish();
        } else if codec.message_type() == MessageType::Payload && has_framing(head) {
            self.codec = Codec::Body(codec.into_payload_codec());
        } else if self.expects_body && !has_framing(head) {
            // `actix-http` treats such an HTTP/1.1 answer as one without a body.
            self.codec = Codec::UntilClose;
            self.keep_alive = false;
        } else {
            self.finish();
        }
    }

    fn finish(&mut self) {
        self.codec = Codec::Done;
        self.idle_since = Instant::now();
    }

    // Writes and reads as far as the socket allows; returns the number of bytes
    // read, zero if the peer closed the connection. The rest of a request is
    // written even if its answer has already begun.
    async fn transfer(&mut self) -> io::Result<usize> {
        loop {
            let interest = if self.unsent.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = tokio::select! {
                biased;
                ready = self.stream.ready(interest) => ready?,
                () = self.watch.silenced(&self.stream) => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            };
            if ready.is_writable() && !self.unsent.is_empty() {
                self.write_unsent()?;
            }
            if ready.is_readable() {
                self.stalls.record_read(self.peer);
                self.received.reserve(READ_BYTES);
                match self
                    .stream
                    .try_read_buf(&mut (&mut self.received).limit(READ_BYTES))
                {
                    Ok(count) => return Ok(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        }
    }

    fn write_unsent(&mut self) -> io::Result<()> {
        let Some(block) = self.unsent.front_mut() else {
            return Ok(());
        };
        match self.stream.try_write(block) {
            Ok(count) => {
                self.has_written |= count > 0;
                self.watch.record_write();
                block.advance(count);
                if block.is_empty() {
                    self.unsent.pop_front();
                }
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn has_framing(head: &ResponseHead) -> bool {
    let headers = &head.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn may_have_body(head: &ResponseHead) -> bool {
    head.status != StatusCode::NO_CONTENT && head.status != StatusCode::NOT_MODIFIED
}
