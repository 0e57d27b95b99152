//! Client connections.

use std::cell::{Cell, OnceCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header;
use actix_http::{Request, RequestHead, StatusCode};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use snafu::{ResultExt, Snafu};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::Decoder;

use super::admission::{AdmittedRequest, Refusal, admit};
use super::body::{Body, BodyBuffer};
use super::boot_clock;
use super::catalog::Limits;
use super::exchange::Exchange;
use super::liveness::PeerWatch;
use super::memory::{MemoryFull, MemoryUse};
use super::message::ClientRequest;
use super::metrics::DrainEnd;
use super::progress::{FramingAllowance, MessagePart, Turn};
use super::request_log::{ConnectionUse, RequestLog, RequestOutcome};
use super::responder::{Closing, Responder};
use super::traffic::{MemoryHold, Traffic};
use super::view::View;
use crate::platform::{self, InboundRequest};

/// Maximum number of bytes that are read ahead while a request is served; a
/// client that sends more is not read until the answer is written.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

/// Longest time for which bytes of a rejected request are read and dropped: to close a
/// connection with unread bytes resets it, and the client may lose the answer.
const LINGER_TIME: Duration = Duration::from_millis(200);

/// The same for a request that was refused within its body, while more of it arrives.
const UPLOAD_LINGER_TIME: Duration = Duration::from_secs(2);

/// Time for which a request waits for a starting process to learn its routes:
/// several round trips to the store.
const SYNC_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest `Retry-After` of a request for which there is no memory; the longest is
/// three times as long. By then others have ended.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest read.
const READ_BYTES: usize = 8 * 1024;

/// Memory that a connection counts for in the account, in bytes: its task, its timers and
/// what the allocator adds.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Memory that a request counts for beside its head and body, in bytes: the parsed request
/// and a read buffer.
const REQUEST_BYTES: usize = 16 * 1024;

/// Memory that each field of a head counts for beside its text, in bytes.
const FIELD_BYTES: usize = 256;

/// Error in reading a request.
#[derive(Debug)]
#[derive(Snafu)]
enum ReadError {
    /// The client closed the connection or was idle for too long; there is no
    /// answer to write.
    #[snafu(display("closed"))]
    Closed,
    /// The client sent the request too slowly.
    #[snafu(display("the request took too long"))]
    TooSlow,
    #[snafu(display("the head is too long"))]
    HeadTooLong,
    #[snafu(display("the body is too long"))]
    BodyTooLong,
    #[snafu(display("the request has too many bytes without progress: {part}"))]
    NoProgress { part: MessagePart },
    #[snafu(display("the request is malformed: {source}"))]
    Malformed { source: ParseError },
    /// The request with this ID, if known, was not read whole before the relay stops.
    #[snafu(display("this relay is stopping; the request has not run"))]
    Stopping { id: CompactString },
    /// There is no memory for the request with this ID, if known.
    #[snafu(display("this relay has no memory left; the request has not run"))]
    MemoryFull { id: CompactString },
    /// The request with this ID is refused whatever its body is.
    #[snafu(display("{}", refusal.text().trim_end()))]
    Refused { id: CompactString, refusal: Refusal },
    #[snafu(display("the connection failed: {source}"))]
    Io { source: io::Error },
}

impl From<MemoryFull> for ReadError {
    fn from(_: MemoryFull) -> Self {
        Self::MemoryFull {
            id: CompactString::default(),
        }
    }
}

impl ReadError {
    fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Closed | Self::Io { .. } => None,
            Self::TooSlow => Some(StatusCode::REQUEST_TIMEOUT),
            Self::HeadTooLong => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::BodyTooLong => Some(StatusCode::PAYLOAD_TOO_LARGE),
            Self::Stopping { .. } | Self::MemoryFull { .. } => {
                Some(StatusCode::SERVICE_UNAVAILABLE)
            }
            Self::Refused { refusal, .. } => Some(refusal.status()),
            Self::NoProgress { .. } | Self::Malformed { .. } => Some(StatusCode::BAD_REQUEST),
        }
    }

    // Names the request that was not read whole.
    fn set_id(&mut self, known: CompactString) {
        if let Self::Stopping { id } | Self::MemoryFull { id } | Self::Refused { id, .. } = self {
            *id = known;
        }
    }
}

