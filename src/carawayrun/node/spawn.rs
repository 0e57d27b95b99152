//! Start of the control thread.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread;

use actix_rt::time::Instant;
use arc_swap::ArcSwap;
use compact_str::ToCompactString;
use jiff::Timestamp;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

use super::claim_tickets::ClaimTickets;
use super::counters::Counters;
use super::handle::{Handle, Input};
use super::run::Runtime;
use super::settings::NodeSettings;
use crate::control::{Identity, State, View};
use crate::peer::{BindError, Codec, Link, NodeId};

/// Capacity of the queue of received messages; further ones are dropped.
const RECEIVE_QUEUE: usize = 4096;

/// Error of starting a node.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SpawnError {
    /// The listener for peers could not be opened.
    #[snafu(display("{source}"))]
    Bind {
        /// Cause.
        source: BindError,
    },
    /// The socket for counters could not be opened.
    #[snafu(display("can't open a socket for counters: {source}"))]
    Counters {
        /// Cause.
        source: io::Error,
    },
    /// The control thread could not be started.
    #[snafu(display("can't start the control thread: {source}"))]
    Thread {
        /// Cause.
        source: io::Error,
    },
}

/// Opens the listener for peers and starts the control thread.
///
/// # Errors
///
/// Returns a [`SpawnError`] if the listener or the socket for counters can't be
/// opened, or the thread can't be started.
pub fn spawn(settings: NodeSettings) -> Result<Handle, SpawnError> {
    let (inputs, events) = mpsc::unbounded_channel::<Input>();
    let (messages, received) = mpsc::channel(RECEIVE_QUEUE);
    let receive = Box::new(move |envelope| messages.try_send(envelope).is_ok());
    let counters = Counters::open(settings.statsd_addr, &settings.name).context(CountersSnafu)?;
    let codec = Codec::new(settings.keys.clone());
    let link = Link::bind(settings.peer_listen, codec, receive).context(BindSnafu)?;
    let platform = settings.platform;
    let identity = node_identity(settings, link.addr());
    let view = Arc::new(ArcSwap::from_pointee(View::empty(identity.node.clone())));
    let started = Instant::now();
    let fresh_until = Arc::new(AtomicU64::new(0));
    let handle = Handle {
        view: Arc::clone(&view),
        inputs: inputs.clone(),
        peer_addr: link.addr(),
        counters: counters.clone(),
        started,
        fresh_until: Arc::clone(&fresh_until),
    };
    let seed = SmallRng::from_os_rng().next_u64();
    let make_runtime = move || Runtime {
        state: State::new(identity, seed),
        link,
        view,
        inputs,
        counters,
        platform,
        started,
        fresh_until,
        tickets: ClaimTickets::default(),
        upstream: None,
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(move || actix_rt::System::new().block_on(make_runtime().run(events, received)))
        .context(ThreadSnafu)?;
    Ok(handle)
}

fn node_identity(settings: NodeSettings, bound: SocketAddr) -> Identity {
    let peer_addr = settings.peer_addr.unwrap_or(bound);
    let started = Timestamp::now().as_microsecond();
    Identity {
        node: NodeId {
            name: settings.name,
            incarnation: u64::try_from(started).unwrap_or_default(),
        },
        role: settings.role,
        data_centre: settings.data_centre,
        peer_addr: peer_addr.to_compact_string(),
        http_addr: settings.http_addr,
        upstream: settings.upstream,
    }
}
