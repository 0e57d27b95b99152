//! The callers' listener and its graceful stop.

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

/// Time between two checks for requests in flight or unwritten bills during a
/// stop.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum wait for the requests that a stop ends.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the last bytes of answers to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time between two checks whether the ledger is sealed.
const SEAL_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Maximum wait for the last bills to be written.
const BILLING_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum wait for the listener's threads to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the callers' listener.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Address to listen on; port zero selects a free port.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Name of the gateway's data centre.
    pub data_centre: CompactString,
    /// Keys shared by all nodes.
    pub keys: Keys,
    /// Address of the table service.
    pub table_addr: SocketAddr,
    /// Address of the rating service; without one, answers are not rated.
    pub rater_addr: Option<SocketAddr>,
    /// Share of answers that are rated although no gate requires it, in 0..=1.
    pub rated_share: f64,
    /// Time for which a stopping gateway still accepts requests, so that the
    /// load balancer can see by `/health` that it is leaving.
    pub linger: Duration,
    /// Maximum time that a graceful stop waits for requests in flight.
    pub drain: Duration,
    /// The most recent decisions.
    pub decisions: Arc<Decisions>,
}

/// Requests and bills that a gateway left unfinished when it stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOutcome {
    /// Number of requests whose answer was interrupted.
    pub interrupted: u64,
    /// Number of bills that this gateway has not written. Its agents keep the
    /// usages that these bills need.
    pub unbilled: u64,
}

/// A running listener for callers.
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
/// Returns an [`io::Error`] if the address can't be bound.
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
    /// Returns the address that the gateway listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests whose answer is not finished.
    pub fn in_flight(&self) -> u64 {
        self.shared.in_flight()
    }

    /// Waits until another gateway has sealed this one's ledger.
    ///
    /// From then on this incarnation can't bill, so it must accept no requests
    /// and has to exit.
    pub async fn wait_for_ledger_seal(&self) {
        while !self.shared.handle.view().ledger.sealed {
            sleep(SEAL_POLL_PERIOD).await;
        }
    }

    /// Reports by `/health` that the gateway is leaving, and keeps serving for
    /// the linger time, so that the load balancer can see it.
    pub async fn linger(&self) {
        self.shared.set_leaving();
        sleep(self.linger).await;
    }

    /// Stops gracefully: refuses new requests, waits up to the drain time for
    /// those in flight to finish, ends the rest with a failure that says whether they
    /// ran, and waits for their bills to be written.
    pub async fn stop(&self) -> StopOutcome {
        self.shared.set_leaving();
        self.shared.start_draining();
        self.wait_for_requests(self.drain).await;
        let interrupted = self.shared.in_flight();
        self.shared.end_requests();
        self.wait_for_requests(END_TIMEOUT).await;
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

    // Waits until no request is in flight, for at most `limit`.
    async fn wait_for_requests(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.shared.in_flight() > 0 && Instant::now() < deadline {
            sleep(DRAIN_POLL_PERIOD).await;
        }
    }

    /// Returns the outcome if the gateway stops now.
    pub fn abort_outcome(&self) -> StopOutcome {
        StopOutcome {
            interrupted: self.shared.in_flight(),
            unbilled: self.unbilled(),
        }
    }

    // Returns the number of bills that are still to be written; zero if the
    // ledger is sealed, since this incarnation can't write them any more.
    fn unbilled(&self) -> u64 {
        let ledger = self.shared.handle.view().ledger;
        if ledger.sealed { 0 } else { ledger.unwritten }
    }
}