struct Connection {
    traffic: Rc<Traffic>,
    peer: SocketAddr,
    watch: PeerWatch,
    turn: Turn,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    codec: Codec,
    received: BytesMut,
    accepted: Instant,
    /// Number of requests that were read.
    requests: u32,
    /// Counts the connection until its first request begins.
    unused: Option<Counted>,
}

/// Adds one to a count until dropped.
struct Counted {
    traffic: Rc<Traffic>,
    count: fn(&Traffic) -> &Cell<usize>,
}

impl Counted {
    fn new(traffic: &Rc<Traffic>, count: fn(&Traffic) -> &Cell<usize>) -> Self {
        let traffic = Rc::clone(traffic);
        count(&traffic).update(|number| number + 1);
        Self { traffic, count }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.count)(&self.traffic).update(|number| number - 1);
    }
}

/// Serves a connection until the client closes it or it must be closed.
pub(super) async fn serve(stream: TcpStream, peer: SocketAddr, traffic: Rc<Traffic>) {
    let watch = match PeerWatch::open(&stream) {
        Ok(watch) => watch,
        Err(error) => {
            tracing::debug!(%error, "client connection not usable");
            return;
        }
    };
    let (reader, writer) = stream.into_split();
    let mut connection = Connection {
        codec: Codec::new(traffic.config.clone()),
        unused: Some(Counted::new(&traffic, |traffic| &traffic.new_connections)),
        traffic,
        peer,
        watch,
        turn: Turn::default(),
        reader,
        writer,
        received: BytesMut::new(),
        accepted: Instant::now(),
        requests: 0,
    };
    while connection.serve_next().await {}
    connection.end().await;
}

impl Connection {
    // Serves one request; returns false if the connection must be closed.
    async fn serve_next(&mut self) -> bool {
        let limits = self.limits();
        let traffic = Rc::clone(&self.traffic);
        let hold = MemoryHold::open(&traffic, MemoryUse::Request);
        // An idle connection without room is served all the same if it sends a request.
        let _ = hold.reserve_base(CONNECTION_BYTES);
        let waited = self.wait_for_request(&limits, &hold).await;
        let _begun = Counted::new(&traffic, |traffic| &traffic.begun_requests);
        let drain = traffic.phases.get().drain();
        let is_early = drain.is_none_or(|drain| drain.is_early());
        let _early = is_early.then(|| Counted::new(&traffic, |traffic| &traffic.early_requests));
        self.unused = None;
        hold.begin_reading();
        let read = match waited {
            Ok(()) => self.read_in_time(&limits, &hold).await,
            Err(error) => Err(error),
        };
        let (request, body) = match read {
            Ok(read) => read,
            Err(error) => {
                drop(hold);
                self.reject(&error).await;
                return false;
            }
        };
        hold.finish_reading();
        let _active = Counted::new(&traffic, |traffic| &traffic.active_requests);
        self.serve_request(&request, body).await
    }

    // Ends a connection whose client may have sent what gets no answer.
    async fn end(&mut self) {
        if self.received.is_empty() {
            return;
        }
        let bytes = self.received.len();
        let is_draining = self.traffic.phases.get().drain().is_some();
        tracing::info!(peer = %self.peer, bytes, requests = self.requests, is_draining, "connection closed with unanswered bytes of its client");
        self.traffic.metrics.unanswered_connections.inc();
        // To close it with unread bytes resets it, and the client may lose the last answer.
        let _ = timeout(LINGER_TIME, self.linger()).await;
    }

    fn limits(&self) -> Limits {
        let view = self.traffic.view();
        let catalog = view.catalog.as_ref();
        catalog.map_or_else(Limits::default, |catalog| catalog.limits)
    }

