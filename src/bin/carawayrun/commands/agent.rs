//! `carawayrun agent`.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use carawayrun::traffic::agent::{Agent, AgentSettings, spawn};
use compact_str::CompactString;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::CliError;
use crate::settings::{NodeFlags, node_flags};

/// Runs the agent of one upstream
///
/// SIGTERM or SIGINT drains the agent: it accepts no new runs and exits when the runs in
/// flight have ended, or after --drain-s. A second signal stops it immediately.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("agent"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external(node_flags), map(Box::new))]
    node: Box<NodeFlags>,
    /// Address to listen on for runs
    #[bpaf(
        long,
        env("CARAWAYRUN_LISTEN"),
        argument("IP:PORT"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
        display_fallback
    )]
    listen: SocketAddr,
    /// Address at which gateways reach the agent; default: the bound address
    #[bpaf(long, env("CARAWAYRUN_HTTP_ADDR"), argument("IP:PORT"), optional)]
    http_addr: Option<SocketAddr>,
    /// Name of the Upstream resource that the agent serves
    #[bpaf(
        long,
        env("CARAWAYRUN_UPSTREAM"),
        argument::<String>("NAME"),
        guard(|name| !name.is_empty(), "give the name of an Upstream resource"),
        map(CompactString::from)
    )]
    upstream: CompactString,
    /// URL of the upstream, as `http://IP:PORT`
    #[bpaf(
        long,
        env("CARAWAYRUN_UPSTREAM_URL"),
        argument::<String>("URL"),
        parse(|text: String| upstream_addr(&text))
    )]
    upstream_url: SocketAddr,
    /// Maximum number of runs that wait for a slot
    #[bpaf(
        long,
        env("CARAWAYRUN_QUEUE"),
        argument("N"),
        guard(|queue| (1..=100_000).contains(queue), "accepted are 1 to 100000"),
        fallback(256),
        display_fallback
    )]
    queue: usize,
    /// Maximum time to wait for runs in flight before stopping, in seconds
    #[bpaf(
        long,
        env("CARAWAYRUN_DRAIN_S"),
        argument("SECONDS"),
        guard(|seconds| (1..=3600).contains(seconds), "accepted are 1 to 3600"),
        fallback(120),
        display_fallback
    )]
    drain_s: u64,
}

impl Options {
    /// Validates the cluster key, which the parser can't, without starting the agent.
    pub(crate) fn check(&self) -> Result<(), CliError> {
        self.node
            .agent(&self.upstream, self.listen)
            .map(drop)
            .map_err(CliError::usage)
    }
}

pub(crate) fn exec(options: &Options) -> Result<(), CliError> {
    let node = options
        .node
        .agent(&options.upstream, options.listen)
        .map_err(CliError::usage)?;
    let settings = AgentSettings {
        node,
        listen: options.listen,
        http_addr: options.http_addr,
        upstream_addr: options.upstream_url,
        queue_limit: options.queue,
    };
    let drain_timeout = Duration::from_secs(options.drain_s);
    actix_rt::System::new().block_on(serve(settings, drain_timeout))
}

async fn serve(settings: AgentSettings, drain_timeout: Duration) -> Result<(), CliError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CliError::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CliError::failed)?;
    let agent = spawn(settings).map_err(CliError::failed)?;
    println!("listening on {}", agent.addr());
    recv_stop_signal(&mut terminate, &mut interrupt).await;
    let interrupted = tokio::select! {
        interrupted = agent.drain(drain_timeout) => interrupted,
        () = recv_stop_signal(&mut terminate, &mut interrupt) => agent.stop().await,
    };
    drain_result(&agent, interrupted)
}

fn drain_result(agent: &Agent, interrupted: usize) -> Result<(), CliError> {
    if interrupted == 0 {
        return Ok(());
    }
    let addr = agent.addr();
    Err(CliError::failed(format!(
        "{interrupted} runs in flight on {addr} were interrupted; increase --drain-s"
    )))
}

async fn recv_stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn upstream_addr(text: &str) -> Result<SocketAddr, String> {
    let addr = text.strip_prefix("http://").unwrap_or(text);
    addr.trim_end_matches('/')
        .parse()
        .map_err(|_| format!("`{text}` is not http://IP:PORT"))
}
