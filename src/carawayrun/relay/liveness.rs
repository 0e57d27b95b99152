//! Detection of peers that no longer answer while bytes for them are outstanding.
//!
//! Load pattern: a host behind a partition answers nothing, not even with a reset, while a
//! peer that reads slowly acknowledges each probe of its closed window. `TCP_USER_TIMEOUT`
//! closes the connections of both. The kernel's counts tell them apart: a slow reader's
//! acknowledgements go on. Idle connections are covered by keepalive probes. A kernel that
//! does not tell when a peer last answered leaves `TCP_USER_TIMEOUT` in force.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::GetStruct;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// Time without an acknowledgement, from the check that first found one to be due, after
/// which a peer is silent.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Interval between checks, and time from a write to the first one.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Granularity of the kernel's times.
const TICK: Duration = Duration::from_millis(10);

/// Time without progress after which the kernel closes a connection, where it doesn't tell
/// when a peer last answered.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time of a connection after which the kernel has a time to tell.
const IDLE_TIME: Duration = Duration::from_millis(20);

/// Set once the kernel is known to tell when a peer last answered.
static TELLS_TIMES: AtomicBool = AtomicBool::new(false);

/// Length of the part of the kernel's `struct tcp_info` that is read.
const INFO_BYTES: usize = 148;

/// Offsets of fields in it: `tcpi_probes`, `tcpi_unacked`, `tcpi_last_ack_recv` and
/// `tcpi_notsent_bytes`.
const PROBES: usize = 3;
const UNACKED: usize = 24;
const LAST_ACK_RECV: usize = 56;
const NOTSENT_BYTES: usize = 144;

#[derive(Debug, Clone, Copy)]
struct TcpInfo;

nix::getsockopt_impl!(
    TcpInfo,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u8; INFO_BYTES],
    GetStruct<[u8; INFO_BYTES]>
);

/// What the kernel tells of the bytes that a connection has sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendState {
    /// Segments that the peer has not acknowledged.
    pub unacknowledged: u32,
    /// Probes of a closed window since the last acknowledgement.
    pub probes: u8,
    /// Bytes that the peer's window has no room for yet.
    pub unsent: u32,
    /// Time since the last acknowledgement.
    pub since_answer: Duration,
}

impl SendState {
    fn read(stream: &TcpStream) -> io::Result<Self> {
        let info = getsockopt(stream, TcpInfo)?;
        let number = |at: usize| {
            let bytes = info[at..at + 4].try_into();
            bytes.map_or(0, u32::from_ne_bytes)
        };
        Ok(Self {
            unacknowledged: number(UNACKED),
            probes: info[PROBES],
            unsent: number(NOTSENT_BYTES),
            since_answer: Duration::from_millis(number(LAST_ACK_RECV).into()),
        })
    }
}

/// Finds out whether the kernel tells when a peer last answered, on an idle connection of
/// this process to itself. Call it before the first connection: where the kernel doesn't,
/// the connections of peers that read nothing for [`USER_TIMEOUT`] are closed.
pub(crate) async fn detect_support() {
    let detect = async || {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let stream = TcpStream::connect(listener.local_addr()?).await?;
        sleep(IDLE_TIME).await;
        let state = SendState::read(&stream)?;
        io::Result::Ok(!state.since_answer.is_zero())
    };
    match detect().await {
        Ok(true) => TELLS_TIMES.store(true, Ordering::Relaxed),
        Ok(false) => {
            tracing::info!("the kernel doesn't tell when peers answer; slow readers may be cut");
        }
        Err(error) => {
            tracing::warn!(%error, "failed to ask the kernel when peers answer; slow readers may be cut");
        }
    }
}

/// Verdict on a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// All that was written is acknowledged.
    Acknowledged,
    /// Bytes are outstanding, and the peer may still answer.
    Outstanding,
    /// The peer doesn't answer.
    Silent,
}

/// Judges from successive states whether a peer still answers. Times are on the caller's
/// clock.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    /// Time at which an acknowledgement was first found to be due.
    due_since: Option<Duration>,
}

impl SilenceDetector {
    /// Takes the state at `now`.
    pub fn observe(&mut self, state: &SendState, now: Duration) -> Liveness {
        if state.unacknowledged == 0 && state.unsent == 0 {
            self.due_since = None;
            return Liveness::Acknowledged;
        }
        // With a closed window, an answer is due once a probe was sent.
        if state.unacknowledged == 0 && state.probes == 0 {
            self.due_since = None;
            return Liveness::Outstanding;
        }
        let answered = now.saturating_sub(state.since_answer);
        let since = self.due_since.filter(|since| answered <= *since + TICK);
        let since = *self.due_since.insert(since.unwrap_or(now));
        if now.saturating_sub(since) >= SILENCE_LIMIT {
            Liveness::Silent
        } else {
            Liveness::Outstanding
        }
    }
}

/// Watches the peer of a connection from a write until all is acknowledged.
#[derive(Debug)]
pub(crate) struct PeerWatch {
    detector: RefCell<SilenceDetector>,
    opened: Instant,
    next_check: Cell<Option<Instant>>,
    written: Notify,
}

impl PeerWatch {
    /// Prepares a new connection, to which nothing was written yet.
    pub(crate) fn open(stream: &TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        // With one unanswered probe, an idle connection is closed as early as another.
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(1);
        socket.set_tcp_keepalive(&keepalive)?;
        if !TELLS_TIMES.load(Ordering::Relaxed) {
            socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        }
        Ok(Self {
            detector: RefCell::default(),
            opened: Instant::now(),
            next_check: Cell::default(),
            written: Notify::new(),
        })
    }

    /// Records that bytes were written.
    pub(crate) fn record_write(&self) {
        if self.next_check.get().is_none() {
            self.next_check.set(Some(Instant::now() + CHECK_INTERVAL));
            self.written.notify_one();
        }
    }

    /// Completes once the peer doesn't answer.
    pub(crate) async fn silenced(&self, stream: &TcpStream) {
        if !TELLS_TIMES.load(Ordering::Relaxed) {
            // The kernel's own timeout is in force.
            pending::<()>().await;
        }
        loop {
            let Some(at) = self.next_check.get() else {
                self.written.notified().await;
                continue;
            };
            sleep_until(at).await;
            let Ok(state) = SendState::read(stream) else {
                // The next read or write tells why.
                self.next_check.set(None);
                continue;
            };
            let now = Instant::now();
            let age = now.saturating_duration_since(self.opened);
            let liveness = self.detector.borrow_mut().observe(&state, age);
            self.next_check.set(match liveness {
                Liveness::Acknowledged => None,
                Liveness::Outstanding => Some(now + CHECK_INTERVAL),
                Liveness::Silent => return,
            });
        }
    }
}