    // Reads a request whole, or as far as it comes before the relay stops.
    async fn read_in_time(
        &mut self,
        limits: &Limits,
        hold: &MemoryHold,
    ) -> Result<(Request, Body), ReadError> {
        let traffic = Rc::clone(&self.traffic);
        let mut id = CompactString::default();
        let read = tokio::select! {
            biased;
            read = self.read_request(limits, hold, &mut id) => read,
            () = traffic.phases.answer_due() => StoppingSnafu { id: "" }.fail(),
        };
        read.map_err(|mut error| {
            error.set_id(id);
            error
        })
    }

    // Sets `id` once the head is known.
    async fn read_request(
        &mut self,
        limits: &Limits,
        hold: &MemoryHold,
        id: &mut CompactString,
    ) -> Result<(Request, Body), ReadError> {
        let until = Instant::now() + limits.head_timeout;
        let request = timeout_at(until, self.read_head(limits, hold))
            .await
            .map_err(|_| ReadError::TooSlow)??;
        *id = platform::request_id(request.head());
        // The time limit of the body starts after the head.
        let until = Instant::now() + limits.head_timeout.max(limits.idle_timeout);
        let body = timeout_at(until, self.read_body(&request, limits, hold))
            .await
            .map_err(|_| ReadError::TooSlow)??;
        Ok((request, body))
    }

    // Waits for the first byte of a request.
    async fn wait_for_request(
        &mut self,
        limits: &Limits,
        hold: &MemoryHold,
    ) -> Result<(), ReadError> {
        let idle_until = Instant::now() + limits.idle_timeout;
        let has_served = self.unused.is_none();
        let mut phases = self.traffic.phases.subscribe();
        while self.received.is_empty() {
            let closed_at = phases.borrow_and_update().close_idle_at(has_served);
            let until = closed_at.map_or(idle_until, |at| at.min(idle_until));
            // What has arrived is read before the connection is closed.
            tokio::select! {
                biased;
                read = fill(&self.reader, &mut self.received) => {
                    if read.context(IoSnafu)? == 0 {
                        return ClosedSnafu.fail();
                    }
                }
                () = self.watch.silenced(self.reader.as_ref()) => {
                    self.discard();
                    return ClosedSnafu.fail();
                }
                () = sleep_until(until) => return ClosedSnafu.fail(),
                () = hold.evicted() => return ClosedSnafu.fail(),
                _ = phases.changed() => {}
            }
        }
        Ok(())
    }

    async fn read_head(
        &mut self,
        limits: &Limits,
        hold: &MemoryHold,
    ) -> Result<Request, ReadError> {
        loop {
            self.turn.give_way().await;
            self.turn.record(self.received.len());
            // The fields of a parsed head keep the buffer that they were read into.
            let buffer = self.received.capacity();
            match self.codec.decode(&mut self.received) {
                Ok(Some(Message::Item(request))) => {
                    let fields = request.head().headers.len() * FIELD_BYTES;
                    hold.reserve_base(CONNECTION_BYTES + REQUEST_BYTES + buffer + fields)?;
                    return Ok(request);
                }
                Ok(Some(Message::Chunk(_)) | None) => {}
                Err(ParseError::TooLarge) => return HeadTooLongSnafu.fail(),
                Err(source) => return Err(ReadError::Malformed { source }),
            }
            if self.received.len() > limits.head_bytes {
                return HeadTooLongSnafu.fail();
            }
            hold.reserve_base(CONNECTION_BYTES + REQUEST_BYTES + buffer)?;
            self.fill(hold).await?;
        }
    }

