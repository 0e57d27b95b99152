//! The callers' listener, and stopping it without cutting a request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep, timeout};
use compact_str::CompactString;

use super::shared::{Shared, Worker};
use super::{handler, ratings};
use crate::http::{self, Listener, ServerOptions};
use crate::node::Handle;
use crate::ops::why::Decisions;
use crate::peer::Keys;

/// Time between two looks at the requests in flight.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time that the last bytes of answers get to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time between two looks whether the ledger is closed.
const SEAL_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for the last bills to be written.
const BILLING_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the listener's threads to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the callers' listener.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Address to listen on; port zero takes a free one.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Longest body of a caller, in bytes.
    pub max_body: usize,
    /// Name of the gateway's data centre.
    pub data_centre: CompactString,
    /// Keys shared by all nodes.
    pub keys: Keys,
    /// Address of the table service.
    pub table_addr: SocketAddr,
    /// Address of the rating service; answers are not rated where absent.
    pub rater_addr: Option<SocketAddr>,
    /// Share of answers that are given to the rating service, in 0..=1.
    pub rated_share: f64,
    /// Time in which a stopping gateway still takes requests, so that the
    /// balancer can see by `/health` that it is leaving.
    pub linger: Duration,
    /// Longest time a graceful stop waits for requests in flight.
    pub drain: Duration,
    /// Where the last decisions are kept.
    pub decisions: Arc<Decisions>,
}

/// How a gateway ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOutcome {
    /// Requests whose answer was cut.
    pub interrupted: u64,
    /// Bills that this gateway has not written; its agents hold what they
    /// need for them.
    pub unbilled: u64,
}

/// A running callers' listener.
#[derive(Debug)]
pub struct Gateway {
    listener: Listener,
    shared: Arc<Shared>,
    linger: Duration,
    drain: Duration,
}

/// Binds the callers' listener and starts serving.
///
/// # Errors
///
/// An [`io::Error`] where the address can't be bound.
pub fn bind(settings: &GatewaySettings, handle: Handle) -> io::Result<Gateway> {
    let shared = Arc::new(Shared::new(handle, settings));
    let options = ServerOptions {
        name: "callers",
        addr: settings.listen,
        workers: settings.workers,
        drain: settings.drain,
    };
    let worker_shared = Arc::clone(&shared);
    let listener = http::bind(&options, move || {
        let worker = Worker::new(Arc::clone(&worker_shared));
        move |request| handler::handle(worker.clone(), request)
    })?;
    actix_rt::spawn(ratings::poll(Arc::clone(&shared)));
    Ok(Gateway {
        listener,
        shared,
        linger: settings.linger,
        drain: settings.drain,
    })
}

impl Gateway {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Requests whose answer is not finished.
    pub fn in_flight(&self) -> u64 {
        self.shared.in_flight()
    }

    /// Waits until another gateway has closed this one's ledger.
    ///
    /// From then on this life can't bill, so it takes no work and has to end.
    pub async fn ledger_sealed(&self) {
        while !self.shared.handle.view().ledger.sealed {
            sleep(SEAL_POLL_PERIOD).await;
        }
    }

    /// Says by `/health` that the gateway is leaving, and serves on for the
    /// linger time, in which the balancer takes note.
    pub async fn linger(&self) {
        self.shared.set_leaving();
        sleep(self.linger).await;
    }

    /// Stops without cutting a request: refuses new requests, waits for those
    /// in flight up to the drain time, and for their bills.
    pub async fn stop(&self) -> StopOutcome {
        self.shared.set_leaving();
        self.shared.start_draining();
        let deadline = Instant::now() + self.drain;
        while self.shared.in_flight() > 0 && Instant::now() < deadline {
            sleep(DRAIN_POLL_PERIOD).await;
        }
        let interrupted = self.shared.in_flight();
        sleep(FLUSH_TIME).await;
        let _ = timeout(STOP_TIMEOUT, self.listener.stop(true)).await;
        let deadline = Instant::now() + BILLING_TIMEOUT;
        while self.unbilled() > 0 && Instant::now() < deadline {
            sleep(DRAIN_POLL_PERIOD).await;
        }
        StopOutcome {
            interrupted,
            unbilled: self.unbilled(),
        }
    }

    /// How it ends where it stops now.
    pub fn abort_outcome(&self) -> StopOutcome {
        StopOutcome {
            interrupted: self.shared.in_flight(),
            unbilled: self.unbilled(),
        }
    }

    fn unbilled(&self) -> u64 {
        let ledger = self.shared.handle.view().ledger;
        if ledger.sealed { 0 } else { ledger.unwritten }
    }
}
