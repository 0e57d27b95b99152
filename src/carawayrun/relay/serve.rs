//! Start and shutdown of a relay.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use super::RelaySettings;
use super::drain::Drain;
use super::metrics::DrainEnd;
use super::traffic::{SharedState, Traffic};
use super::{client, follow, gossip, health_check, liveness, probe, stalls};

/// Interval at which a drain checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The same after the port was closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Delay after a failed accept, such as one for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Fraction of the descriptors for client connections; the rest is for upstreams,
/// the store and files.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;

/// Length of the accept queue.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Error in listening on an address.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display(
    "can't listen for {purpose} on {addr}: {source}; give a free address of this host"
))]
pub struct BindError {
    purpose: &'static str,
    addr: SocketAddr,
    source: io::Error,
}

/// A running relay; belongs to the traffic thread.
pub struct Relay {
    traffic: Rc<Traffic>,
}

/// Opens the listeners and starts serving. Must be called within an actix system.
///
/// # Errors
///
/// [`BindError`] where an address can't be listened on.
///
/// # Panics
///
/// If the control thread can't be started.
pub fn bind(settings: RelaySettings) -> Result<Relay, BindError> {
    let clients = listen("clients", settings.listen)?;
    let prober = listen("readiness", settings.ready_listen)?;
    let scraper = listen("metrics", settings.metrics_listen)?;
    let purpose = "reports";
    let addr = settings.peer_listen;
    let reports = UdpSocket::bind(addr).context(BindSnafu { purpose, addr })?;
    let shared = SharedState::new(settings);
    spawn_control(&shared);
    let purpose = "readiness";
    let traffic = Rc::new(Traffic::new(shared));
    let addr = traffic.settings().ready_listen;
    probe::serve_readiness(prober, Rc::clone(&traffic)).context(BindSnafu { purpose, addr })?;
    probe::serve_metrics(scraper, Rc::clone(&traffic)).context(BindSnafu { purpose, addr })?;
    let (purpose, addr) = ("reports", traffic.settings().peer_listen);
    gossip::start(reports, &traffic).context(BindSnafu { purpose, addr })?;
    let accepting = accept(clients, Rc::clone(&traffic));
    actix_rt::spawn(async move {
        liveness::detect_support().await;
        accepting.await;
    });
    actix_rt::spawn(health_check::check_restarted(Rc::clone(&traffic)));
    let (monitor, metrics) = (Arc::clone(&traffic.stalls), Arc::clone(&traffic.metrics));
    actix_rt::spawn(stalls::measure_lag(monitor, metrics));
    let settings = traffic.settings();
    tracing::info!(node = %settings.node, listen = %settings.listen, "relay started");
    Ok(Relay { traffic })
}

impl Relay {
    /// Applies changed settings. Bounds take effect immediately. A changed address
    /// needs a restart, which is logged; the host's name, the limit on descriptors and
    /// the lifetime of session pins also keep their values until a restart.
    pub fn reload(&self, settings: RelaySettings) {
        self.traffic.reload(settings);
    }

    /// Becomes unready, waits for the requests that came early in the drain until none is
    /// left or the grace period ends, closes the port, and returns the number of interrupted
    /// requests. Clients that come later don't keep it: it refuses most of them, and takes
    /// them all once it has started again.
    pub async fn drain(&self) -> usize {
        let traffic = &self.traffic;
        let drain = Drain::begin(traffic.settings().grace);
        traffic.phases.begin_drain(drain);
        // Tells the other gateways at once.
        traffic.load_changed.notify_one();
        tracing::info!(active = traffic.active_requests.get(), "relay draining");
        let has_time = || Instant::now() < drain.close_by();
        while has_time() && (traffic.early_requests.get() > 0 || !drain.is_over()) {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        traffic.phases.close(drain);
        tracing::info!(
            active = traffic.active_requests.get(),
            begun = traffic.begun_requests.get(),
            unused = traffic.new_connections.get(),
            "relay closed its port"
        );
        // Time for the accept task to take what waits in its queue.
        sleep(CLOSE_CHECK_INTERVAL).await;
        while Instant::now() < drain.end && traffic.has_clients() {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
        let interrupted = traffic.active_requests.get();
        let metrics = &traffic.metrics;
        tracing::info!(
            cut = metrics.drained(DrainEnd::Cut) + interrupted as u64,
            answered = metrics.drained(DrainEnd::Answered),
            refused = metrics.drained(DrainEnd::Refused),
            failed = metrics.drained(DrainEnd::Failed),
            lines_dropped = metrics.log_limiter.dropped(),
            "relay stopped"
        );
        interrupted
    }
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay")
            .field("settings", &self.traffic.settings())
            .finish_non_exhaustive()
    }
}

// Starts the control thread, which follows the store.
fn spawn_control(shared: &SharedState) {
    let shared = shared.clone();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || actix_rt::System::new().block_on(follow::run(shared)))
        .expect("the system can start a thread");
}

fn listen(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, BindError> {
    let open = || -> io::Result<TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(addr),
            socket2::Type::STREAM,
            None,
        )?;
        // A restart must not wait for connections of the previous process to
        // expire.
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().context(BindSnafu { purpose, addr })
}

// Accepts client connections and serves each in a task of its own.
async fn accept(listener: TcpListener, traffic: Rc<Traffic>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "failed to register the client listener");
            return;
        }
    };
    let max_connections =
        f64::from(traffic.settings().max_descriptors) * CLIENT_DESCRIPTOR_FRACTION;
    let permits = Arc::new(Semaphore::new(max_connections as usize));
    loop {
        // Without a permit a client waits in the accept queue, and its balancer
        // may choose another host.
        if permits.available_permits() == 0 {
            traffic.evict_silent();
        }
        let accepted = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            listener.accept().await.map(|accepted| (accepted, permit))
        };
        // Before the port is closed, all that waits in the queue is accepted.
        let accepted = tokio::select! {
            biased;
            accepted = accepted => accepted,
            () = traffic.phases.closing() => return,
        };
        match accepted {
            Ok(((stream, peer), permit)) => {
                let traffic = Rc::clone(&traffic);
                actix_rt::spawn(async move {
                    client::serve(stream, peer, traffic).await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a client connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