    async fn read_body(
        &mut self,
        request: &Request,
        limits: &Limits,
        hold: &MemoryHold,
    ) -> Result<Body, ReadError> {
        let message_type = self.codec.message_type();
        if message_type == MessageType::None {
            return Ok(Body::default());
        }
        let headers = &request.head().headers;
        let announced = headers.get(header::CONTENT_LENGTH);
        let announced: Option<usize> = announced.and_then(|text| text.to_str().ok()?.parse().ok());
        if let Some(length) = announced {
            snafu::ensure!(length <= limits.body_bytes, BodyTooLongSnafu);
            hold.announce(length);
        }
        // The codec reads on without an end behind an offer of another protocol, as if that
        // were taken up.
        let end = (message_type == MessageType::Stream).then(|| announced.unwrap_or(0));
        if end == Some(0) {
            return Ok(Body::default());
        }
        let mut is_checked = false;
        if headers.contains_key(header::EXPECT) {
            self.check_head(request.head())?;
            is_checked = true;
            self.send_continue().await?;
        }
        let mut body = BodyBuffer::default();
        let mut framing = FramingAllowance::default();
        loop {
            self.turn.give_way().await;
            let before = self.received.len();
            let decoded = self.codec.decode(&mut self.received);
            let consumed = before - self.received.len();
            self.turn.record(consumed);
            let decoded = decoded.context(MalformedSnafu)?;
            let data = match &decoded {
                Some(Message::Chunk(Some(piece))) => piece.len(),
                _ => 0,
            };
            let part = MessagePart::Framing;
            snafu::ensure!(
                framing.take(consumed - data, data),
                NoProgressSnafu { part }
            );
            match decoded {
                Some(Message::Chunk(Some(mut piece))) => {
                    if let Some(end) = end {
                        piece.truncate(end - body.len());
                    }
                    let length = body.len() + piece.len();
                    snafu::ensure!(length <= limits.body_bytes, BodyTooLongSnafu);
                    hold.reserve(body.cost_with(piece.len()))?;
                    body.push(&piece);
                    if end == Some(length) {
                        hold.check()?;
                        return Ok(body.freeze());
                    }
                }
                Some(Message::Chunk(None)) => {
                    // It may have given way while others had their turn.
                    hold.check()?;
                    return Ok(body.freeze());
                }
                Some(Message::Item(_)) => {
                    let source = ParseError::Incomplete;
                    return Err(ReadError::Malformed { source });
                }
                None => {
                    // Most bodies come with their head.
                    if !std::mem::replace(&mut is_checked, true) {
                        self.check_head(request.head())?;
                    }
                    self.fill(hold).await?;
                }
            }
        }
    }

    // Refuses a request that no body could make proper. The verdict on the others is
    // reached once they are read whole.
    fn check_head(&self, head: &RequestHead) -> Result<(), ReadError> {
        let view = self.traffic.view();
        let request = platform::parse_request(head).request;
        match self.judge(&view, head, &request) {
            Err(refusal @ (Refusal::NoRoute | Refusal::UnknownKey | Refusal::Unusable)) => {
                RefusedSnafu { id: "", refusal }.fail()
            }
            Err(refusal @ Refusal::NotReady) if view.is_behind => {
                RefusedSnafu { id: "", refusal }.fail()
            }
            _ => Ok(()),
        }
    }

    async fn send_continue(&mut self) -> Result<(), ReadError> {
        let line = b"HTTP/1.1 100 Continue\r\n\r\n";
        self.writer.write_all(line).await.context(IoSnafu)
    }

    async fn fill(&mut self, hold: &MemoryHold) -> Result<(), ReadError> {
        let read = tokio::select! {
            biased;
            () = hold.evicted() => return MemoryFullSnafu { id: "" }.fail(),
            read = fill(&self.reader, &mut self.received) => read,
        };
        self.traffic.stalls.record_read(self.peer);
        match read.context(IoSnafu)? {
            0 => ClosedSnafu.fail(),
            _ => Ok(()),
        }
    }

