//! State of a gateway: shared by its threads, and of each thread.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_rt::time::Instant;
use arc_swap::ArcSwap;
use compact_str::{CompactString, format_compact};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

use super::limits::TeamLimits;
use super::pins::Pins;
use super::ratings::Ratings;
use super::server::GatewaySettings;
use super::snapshot::RoutingSnapshot;
use crate::node::Handle;
use crate::ops::why::Decisions;
use crate::peer::{Keys, NodeId, RequestId};
use crate::policy::{Ejection, InFlightCounts, Pick, PickRequest, Pools, RetryBudget};
use crate::resource::UpstreamKey;
use crate::store::TableClient;

/// Timeout of connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum connections of one thread to one agent.
const MAX_CONNECTIONS: usize = 1024;

/// State that all threads of a gateway share: settings, request counts, limits,
/// ratings, the routing snapshot and what was observed of the upstreams.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) handle: Handle,
    pub(super) keys: Keys,
    /// Name of the gateway's data centre.
    pub(super) data_centre: CompactString,
    /// Maximum size of a request's body, in bytes.
    pub(super) max_body: usize,
    pub(super) limits: Arc<TeamLimits>,
    pub(super) decisions: Arc<Decisions>,
    pub(super) node: NodeId,
    /// The rating service, and the answers that wait for its ratings.
    pub(super) ratings: Ratings,
    table_addr: SocketAddr,
    start: Instant,
    sequence: AtomicU64,
    refusal_sequence: AtomicU64,
    in_flight: AtomicU64,
    leaving: AtomicBool,
    draining: AtomicBool,
    ended: CancellationToken,
    snapshot: ArcSwap<RoutingSnapshot>,
    routing: Mutex<Routing>,
}

// Attempts in flight and ejections of upstreams, the retry budget, and the
// random number generator, for choosing upstreams and limiting retries.
#[derive(Debug)]
struct Routing {
    in_flight: InFlightCounts,
    ejection: Ejection,
    retries: RetryBudget,
    rng: SmallRng,
}

impl Shared {
    pub(super) fn new(handle: Handle, settings: &GatewaySettings) -> Self {
        let view = handle.view();
        Self {
            node: view.node.clone(),
            snapshot: ArcSwap::from_pointee(RoutingSnapshot::new(view)),
            handle,
            keys: settings.keys.clone(),
            data_centre: settings.data_centre.clone(),
            max_body: settings.max_body,
            decisions: Arc::clone(&settings.decisions),
            limits: Arc::default(),
            ratings: Ratings::new(settings.rater_addr, settings.rated_share),
            table_addr: settings.table_addr,
            start: Instant::now(),
            sequence: AtomicU64::new(0),
            refusal_sequence: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            ended: CancellationToken::new(),
            routing: Mutex::new(Routing {
                in_flight: InFlightCounts::default(),
                ejection: Ejection::default(),
                retries: RetryBudget::default(),
                rng: SmallRng::from_os_rng(),
            }),
        }
    }

    /// Returns the time since the gateway started, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns a new id for an admitted request.
    pub(super) fn next_request_id(&self) -> RequestId {
        RequestId {
            gateway: self.node.clone(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns a new id for a request that is refused before admission. The
    /// ledger does not count such ids.
    pub(super) fn next_refusal_id(&self) -> CompactString {
        let number = self.refusal_sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format_compact!("{}.r{number}", self.node)
    }

    /// Counts a request as in flight until [`Self::end_request`].
    pub(super) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends a request that [`Self::begin_request`] counted.
    pub(super) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns the number of requests whose answer is not finished.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Reports by `/health` that the gateway is leaving, so that the load
    /// balancer sends no more requests.
    pub(super) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Refuses new requests from now on.
    pub(super) fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Ends the requests in flight: each fails with what is known of it.
    pub(super) fn end_requests(&self) {
        self.ended.cancel();
    }

    /// Waits until the requests in flight must end because the process does.
    pub(super) async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Returns the snapshot of the current view, and rebuilds it if the view
    /// has changed.
    pub(super) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        let snapshot = self.snapshot.load_full();
        let view = self.handle.view();
        if Arc::ptr_eq(&snapshot.view, &view) {
            return snapshot;
        }
        let snapshot = Arc::new(RoutingSnapshot::new(view));
        let now_ms = self.now_ms();
        let mut routing = self.lock_routing();
        routing.in_flight.update_upstreams(&snapshot.pools, now_ms);
        self.snapshot.store(Arc::clone(&snapshot));
        snapshot
    }

    /// Chooses the upstream for one attempt.
    pub(super) fn choose_upstream(&self, pools: &Pools, request: &PickRequest<'_>) -> Option<Pick> {
        let routing = &mut *self.lock_routing();
        pools.pick(
            request,
            &routing.in_flight,
            &routing.ejection,
            &mut routing.rng,
        )
    }

    /// Records how an attempt ended, for the ejection of upstreams.
    pub(super) fn record_attempt(&self, upstream: UpstreamKey, failed: bool, latency_ratio: f64) {
        let now_ms = self.now_ms();
        self.lock_routing()
            .ejection
            .record_attempt(upstream, failed, latency_ratio, now_ms);
    }

    /// Takes one retry from the retry budget. Returns false if it is exhausted.
    pub(super) fn withdraw_retry(&self) -> bool {
        self.lock_routing().retries.withdraw()
    }

    /// Credits the retry budget for a request that succeeded.
    pub(super) fn record_success(&self) {
        self.lock_routing().retries.deposit();
    }

    /// Counts an attempt at an upstream as in flight until the guard is
    /// dropped.
    pub(super) fn start_attempt(self: &Arc<Self>, upstream: UpstreamKey) -> AttemptGuard {
        self.lock_routing().in_flight.record_start(upstream);
        AttemptGuard {
            shared: Arc::clone(self),
            upstream,
        }
    }

    fn lock_routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of an attempt in flight at an upstream.
#[derive(Debug)]
pub(super) struct AttemptGuard {
    shared: Arc<Shared>,
    upstream: UpstreamKey,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.shared
            .lock_routing()
            .in_flight
            .record_end(self.upstream);
    }
}

/// State of one thread of a gateway.
#[derive(Clone)]
pub(super) struct Worker {
    pub(super) shared: Arc<Shared>,
    pub(super) client: Rc<awc::Client>,
    /// Stored pins of sessions.
    pub(super) pins: Rc<Pins>,
    /// The thread's random number generator.
    pub(super) rng: Rc<RefCell<SmallRng>>,
}

impl Worker {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let connector = crate::http::connector()
            .timeout(CONNECT_TIMEOUT)
            .limit(MAX_CONNECTIONS);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        let table = TableClient::new(shared.table_addr);
        Self {
            shared,
            pins: Pins::new(table),
            client: Rc::new(client),
            rng: Rc::new(RefCell::new(SmallRng::from_os_rng())),
        }
    }
}

impl fmt::Debug for Worker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Worker").finish_non_exhaustive()
    }
}
