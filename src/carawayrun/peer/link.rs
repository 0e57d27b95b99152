//! Links to the other nodes: nng push and pull sockets over TCP.
//!
//! Every node listens with one pull socket, read by a thread of its own, and
//! sends through one push socket per peer. Messages may be lost: they are
//! dropped, and counted, where a peer's queue is full or the peer is away. The
//! number of open push sockets is bounded; the least recently used is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use nng::options::transport::tcp::BoundPort;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Dialer, Listener, Protocol, Socket};
use rustc_hash::FxHashMap;
use snafu::{ResultExt, Snafu};

use super::codec::{Codec, MAX_MESSAGE_BYTES};
use super::message::Envelope;

/// Most open push sockets.
const MAX_SOCKETS: usize = 64;

/// Most messages that wait for one peer.
const SEND_QUEUE: i32 = 64;

/// Shortest time before a lost connection is tried again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);

/// Longest time before a lost connection is tried again.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// Links of one node; belongs to the control thread.
#[derive(Debug)]
pub struct Link {
    codec: Codec,
    pull: Socket,
    addr: SocketAddr,
    receiver: Option<JoinHandle<()>>,
    peers: FxHashMap<CompactString, Peer>,
    uses: u64,
    stats: Arc<LinkStats>,
}

/// Counts of a link since its start.
#[derive(Debug, Default)]
pub struct LinkStats {
    /// Messages handed to nng.
    pub sent: AtomicU64,
    /// Bytes of these.
    pub sent_bytes: AtomicU64,
    /// Messages that could not be sent.
    pub unsent: AtomicU64,
    /// Messages taken in.
    pub received: AtomicU64,
    /// Bytes of these.
    pub received_bytes: AtomicU64,
    /// Messages that were forged, malformed or too many to take in.
    pub refused: AtomicU64,
}

/// What becomes of a received envelope: false where there is no room for it.
pub type EnvelopeHandler = Box<dyn FnMut(Envelope) -> bool + Send>;

/// A listener that could not be opened.
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
    used: u64,
}

impl Link {
    /// Listens on `addr` and gives every authentic envelope to `receive`, on a
    /// thread of its own.
    ///
    /// # Errors
    ///
    /// [`BindError`] where the address can't be listened on.
    ///
    /// # Panics
    ///
    /// Where the system gives no thread.
    pub fn bind(
        addr: SocketAddr,
        codec: Codec,
        receive: EnvelopeHandler,
    ) -> Result<Self, BindError> {
        let stats = Arc::new(LinkStats::default());
        let (pull, bound) = listen(addr).context(BindSnafu { addr })?;
        let inbound = Inbound {
            socket: pull.clone(),
            codec: codec.clone(),
            stats: Arc::clone(&stats),
            receive,
        };
        let receiver = thread::Builder::new()
            .name("peer-receive".into())
            .spawn(move || inbound.run())
            .expect("the system can start a thread");
        Ok(Self {
            codec,
            pull,
            addr: bound,
            receiver: Some(receiver),
            peers: FxHashMap::default(),
            uses: 0,
            stats,
        })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Counts since the start.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }

    /// Sends an envelope to the node that listens on `addr`; may be lost.
    pub fn send(&mut self, addr: &str, envelope: &Envelope) {
        let Ok(sealed) = self.codec.encode(envelope) else {
            self.stats.unsent.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let sent = self.peer(addr).is_some_and(|peer| push(peer, &sealed));
        let length = sealed.len() as u64;
        if sent {
            self.stats.sent.fetch_add(1, Ordering::Relaxed);
            self.stats.sent_bytes.fetch_add(length, Ordering::Relaxed);
        } else {
            self.stats.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn peer(&mut self, addr: &str) -> Option<&Peer> {
        self.uses += 1;
        if !self.peers.contains_key(addr) {
            self.make_room();
            let peer = dial(addr).ok()?;
            self.peers.insert(addr.into(), peer);
        }
        let peer = self.peers.get_mut(addr)?;
        peer.used = self.uses;
        Some(peer)
    }

    fn make_room(&mut self) {
        if self.peers.len() < MAX_SOCKETS {
            return;
        }
        let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.used);
        if let Some(addr) = oldest.map(|(addr, _)| addr.clone()) {
            self.peers.remove(&addr);
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.pull.close();
        if let Some(receiver) = self.receiver.take() {
            let _ = receiver.join();
        }
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
    let listener = Listener::new(&socket, &format!("tcp://{addr}"))?;
    // The address that nng reports has its port in the wrong byte order.
    let port = listener.get_opt::<BoundPort>()?;
    let bound = SocketAddr::new(addr.ip(), port);
    Ok((socket, bound))
}

fn dial(addr: &str) -> nng::Result<Peer> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    let dialer = Dialer::new(&socket, &format!("tcp://{addr}"), true)?;
    Ok(Peer {
        socket,
        _dialer: dialer,
        used: 0,
    })
}

fn push(peer: &Peer, sealed: &[u8]) -> bool {
    peer.socket.try_send(sealed).is_ok()
}

struct Inbound {
    socket: Socket,
    codec: Codec,
    stats: Arc<LinkStats>,
    receive: EnvelopeHandler,
}

impl Inbound {
    fn run(mut self) {
        loop {
            match self.socket.recv() {
                Ok(message) => self.take(&message),
                Err(nng::Error::Closed) => return,
                Err(_) => self.refuse(),
            }
        }
    }

    fn take(&mut self, message: &nng::Message) {
        let length = message.len() as u64;
        let decoded = self.codec.decode(Bytes::copy_from_slice(message));
        let taken = decoded.is_ok_and(|envelope| (self.receive)(envelope));
        if !taken {
            self.refuse();
            return;
        }
        self.stats.received.fetch_add(1, Ordering::Relaxed);
        self.stats
            .received_bytes
            .fetch_add(length, Ordering::Relaxed);
    }

    fn refuse(&self) {
        self.stats.refused.fetch_add(1, Ordering::Relaxed);
    }
}
