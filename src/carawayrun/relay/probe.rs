//! Listeners for readiness probes and metrics.

use std::collections::VecDeque;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::Decoder;

use super::admission::is_current;
use super::boot_clock;
use super::drain::Phase;
use super::responder::{Closing, Responder};
use super::traffic::Traffic;
use crate::http::{json, text};

/// Fraction of the revocation limit that readiness passes to [`is_current`], which
/// applies its own fraction of 0.85: a host becomes unready once its configuration
/// was not confirmed for 0.51 of the limit, before it must refuse API keys.
const READY_FRACTION: f64 = 0.6;

/// Path of the list of requests and prompt parts in quarantine, beside the metrics.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// Path of the list of data centres out of service, beside the metrics.
pub const EVACUATIONS_PATH: &str = "/evacuations";

/// Time limit for idle connections of a prober.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Connections of each listener; one more closes the oldest. A crowd on it would
/// otherwise take the descriptors of clients, upstreams and the store.
const MAX_CONNECTIONS: usize = 32;

/// Longest head of a probe, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a probe could not be answered.
#[derive(Debug)]
#[derive(Snafu)]
enum ProbeError {
    #[snafu(display("closed before the end of its head"))]
    Closed,
    #[snafu(display("idle for too long"))]
    Idle,
    #[snafu(display("head over {MAX_HEAD_BYTES} bytes"))]
    HeadTooLong,
    #[snafu(display("a probe has no body"))]
    HasBody,
    #[snafu(display("malformed head: {source}"))]
    Malformed { source: ParseError },
    #[snafu(display("connection failed: {source}"))]
    Io { source: io::Error },
}

/// Returns true if the balancer may send clients to this host.
pub(super) fn is_ready(traffic: &Traffic) -> bool {
    let view = traffic.view();
    let limit = traffic.settings().revocation_limit.mul_f64(READY_FRACTION);
    traffic.phases.get() == Phase::Serving
        && !view.upstreams.is_empty()
        && !traffic.is_starting()
        && is_current(&view, boot_clock::now(), limit)
}

fn readiness_response(traffic: &Traffic, _request: &Request) -> Response<BoxBody> {
    if is_ready(traffic) {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics_response(traffic: &Traffic, request: &Request) -> Response<BoxBody> {
    match request.path() {
        QUARANTINE_PATH => json(StatusCode::OK, &traffic.quarantined_subjects()),
        EVACUATIONS_PATH => json(StatusCode::OK, &traffic.evacuated_data_centres()),
        _ => text(StatusCode::OK, traffic.metrics.encode_text()),
    }
}

/// Serves readiness on `listener` until the process ends.
pub(super) fn serve_readiness(listener: TcpListener, traffic: Rc<Traffic>) -> std::io::Result<()> {
    serve_responses(listener, traffic, readiness_response)
}

/// Serves metrics on `listener` until the process ends.
pub(super) fn serve_metrics(listener: TcpListener, traffic: Rc<Traffic>) -> std::io::Result<()> {
    serve_responses(listener, traffic, metrics_response)
}

fn serve_responses(
    listener: TcpListener,
    traffic: Rc<Traffic>,
    answer: fn(&Traffic, &Request) -> Response<BoxBody>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        let mut connections = VecDeque::with_capacity(MAX_CONNECTIONS);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    connections.retain(|connection: &JoinHandle<()>| !connection.is_finished());
                    while connections.len() >= MAX_CONNECTIONS {
                        connections.pop_front().inspect(JoinHandle::abort);
                    }
                    let serving = serve_connection(stream, Rc::clone(&traffic), answer);
                    connections.push_back(actix_rt::spawn(serving));
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a probe connection");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(())
}

// Answers probes on one connection. Bodies are not read: a probe needs none, and one
// without an end would keep the thread that serves clients busy.
async fn serve_connection(
    stream: TcpStream,
    traffic: Rc<Traffic>,
    answer: fn(&Traffic, &Request) -> Response<BoxBody>,
) {
    let (mut reader, mut writer) = stream.into_split();
    let mut codec = Codec::new(traffic.config.clone());
    let mut received = BytesMut::new();
    loop {
        let reading = read_probe(&mut reader, &mut codec, &mut received);
        let read = timeout(KEEP_ALIVE, reading).await;
        let request = match read.unwrap_or_else(|_| IdleSnafu.fail()) {
            Ok(request) => request,
            Err(error) => {
                tracing::debug!(%error, "failed to read a probe");
                return;
            }
        };
        let (head, body) = answer(&traffic, &request).into_parts();
        let body = body
            .try_into_bytes()
            .unwrap_or_else(|_| Bytes::new())
            .into();
        let is_last = !codec.keep_alive();
        let mut responder = Responder::new(&mut writer, &mut codec, Closing::Decided(is_last));
        let headers = head.headers().clone();
        if let Err(error) = responder.write_own(head.status(), headers, &body).await {
            tracing::debug!(%error, "failed to answer a probe");
            return;
        }
        if is_last {
            return;
        }
    }
}

async fn read_probe(
    reader: &mut OwnedReadHalf,
    codec: &mut Codec,
    received: &mut BytesMut,
) -> Result<Request, ProbeError> {
    loop {
        if let Some(message) = codec.decode(received).context(MalformedSnafu)? {
            return match message {
                Message::Item(request) if codec.message_type() == MessageType::None => Ok(request),
                Message::Item(_) | Message::Chunk(_) => HasBodySnafu.fail(),
            };
        }
        snafu::ensure!(received.len() <= MAX_HEAD_BYTES, HeadTooLongSnafu);
        let count = reader.read_buf(received).await.context(IoSnafu)?;
        snafu::ensure!(count > 0, ClosedSnafu);
    }
}
