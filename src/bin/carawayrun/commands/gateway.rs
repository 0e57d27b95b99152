//! `carawayrun gateway`.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use carawayrun::control::Event;
use carawayrun::http::Listener;
use carawayrun::node::{self, Handle};
use carawayrun::ops::why::Decisions;
use carawayrun::ops::{self, OperatorKey, Operators, ParseOperatorKeyError};
use carawayrun::traffic::gateway::{self, Gateway, GatewaySettings, StopOutcome};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing::{info, warn};

use crate::error::CliError;
use crate::settings::{NodeFlags, node_flags};

/// Runs an entry host's process: callers' HTTP and the operators' API
///
/// The first SIGTERM or SIGINT stops it gracefully; the second one at once.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("gateway"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external(node_flags))]
    node: NodeFlags,
    /// Address to listen on for callers
    #[bpaf(
        long,
        env("CARAWAYRUN_LISTEN"),
        argument("IP:PORT"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
        display_fallback
    )]
    listen: SocketAddr,
    /// Address to listen on for operators
    #[bpaf(
        long,
        env("CARAWAYRUN_OPERATOR_LISTEN"),
        argument("IP:PORT"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
        display_fallback
    )]
    operator_listen: SocketAddr,
    /// Operators' names and digests of their keys, divided by commas
    #[bpaf(
        long,
        env("CARAWAYRUN_OPERATORS"),
        argument("NAME=DIGEST,.."),
        fallback(OperatorList::default())
    )]
    operators: OperatorList,
    /// Threads that serve callers
    #[bpaf(
        long,
        env("CARAWAYRUN_WORKERS"),
        argument("COUNT"),
        fallback(2),
        display_fallback,
        guard(is_positive, "give at least 1")
    )]
    workers: usize,
    /// Address of the rating service; answers are not rated where absent
    #[bpaf(long, env("CARAWAYRUN_RATER_ADDR"), argument("IP:PORT"), optional)]
    rater_addr: Option<SocketAddr>,
    /// Share of answers that are given to the rating service
    #[bpaf(
        long,
        env("CARAWAYRUN_RATED_SHARE"),
        argument("SHARE"),
        fallback(0.1),
        display_fallback,
        guard(is_share, "give a number from 0 to 1")
    )]
    rated_share: f64,
    /// Longest body of a caller, in bytes
    #[bpaf(
        long,
        env("CARAWAYRUN_MAX_BODY"),
        argument("BYTES"),
        fallback(4 * 1024 * 1024),
        display_fallback,
        guard(is_positive, "give at least 1")
    )]
    max_body: usize,
    /// Time in which a stopping gateway still takes requests, in milliseconds
    #[bpaf(
        long,
        env("CARAWAYRUN_LINGER_MS"),
        argument("MS"),
        fallback(2_000),
        display_fallback
    )]
    linger_ms: u64,
    /// Longest time a graceful stop waits for requests in flight, in seconds
    #[bpaf(
        long,
        env("CARAWAYRUN_DRAIN_S"),
        argument("SECONDS"),
        fallback(120),
        display_fallback
    )]
    drain_s: u64,
}

/// Keys of operators as the flag gives them.
#[derive(Debug, Clone, Default)]
struct OperatorList(Vec<OperatorKey>);

impl FromStr for OperatorList {
    type Err = ParseOperatorKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let keys = text.split(',').filter(|key| !key.is_empty());
        keys.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

impl Options {
    /// Checks what the parser can't, without starting anything.
    pub(crate) fn check(&self) -> Result<(), CliError> {
        self.node.gateway().map(drop).map_err(CliError::usage)
    }
}

/// Runs the process until it is told to stop.
pub(crate) fn exec(options: &Options) -> Result<(), CliError> {
    actix_rt::System::new().block_on(serve(options))
}

async fn serve(options: &Options) -> Result<(), CliError> {
    let settings = options.node.gateway().map_err(CliError::usage)?;
    let table_addr = settings.platform.table_addr;
    let keys = settings.keys.clone();
    let data_centre = settings.data_centre.clone();
    let mut signals = Signals::open().map_err(CliError::failed)?;
    let handle = node::spawn(settings).map_err(CliError::failed)?;
    let decisions = Arc::new(Decisions::default());
    let gateway_settings = GatewaySettings {
        listen: options.listen,
        workers: options.workers,
        max_body: options.max_body,
        data_centre,
        keys,
        table_addr,
        rater_addr: options.rater_addr,
        rated_share: options.rated_share,
        linger: Duration::from_millis(options.linger_ms),
        drain: Duration::from_secs(options.drain_s),
        decisions: Arc::clone(&decisions),
    };
    let gateway = gateway::bind(&gateway_settings, handle.clone()).map_err(CliError::failed)?;
    let operator_settings = ops::Options {
        addr: options.operator_listen,
        drain: Duration::from_secs(options.drain_s),
        operators: Operators::new(options.operators.0.clone()),
        table_addr,
        decisions,
    };
    let operators = ops::bind(handle.clone(), operator_settings).map_err(CliError::failed)?;
    info!(
        name: "gateway.ready",
        node = %handle.view().node,
        callers = %gateway.addr(),
        operators = %operators.addr(),
        peers = %handle.peer_addr(),
        "ready"
    );
    serve_until_stopped(&gateway, &operators, &handle, &mut signals).await
}

async fn serve_until_stopped(
    gateway: &Gateway,
    operators: &Listener,
    handle: &Handle,
    signals: &mut Signals,
) -> Result<(), CliError> {
    let sealed = tokio::select! {
        () = signals.recv() => false,
        () = gateway.ledger_sealed() => true,
    };
    info!(name: "gateway.stopping", in_flight = gateway.in_flight(), sealed, "stopping");
    let outcome = tokio::select! {
        outcome = stop(gateway, handle, sealed) => outcome,
        () = signals.recv() => gateway.abort_outcome(),
    };
    log_outcome(&outcome);
    operators.stop(false).await;
    handle.close().await;
    if sealed {
        return Err(CliError::failed(
            "another gateway closed this one's ledger; start it again",
        ));
    }
    Ok(())
}

async fn stop(gateway: &Gateway, handle: &Handle, sealed: bool) -> StopOutcome {
    if !sealed {
        gateway.linger().await;
    }
    handle.post(Event::StopRequested);
    gateway.stop().await
}

fn log_outcome(outcome: &StopOutcome) {
    if outcome.interrupted > 0 || outcome.unbilled > 0 {
        warn!(
            name: "gateway.cut",
            cut = outcome.interrupted,
            unbilled = outcome.unbilled,
            "stopped before all requests had ended and all bills were written"
        );
    } else {
        info!(name: "gateway.stopped", "stopped; no request was cut");
    }
}

/// The signals that stop the process.
struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    fn open() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the parser passes a reference"
)]
fn is_positive(value: &usize) -> bool {
    *value > 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the parser passes a reference"
)]
fn is_share(value: &f64) -> bool {
    (0.0..=1.0).contains(value)
}
