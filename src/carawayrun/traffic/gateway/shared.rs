//! What the threads of a gateway share.

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

/// Longest time to connect to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most connections of one thread to one agent.
const MAX_CONNECTIONS: usize = 1024;

/// State of a gateway that all its threads use.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) handle: Handle,
    pub(super) keys: Keys,
    /// Name of the gateway's data centre.
    pub(super) data_centre: CompactString,
    /// Longest body of a caller, in bytes.
    pub(super) max_body: usize,
    pub(super) limits: Arc<TeamLimits>,
    pub(super) decisions: Arc<Decisions>,
    pub(super) node: NodeId,
    /// Answers whose ratings are awaited.
    pub(super) ratings: Ratings,
    table_addr: SocketAddr,
    start: Instant,
    sequence: AtomicU64,
    refusal_sequence: AtomicU64,
    in_flight: AtomicU64,
    leaving: AtomicBool,
    draining: AtomicBool,
    snapshot: ArcSwap<RoutingSnapshot>,
    routing: Mutex<Routing>,
}

// What this gateway itself sees of the upstreams.
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
            routing: Mutex::new(Routing {
                in_flight: InFlightCounts::default(),
                ejection: Ejection::default(),
                retries: RetryBudget::default(),
                rng: SmallRng::from_os_rng(),
            }),
        }
    }

    /// Time since the start, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The id of a request that is taken in.
    pub(super) fn next_request_id(&self) -> RequestId {
        RequestId {
            gateway: self.node.clone(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// The id of a request that is refused before it is taken in; such ids
    /// don't count towards the ledger.
    pub(super) fn next_refusal_id(&self) -> CompactString {
        let number = self.refusal_sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format_compact!("{}.r{number}", self.node)
    }

    pub(super) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Requests whose answer is not finished.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Tells the balancer, by `/health`, to send no more requests.
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

    /// The view in force, with its pools.
    pub(super) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        let snapshot = self.snapshot.load_full();
        let view = self.handle.view();
        if Arc::ptr_eq(&snapshot.view, &view) {
            return snapshot;
        }
        let snapshot = Arc::new(RoutingSnapshot::new(view));
        let now_ms = self.now_ms();
        let mut routing = self.routing();
        routing.in_flight.update_upstreams(&snapshot.pools, now_ms);
        self.snapshot.store(Arc::clone(&snapshot));
        snapshot
    }

    /// The upstream for one attempt.
    pub(super) fn choose_upstream(&self, pools: &Pools, request: &PickRequest<'_>) -> Option<Pick> {
        let routing = &mut *self.routing();
        pools.pick(
            request,
            &routing.in_flight,
            &routing.ejection,
            &mut routing.rng,
        )
    }

    /// Tells how an attempt ended.
    pub(super) fn record_attempt(&self, upstream: UpstreamKey, failed: bool, latency_ratio: f64) {
        let now_ms = self.now_ms();
        self.routing()
            .ejection
            .record_attempt(upstream, failed, latency_ratio, now_ms);
    }

    /// True where one more retry is affordable.
    pub(super) fn withdraw_retry(&self) -> bool {
        self.routing().retries.withdraw()
    }

    /// Tells that a request succeeded.
    pub(super) fn record_success(&self) {
        self.routing().retries.deposit();
    }

    /// Counts one run at an upstream until the value is dropped.
    pub(super) fn start_attempt(self: &Arc<Self>, upstream: UpstreamKey) -> AttemptGuard {
        self.routing().in_flight.record_start(upstream);
        AttemptGuard {
            shared: Arc::clone(self),
            upstream,
        }
    }

    fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One run at an upstream.
#[derive(Debug)]
pub(super) struct AttemptGuard {
    shared: Arc<Shared>,
    upstream: UpstreamKey,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.shared.routing().in_flight.record_end(self.upstream);
    }
}

/// What one thread of a gateway holds.
#[derive(Clone)]
pub(super) struct Worker {
    pub(super) shared: Arc<Shared>,
    pub(super) client: Rc<awc::Client>,
    /// Pins of sessions.
    pub(super) pins: Rc<Pins>,
    /// Source of the thread's random choices.
    pub(super) rng: Rc<RefCell<SmallRng>>,
}

impl Worker {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let connector = awc::Connector::new()
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