    async fn reject(&mut self, error: &ReadError) {
        let Some(status) = error.status() else {
            return;
        };
        tracing::info!(status = status.as_u16(), %error, "failed to read a request");
        let body = Bytes::from(format!("{error}\n")).into();
        let headers = match error {
            ReadError::Stopping { id } => {
                self.traffic.metrics.record_drained(DrainEnd::Refused);
                platform::refusal_headers(id, Some(self.traffic.stop_retry_after()))
            }
            ReadError::MemoryFull { id } => {
                self.traffic.metrics.memory_refusals.inc();
                self.record_refusal(id, status);
                let wait = MEMORY_RETRY_AFTER.mul_f64(1.0 + 2.0 * self.traffic.random());
                platform::refusal_headers(id, Some(wait))
            }
            ReadError::Refused { id, refusal } => {
                self.record_refusal(id, status);
                platform::refusal_headers(id, refusal.retry_after())
            }
            _ => platform::refusal_headers("", None),
        };
        self.received = BytesMut::new();
        let hold = MemoryHold::open(&self.traffic, MemoryUse::Request);
        hold.finish_reading();
        let has_room = hold.reserve_base(CONNECTION_BYTES).is_ok();
        let mut responder =
            Responder::new(&mut self.writer, &mut self.codec, Closing::Decided(true))
                .watched(&self.watch);
        if let Err(error) = responder.write_own(status, headers, &body).await {
            tracing::debug!(%error, "failed to write a rejection to a client");
            return;
        }
        // Time out or end of the connection: either way nothing is left to do.
        let is_refused_upload = matches!(
            error,
            ReadError::Refused { .. } | ReadError::MemoryFull { .. }
        );
        let time = if !has_room {
            Duration::ZERO
        } else if is_refused_upload {
            UPLOAD_LINGER_TIME
        } else {
            LINGER_TIME
        };
        let _ = timeout(time, self.linger()).await;
    }

    // Counts and logs a request that was refused before its body was read.
    fn record_refusal(&self, id: &CompactString, status: StatusCode) {
        let connection = ConnectionUse {
            age: self.accepted.elapsed(),
            requests: self.requests,
        };
        let mut log = RequestLog::new(id.clone(), Instant::now(), connection);
        log.set_outcome(RequestOutcome::Refused, status);
        log.set_note("refused before its body was read");
        let is_draining = self.traffic.phases.get().drain().is_some();
        log.finish(&self.traffic.metrics, is_draining);
    }

    // Has the kernel drop what it holds for a client that doesn't answer.
    fn discard(&self) {
        tracing::info!(peer = %self.peer, requests = self.requests, "client doesn't answer; connection closed");
        self.traffic.metrics.silent_clients.inc();
        if let Err(error) = self.reader.as_ref().set_zero_linger() {
            tracing::debug!(%error, "failed to discard what a client has not read");
        }
    }

    // Ends the answer and drops what the client still sends of its request.
    async fn linger(&mut self) -> io::Result<()> {
        self.writer.shutdown().await?;
        loop {
            self.turn.give_way().await;
            self.received.clear();
            let read = timeout(LINGER_TIME, fill(&self.reader, &mut self.received));
            let count = read.await.unwrap_or(Ok(0))?;
            if count == 0 {
                return Ok(());
            }
            self.turn.record(count);
        }
    }

