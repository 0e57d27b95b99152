//! One connection to an upstream.
//!
//! `actix-http`'s codecs frame the messages. The connection is driven here, as
//! the data path must know what a pooled client hides: whether any byte of a
//! request was written, whether a body ended whole or broke off, and whether
//! bytes came that belong to no request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

/// Time for unacknowledged bytes and for a silent peer, after which the system
/// gives the connection up; a host behind a partition answers nothing.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time before the system asks whether the peer is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept where the peer says nothing: most
/// servers keep one for some seconds.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time before the peer's own limit at which a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Longest time for which an idle connection is kept; its silent end would not
/// be noticed before it is used.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Why an exchange on a connection ended without a whole answer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ConnectionError {
    #[snafu(display("connection failed: {source}"))]
    Io { source: io::Error },
    #[snafu(display("connection closed before the end of the answer"))]
    Closed,
    #[snafu(display("answer's head is malformed: {source}"))]
    Head { source: ParseError },
    #[snafu(display("answer's body is malformed: {source}"))]
    Body { source: PayloadError },
    #[snafu(display("no connection in time"))]
    ConnectTimeout,
}

enum Codec {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body without a length, which ends with the connection.
    UntilClose,
    Done,
}

/// A connection to an upstream, for one request at a time.
pub(crate) struct UpstreamConnection {
    stream: TcpStream,
    config: ServiceConfig,
    codec: Codec,
    received: BytesMut,
    unsent: BytesMut,
    has_written: bool,
    keep_alive: bool,
    /// True where the request's method asks for a body.
    expects_body: bool,
    idle_since: Instant,
    /// Time for which the peer keeps the connection when it is idle.
    idle_limit: Duration,
}

impl UpstreamConnection {
    /// Connects within `limit`.
    pub(crate) async fn connect(
        addr: SocketAddr,
        limit: Duration,
        config: &ServiceConfig,
    ) -> Result<Self, ConnectionError> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(addr))
            .await
            .ok()
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .context(IoSnafu)?;
        set_socket_options(&stream).context(IoSnafu)?;
        Ok(Self {
            stream,
            config: config.clone(),
            codec: Codec::Done,
            received: BytesMut::new(),
            unsent: BytesMut::new(),
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
        body: &[u8],
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
        codec.encode(message, &mut self.unsent).context(IoSnafu)?;
        self.unsent.extend_from_slice(body);
        self.codec = Codec::Head(codec);
        self.has_written = false;
        Ok(())
    }

    /// True once a byte of the request left, so it may run.
    pub(crate) fn has_written(&self) -> bool {
        self.has_written
    }

    /// The peer keeps the connection for `limit` when it is idle.
    pub(crate) fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_LIMIT);
    }

    /// Time for which it may still be used; the peer closes idle connections,
    /// and a request that crosses that is lost.
    pub(crate) fn idle_left(&self) -> Duration {
        self.idle_limit.saturating_sub(self.idle_since.elapsed())
    }

    /// Time since the last answer ended.
    pub(crate) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Writes what is left of the request and reads the head of its answer.
    pub(crate) async fn read_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        loop {
            if let Codec::Head(codec) = &mut self.codec
                && let Some(head) = codec.decode(&mut self.received).context(HeadSnafu)?
            {
                if head.status.is_informational() {
                    continue;
                }
                self.begin_body(&head);
                return Ok(head);
            }
            if self.transfer().await.context(IoSnafu)? == 0 {
                return ClosedSnafu.fail();
            }
        }
    }

    /// Reads the next piece of the body; none at its end, when it is whole.
    pub(crate) async fn read_chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        loop {
            match &mut self.codec {
                Codec::Body(codec) => match codec.decode(&mut self.received).context(BodySnafu)? {
                    Some(Some(chunk)) => return Ok(Some(chunk)),
                    Some(None) => {
                        self.finish();
                        return Ok(None);
                    }
                    None => {}
                },
                Codec::UntilClose if !self.received.is_empty() => {
                    return Ok(Some(self.received.split().freeze()));
                }
                Codec::UntilClose => {}
                Codec::Head(_) | Codec::Done => return Ok(None),
            }
            if self.transfer().await.context(IoSnafu)? > 0 {
                continue;
            }
            if !matches!(self.codec, Codec::UntilClose) {
                return ClosedSnafu.fail();
            }
            self.finish();
            return Ok(None);
        }
    }

    /// True where the next request may go over this connection: the answer
    /// ended, the peer keeps it open, and nothing came that nobody asked for.
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

    fn begin_body(&mut self, head: &ResponseHead) {
        let Codec::Head(codec) = std::mem::replace(&mut self.codec, Codec::Done) else {
            return;
        };
        self.keep_alive = codec.keep_alive();
        if codec.message_type() == MessageType::Payload && has_framing(head) {
            self.codec = Codec::Body(codec.into_payload_codec());
        } else if self.expects_body && may_have_body(head) && !has_framing(head) {
            // The library takes such an answer of HTTP/1.1 for one without a body.
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

    // Writes and reads what the socket takes and has; returns the bytes read,
    // zero where the peer closed. An answer may come before the request is
    // written, and the rest of it is written all the same.
    async fn transfer(&mut self) -> io::Result<usize> {
        loop {
            let interest = if self.unsent.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_writable() && !self.unsent.is_empty() {
                self.write_unsent()?;
            }
            if ready.is_readable() {
                self.received.reserve(READ_BYTES);
                match self.stream.try_read_buf(&mut self.received) {
                    Ok(count) => return Ok(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        }
    }

    fn write_unsent(&mut self) -> io::Result<()> {
        match self.stream.try_write(&self.unsent) {
            Ok(count) => {
                self.has_written |= count > 0;
                let _ = self.unsent.split_to(count);
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

/// Sets what keeps a silent connection from hanging.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
