//! The agent's listener, and starting and stopping the agent.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Method, Request, Response, StatusCode};
use actix_rt::time::{Instant, sleep};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::stream::poll_fn;
use prost::Message;
use snafu::{ResultExt, Snafu};
use tracing::{error, info, warn};

use super::frames::FrameWriter;
use super::run::execute;
use super::settle::settle;
use super::upstream::UpstreamClient;
use super::worker::{AgentStatus, Worker, WorkerParts};
use crate::control::Event;
use crate::http::{Listener, ServerOptions, read_body, serve, stream, text};
use crate::node::{self, Handle, NodeSettings, SpawnError};
use crate::peer::Keys;
use crate::peer::message::{Run, Settle};

/// Longest body of a run, in bytes.
const MAX_RUN_BYTES: usize = 20 << 20;

/// Time between two checks of the runs in flight while draining.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time limit for connections to close after the last run.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for the runs that a stop ends to say so.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the last frames to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);

const FRAMES_TYPE: &str = "application/octet-stream";

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Settings of the node; [`spawn`] sets their HTTP address.
    pub node: NodeSettings,
    /// Address to listen on for runs; port zero takes a free one.
    pub listen: SocketAddr,
    /// Address under which gateways reach the agent; the bound address if
    /// absent.
    pub http_addr: Option<SocketAddr>,
    /// Address of the upstream.
    pub upstream_addr: SocketAddr,
    /// Most runs that wait for a slot.
    pub queue_limit: usize,
}

/// Error while starting an agent.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SpawnAgentError {
    /// The listener could not be opened.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// Address to listen on.
        addr: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The node could not be started.
    #[snafu(display("{source}"))]
    Node {
        /// Cause.
        source: SpawnError,
    },
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    handle: Handle,
    listener: Listener,
    status: Arc<AgentStatus>,
}

/// Binds the listener, starts the node and serves runs.
///
/// # Errors
///
/// Returns a [`SpawnAgentError`] if the listener can't be opened or the node
/// can't be started.
pub fn spawn(settings: AgentSettings) -> Result<Agent, SpawnAgentError> {
    let addr = settings.listen;
    let socket = TcpListener::bind(addr).context(ListenSnafu { addr })?;
    let bound = socket.local_addr().context(ListenSnafu { addr })?;
    let mut node = settings.node;
    node.http_addr = CompactString::from(settings.http_addr.unwrap_or(bound).to_string());
    let upstream = node.upstream.clone();
    let keys = node.keys.clone();
    let handle = node::spawn(node).context(NodeSnafu)?;
    let status = Arc::new(AgentStatus::default());
    let factory = WorkerFactory {
        handle: handle.clone(),
        keys,
        upstream,
        upstream_addr: settings.upstream_addr,
        queue_limit: settings.queue_limit,
        status: Arc::clone(&status),
    };
    let options = ServerOptions {
        name: "agent",
        addr: bound,
        workers: 1,
        drain: CLOSE_TIMEOUT,
    };
    let listener = serve(socket, &options, move || {
        let worker = Worker::start(factory.take_parts());
        move |request| handle_request(Rc::clone(&worker), request)
    })
    .context(ListenSnafu { addr })?;
    Ok(Agent {
        handle,
        listener,
        status,
    })
}

impl Agent {
    /// Returns the address on which the agent accepts runs.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the handle of the agent's control state.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Stops gracefully: refuses new runs, and waits up to `limit` for the runs
    /// in flight. Returns the number of runs that were interrupted.
    pub async fn drain(&self, limit: Duration) -> usize {
        info!(name: "agent.draining", in_flight = self.in_flight());
        self.status.draining.store(true, Ordering::Relaxed);
        self.handle.post(Event::StopRequested);
        self.wait_for_runs(limit).await;
        self.stop().await
    }

    /// Stops at once: the runs in flight are refused or fail, and their gateways are
    /// told whether they ran. Returns the number of runs that were interrupted.
    pub async fn stop(&self) -> usize {
        let interrupted = self.in_flight();
        if interrupted > 0 {
            warn!(name: "agent.cut", runs = interrupted);
            self.status.draining.store(true, Ordering::Relaxed);
            self.status.ended.cancel();
            self.wait_for_runs(END_TIMEOUT).await;
            sleep(FLUSH_TIME).await;
        }
        self.listener.stop(interrupted == 0).await;
        self.handle.close().await;
        interrupted
    }

    // Waits until no run is in flight, for at most `limit`.
    async fn wait_for_runs(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while self.in_flight() > 0 && Instant::now() < end {
            sleep(DRAIN_POLL_PERIOD).await;
        }
    }

    fn in_flight(&self) -> usize {
        self.status.in_flight.load(Ordering::Relaxed)
    }
}

// Creates the parts of the worker when the agent's thread starts.
#[derive(Clone)]
struct WorkerFactory {
    handle: Handle,
    keys: Keys,
    upstream: CompactString,
    upstream_addr: SocketAddr,
    queue_limit: usize,
    status: Arc<AgentStatus>,
}

impl WorkerFactory {
    // Aborts the process if the listener starts a second thread: that thread
    // would have an empty run ledger and dispatch again what the first one ran.
    fn take_parts(&self) -> WorkerParts {
        if self.status.started.swap(true, Ordering::Relaxed) {
            error!(
                name: "agent.thread_lost",
                "the agent's thread ended and its run ledger is lost, aborting",
            );
            std::process::abort();
        }
        WorkerParts {
            handle: self.handle.clone(),
            keys: self.keys.clone(),
            upstream: self.upstream.clone(),
            client: UpstreamClient::new(self.upstream_addr),
            queue_limit: self.queue_limit,
            status: Arc::clone(&self.status),
        }
    }
}

async fn handle_request(worker: Rc<Worker>, mut request: Request) -> Response<BoxBody> {
    match (request.method(), request.path()) {
        (&Method::POST, "/v1/run") => match read_sealed::<Run>(&worker, &mut request).await {
            Ok(run) => start_run(worker, run),
            Err(refusal) => refusal,
        },
        (&Method::POST, "/v1/settle") => match read_sealed::<Settle>(&worker, &mut request).await {
            Ok(question) => {
                let settled = settle(&worker, &question);
                let body = Bytes::from(settled.encode_to_vec());
                Response::with_body(StatusCode::OK, body.boxed())
            }
            Err(refusal) => refusal,
        },
        (&Method::GET, "/health") => text(StatusCode::OK, "ok\n"),
        _ => text(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

// Reads, verifies and decodes a sealed message of a gateway.
async fn read_sealed<M: Message + Default>(
    worker: &Worker,
    request: &mut Request,
) -> Result<M, Response<BoxBody>> {
    let refuse = |status, message: String| text(status, message + "\n");
    let sealed = read_body(request.take_payload(), MAX_RUN_BYTES)
        .await
        .map_err(|error| refuse(StatusCode::BAD_REQUEST, error.to_string()))?;
    let payload = worker
        .keys
        .open(sealed)
        .map_err(|error| refuse(StatusCode::FORBIDDEN, error.to_string()))?;
    M::decode(payload).map_err(|error| refuse(StatusCode::BAD_REQUEST, error.to_string()))
}

// Spawns a task for the run, so that it ends in order even if the gateway drops
// the connection.
fn start_run(worker: Rc<Worker>, run: Run) -> Response<BoxBody> {
    let (writer, mut receiver) = FrameWriter::channel(&run);
    actix_rt::spawn(execute(worker, run, writer));
    let frames = poll_fn(move |context| receiver.poll_recv(context));
    stream(StatusCode::OK, FRAMES_TYPE, frames.map(Ok::<_, Infallible>))
}
