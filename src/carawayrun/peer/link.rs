//! Links to the other nodes: nng push and pull sockets over TCP.
//!
//! Every node listens on one pull socket, read by a dedicated thread, and sends
//! through one push socket per peer. Delivery is not guaranteed: messages are
//! dropped, and counted, if a peer's queue is full or the peer is unreachable.
//! The number of open push sockets is bounded; the least recently used one is
//! closed first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use nng::options::transport::tcp::BoundPort;
use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, RecvTimeout, SendBufferSize,
};
use nng::{Dialer, Listener, Protocol, Socket};
use rustc_hash::FxHashMap;
use snafu::{ResultExt, Snafu};

use super::codec::{Codec, MAX_MESSAGE_BYTES};
use super::message::Envelope;

/// Maximum number of open push sockets.
const MAX_SOCKETS: usize = 64;

/// Maximum number of messages queued for one peer.
const SEND_QUEUE: i32 = 64;

/// Shortest delay before a lost connection is opened again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a lost connection is opened again.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// Longest time for which the receiver waits without looking whether it stops.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Links of one node to its peers, owned by the control thread.
#[derive(Debug)]
pub struct Link {
    codec: Codec,
    pull: Socket,
    addr: SocketAddr,
    receiver: Option<JoinHandle<()>>,
    stopping: Arc<AtomicBool>,
    peers: FxHashMap<CompactString, Peer>,
    sends: u64,
    stats: Arc<LinkStats>,
}

/// Message and byte counts since the node's start.
#[derive(Debug, Default)]
pub struct LinkStats {
    /// Messages queued in nng.
    pub sent: AtomicU64,
    /// Bytes of the messages in `sent`.
    pub sent_bytes: AtomicU64,
    /// Messages that were dropped instead of sent.
    pub unsent: AtomicU64,
    /// Messages accepted by the handler.
    pub received: AtomicU64,
    /// Bytes of the messages in `received`.
    pub received_bytes: AtomicU64,
    /// Messages that were forged, malformed or declined by the handler for lack
    /// of room.
    pub refused: AtomicU64,
}

/// Handles a received envelope; returns false if there is no room for it.
pub type EnvelopeHandler = Box<dyn FnMut(Envelope) -> bool + Send>;

/// Error of opening the listener.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("can't listen for peers on {addr}: {source}; give a free address of this host"))]
pub struct BindError {
    addr: SocketAddr,
    source: nng::Error,
}

#[derive(Debug)]
struct Peer {
    socket: Socket,
    _dialer: Dialer,
    last_used: u64,
}

impl Link {
    /// Listens on `addr` and passes every authentic envelope to `handler`, on a
    /// dedicated thread.
    ///
    /// # Errors
    ///
    /// Returns a [`BindError`] if the node can't listen on the address.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be started.
    pub fn bind(
        addr: SocketAddr,
        codec: Codec,
        handler: EnvelopeHandler,
    ) -> Result<Self, BindError> {
        let stats = Arc::new(LinkStats::default());
        let stopping = Arc::new(AtomicBool::new(false));
        let (pull, bound) = listen(addr).context(BindSnafu { addr })?;
        let receiver = Receiver {
            socket: pull.clone(),
            stopping: Arc::clone(&stopping),
            codec: codec.clone(),
            stats: Arc::clone(&stats),
            handler,
        };
        let receive_thread = thread::Builder::new()
            .name("peer-receive".into())
            .spawn(move || receiver.run())
            .expect("the system can start a thread");
        Ok(Self {
            codec,
            pull,
            addr: bound,
            receiver: Some(receive_thread),
            stopping,
            peers: FxHashMap::default(),
            sends: 0,
            stats,
        })
    }

    /// Returns the address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }

    /// Sends an envelope to the node that listens on `addr`, without a
    /// guarantee of delivery.
    pub fn send(&mut self, addr: &str, envelope: &Envelope) {
        let Ok(sealed) = self.codec.encode(envelope) else {
            self.stats.unsent.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let sent = self
            .connect(addr)
            .is_some_and(|peer| enqueue(peer, &sealed));
        let length = sealed.len() as u64;
        if sent {
            self.stats.sent.fetch_add(1, Ordering::Relaxed);
            self.stats.sent_bytes.fetch_add(length, Ordering::Relaxed);
        } else {
            self.stats.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn connect(&mut self, addr: &str) -> Option<&Peer> {
        self.sends += 1;
        if !self.peers.contains_key(addr) {
            self.evict_least_recently_used();
            let peer = dial(addr).ok()?;
            self.peers.insert(addr.into(), peer);
        }
        let peer = self.peers.get_mut(addr)?;
        peer.last_used = self.sends;
        Some(peer)
    }

    fn evict_least_recently_used(&mut self) {
        if self.peers.len() < MAX_SOCKETS {
            return;
        }
        let least_recent = self.peers.iter().min_by_key(|(_, peer)| peer.last_used);
        if let Some(addr) = least_recent.map(|(addr, _)| addr.clone()) {
            self.peers.remove(&addr);
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        // nng never ends a receive that begins while its socket closes, so the
        // receiver ends first.
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(receiver) = self.receiver.take() {
            let _ = receiver.join();
        }
        self.pull.close();
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.socket.close();
    }
}

fn listen(addr: SocketAddr) -> nng::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.set_opt::<RecvTimeout>(Some(RECEIVE_TIMEOUT))?;
    let listener = Listener::new(&socket, &format!("tcp://{addr}"))?;
    // nng reports its address with the port in the wrong byte order, so the
    // port is read by itself.
    let port = listener.get_opt::<BoundPort>()?;
    let bound = SocketAddr::new(addr.ip(), port);
    Ok((socket, bound))
}

fn dial(addr: &str) -> nng::Result<Peer> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE)?;
    socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))?;
    socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))?;
    let dialer = Dialer::new(&socket, &format!("tcp://{addr}"), true)?;
    Ok(Peer {
        socket,
        _dialer: dialer,
        last_used: 0,
    })
}

fn enqueue(peer: &Peer, sealed: &[u8]) -> bool {
    peer.socket.try_send(sealed).is_ok()
}

struct Receiver {
    socket: Socket,
    stopping: Arc<AtomicBool>,
    codec: Codec,
    stats: Arc<LinkStats>,
    handler: EnvelopeHandler,
}

impl Receiver {
    fn run(mut self) {
        while !self.stopping.load(Ordering::Relaxed) {
            match self.socket.recv() {
                Ok(message) => self.handle_message(&message),
                Err(nng::Error::TimedOut) => {}
                Err(_) => self.count_refused(),
            }
        }
    }

    fn handle_message(&mut self, message: &nng::Message) {
        let length = message.len() as u64;
        let decoded = self.codec.decode(Bytes::copy_from_slice(message));
        let accepted = decoded.is_ok_and(|envelope| (self.handler)(envelope));
        if !accepted {
            self.count_refused();
            return;
        }
        self.stats.received.fetch_add(1, Ordering::Relaxed);
        self.stats
            .received_bytes
            .fetch_add(length, Ordering::Relaxed);
    }

    fn count_refused(&self) {
        self.stats.refused.fetch_add(1, Ordering::Relaxed);
    }
}
