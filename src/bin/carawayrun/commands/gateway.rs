//! `carawayrun gateway`.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use carawayrun::control::Event;
use carawayrun::node::{self, Handle};
use carawayrun::ops::why::Decisions;
use carawayrun::ops::{self, OperatorKey, OperatorListener, Operators, ParseOperatorKeyError};
use carawayrun::traffic::gateway::{self, Gateway, GatewaySettings, StopOutcome};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing::{info, warn};

use crate::error::CliError;
use crate::settings::{NodeFlags, node_flags};

/// Runs a gateway: serves callers over HTTP, and the operators' API
///
/// The first SIGTERM or SIGINT stops it gracefully, a second one immediately.
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
    /// Operators' names and digests of their keys, separated by commas
    #[bpaf(
        long,
        env("CARAWAYRUN_OPERATORS"),
        argument("NAME=DIGEST,.."),
        fallback(OperatorList::default())
    )]
    operators: OperatorList,
    /// Number of threads that serve callers
    #[bpaf(
        long,
        env("CARAWAYRUN_WORKERS"),
        argument("COUNT"),
        fallback(2),
        display_fallback,
        guard(is_positive, "give at least 1")
    )]
    workers: usize,
    /// Address of the rating service; answers are not rated if absent
    #[bpaf(long, env("CARAWAYRUN_RATER_ADDR"), argument("IP:PORT"), optional)]
    rater_addr: Option<SocketAddr>,
    /// Share of answers that are sent to the rating service
    #[bpaf(
        long,
        env("CARAWAYRUN_RATED_SHARE"),
        argument("SHARE"),
        fallback(0.1),
        display_fallback,
        guard(is_share, "give a number from 0 to 1")
    )]
    rated_share: f64,
    /// Maximum size of a request body, in bytes
    #[bpaf(
        long,
        env("CARAWAYRUN_MAX_BODY"),
        argument("BYTES"),
        fallback(4 * 1024 * 1024),
        display_fallback,
        guard(is_positive, "give at least 1")
    )]
    max_body: usize,
    /// Time for which a stopping gateway still accepts requests, in milliseconds
    #[bpaf(
        long,
        env("CARAWAYRUN_LINGER_MS"),
        argument("MS"),
        fallback(2_000),
        display_fallback
    )]
    linger_ms: u64,
    /// Maximum time to wait for requests in flight before stopping, in seconds
    #[bpaf(
        long,
        env("CARAWAYRUN_DRAIN_S"),
        argument("SECONDS"),
        fallback(120),
        display_fallback
    )]
    drain_s: u64,
}

/// Parsed value of `--operators`.
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
    /// Validates the cluster key, which the parser can't, without starting the gateway.
    pub(crate) fn check(&self) -> Result<(), CliError> {
        self.node.gateway().map(drop).map_err(CliError::usage)
    }
}

/// Runs the gateway until a signal stops it or its ledger is sealed.
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
    operators: &OperatorListener,
    handle: &Handle,
    signals: &mut Signals,
) -> Result<(), CliError> {
    let sealed = tokio::select! {
        () = signals.recv() => false,
        () = gateway.wait_for_ledger_seal() => true,
    };
    info!(name: "gateway.stopping", in_flight = gateway.in_flight(), sealed, "stopping");
    let outcome = tokio::select! {
        outcome = stop(gateway, handle, sealed) => outcome,
        () = signals.recv() => gateway.abort_outcome(),
    };
    log_outcome(&outcome);
    operators.stop().await;
    handle.close().await;
    if sealed {
        return Err(CliError::failed(
            "another gateway sealed this gateway's ledger; restart this gateway",
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
            "stopped before all requests had ended and all bills had been written"
        );
    } else {
        info!(name: "gateway.stopped", "stopped; no request was interrupted");
    }
}

/// Signals that stop the process.
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
    reason = "bpaf passes a reference to guards"
)]
fn is_positive(value: &usize) -> bool {
    *value > 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "bpaf passes a reference to guards"
)]
fn is_share(value: &f64) -> bool {
    (0.0..=1.0).contains(value)
}