    async fn serve_request(&mut self, request: &Request, body: Body) -> bool {
        let received = Instant::now();
        let head = request.head();
        let InboundRequest {
            request: client_request,
            headers,
        } = platform::parse_request(head);
        let connection = ConnectionUse {
            age: self.accepted.elapsed(),
            requests: self.requests,
        };
        self.requests += 1;
        let mut log = RequestLog::new(client_request.id.clone(), received, connection);
        log.session = client_request.session.clone().unwrap_or_default();
        let admitted = self.admit(head, &client_request, &mut log).await;
        let has_next = Cell::new(!self.received.is_empty());
        let closing = if self.codec.keep_alive() {
            Closing::Draining {
                phases: &self.traffic.phases,
                has_next: &has_next,
            }
        } else {
            Closing::Decided(true)
        };
        let mut responder =
            Responder::new(&mut self.writer, &mut self.codec, closing).watched(&self.watch);
        let served = async {
            match admitted {
                Ok(admitted) => {
                    let exchange = Exchange {
                        traffic: &self.traffic,
                        head,
                        headers,
                        body,
                        request: client_request,
                        admitted,
                        received,
                        log: &mut log,
                        subjects: OnceCell::new(),
                    };
                    let catalog = Arc::clone(&exchange.admitted.catalog);
                    let route = exchange.admitted.route;
                    let keep_alive = exchange.run(&mut responder).await;
                    if log.has_answer() {
                        let took = received.elapsed();
                        let route = catalog.route(route);
                        self.traffic.record_service_time(route, took, log.queued);
                    }
                    keep_alive
                }
                Err(refusal) => {
                    log.set_outcome(RequestOutcome::Refused, refusal.status());
                    let headers =
                        platform::refusal_headers(&client_request.id, refusal.retry_after());
                    let body = Bytes::from_static(refusal.text().as_bytes()).into();
                    responder
                        .write_own(refusal.status(), headers, &body)
                        .await
                        .is_ok()
                }
            }
        };
        // What has arrived is read before the answer's head says whether the connection goes
        // on.
        let mut is_silent = false;
        let keep_alive = tokio::select! {
            biased;
            () = wait_for_disconnect(&self.reader, &mut self.received, &has_next) => false,
            keep_alive = served => keep_alive,
            () = self.watch.silenced(self.reader.as_ref()) => {
                is_silent = true;
                false
            }
        };
        let is_last = responder.is_last();
        if is_silent {
            self.discard();
        }
        let is_draining = self.traffic.phases.get().drain().is_some();
        log.finish(&self.traffic.metrics, is_draining);
        keep_alive && !is_last
    }

    async fn admit(
        &self,
        head: &RequestHead,
        request: &super::message::ClientRequest,
        log: &mut RequestLog,
    ) -> Result<AdmittedRequest, Refusal> {
        let view = self.traffic.synced_view(SYNC_TIMEOUT).await;
        log.confirmed_age = boot_clock::now().saturating_sub(view.confirmed_at);
        let admitted = self.judge(&view, head, request)?;
        log.catalog_version = admitted.catalog.version;
        let route = admitted.catalog.route(admitted.route);
        log.route.clone_from(&route.name);
        let limit = request.time_limit(route.timeout);
        if let Some(read) = self.traffic.drain_read(route, limit) {
            log.record_drain(read);
        }
        if !self.traffic.can_take(route, limit) {
            return Err(Refusal::Stopping(self.traffic.stop_retry_after()));
        }
        Ok(admitted)
    }

    fn judge(
        &self,
        view: &View,
        head: &RequestHead,
        request: &ClientRequest,
    ) -> Result<AdmittedRequest, Refusal> {
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let name = host.split(':').next().unwrap_or_default();
        let host = CompactString::from(name.to_ascii_lowercase());
        let now = boot_clock::now();
        let limit = self.traffic.settings().revocation_limit;
        self.traffic.fleet(view, |_, rng| {
            admit(view, request, &host, head.uri.path(), now, limit, rng)
        })
    }
}

async fn fill(reader: &OwnedReadHalf, received: &mut BytesMut) -> io::Result<usize> {
    loop {
        if received.is_empty() {
            // A client that pauses keeps no buffer.
            *received = BytesMut::new();
        }
        reader.readable().await?;
        match try_fill(reader, received) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

// The buffer grows by what has arrived: room that is reserved before would stay with a
// client that sends nothing more.
fn try_fill(reader: &OwnedReadHalf, received: &mut BytesMut) -> io::Result<usize> {
    let mut bytes = [0; READ_BYTES];
    let count = reader.try_read(&mut bytes)?;
    received.extend_from_slice(&bytes[..count]);
    Ok(count)
}

// Returns when the client has closed its side; bytes that it sends ahead are
// kept, and `has_next` tells that there are some.
async fn wait_for_disconnect(
    reader: &OwnedReadHalf,
    received: &mut BytesMut,
    has_next: &Cell<bool>,
) {
    while received.len() < MAX_PIPELINED_BYTES {
        match fill(reader, received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => has_next.set(true),
        }
    }
    std::future::pending::<()>().await;
}
