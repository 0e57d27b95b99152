//! What the threads of a gateway share.

use std::fmt;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_rt::time::Instant;
use compact_str::{CompactString, format_compact};
use rustc_hash::FxHashMap;

use super::limits::TeamLimits;
use crate::node::Handle;
use crate::peer::{Keys, NodeId, RequestId};
use crate::policy::RetryBudget;

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
    node: NodeId,
    start: Instant,
    sequence: AtomicU64,
    refusals: AtomicU64,
    in_flight: AtomicU64,
    draining: AtomicBool,
    retries: Mutex<RetryBudget>,
    running: Mutex<FxHashMap<NodeId, u32>>,
}

impl Shared {
    pub(super) fn new(
        handle: Handle,
        keys: Keys,
        data_centre: CompactString,
        max_body: usize,
    ) -> Self {
        Self {
            node: handle.view().node.clone(),
            handle,
            keys,
            data_centre,
            max_body,
            limits: Arc::default(),
            start: Instant::now(),
            sequence: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            retries: Mutex::default(),
            running: Mutex::default(),
        }
    }

    /// Time since the start, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The id of a request that is taken in.
    pub(super) fn mint(&self) -> RequestId {
        RequestId {
            gateway: self.node.clone(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// The id of a request that is refused before it is taken in; such ids
    /// don't count towards the ledger.
    pub(super) fn refusal_id(&self) -> CompactString {
        let number = self.refusals.fetch_add(1, Ordering::Relaxed) + 1;
        format_compact!("{}.r{number}", self.node)
    }

    pub(super) fn enter(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Requests whose answer is not finished.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// True where one more retry is affordable.
    pub(super) fn may_retry(&self) -> bool {
        self.retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .withdraw()
    }

    /// Tells that a request succeeded.
    pub(super) fn succeeded(&self) {
        self.retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deposit();
    }

    /// Runs of this gateway at an agent.
    pub(super) fn running(&self, agent: &NodeId) -> u32 {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.get(agent).copied().unwrap_or_default()
    }

    /// Counts one run at an agent until the value is dropped.
    pub(super) fn visit(self: &Arc<Self>, agent: &NodeId) -> Visit {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        *running.entry(agent.clone()).or_default() += 1;
        Visit {
            shared: Arc::clone(self),
            agent: agent.clone(),
        }
    }
}

/// One run at an agent.
#[derive(Debug)]
pub(super) struct Visit {
    shared: Arc<Shared>,
    agent: NodeId,
}

impl Drop for Visit {
    fn drop(&mut self) {
        let mut running = self
            .shared
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = running.get_mut(&self.agent) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.agent);
            }
        }
    }
}

/// What one thread of a gateway holds.
#[derive(Clone)]
pub(super) struct Worker {
    pub(super) shared: Arc<Shared>,
    pub(super) client: Rc<awc::Client>,
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
        Self {
            shared,
            client: Rc::new(client),
        }
    }
}

impl fmt::Debug for Worker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Worker").finish_non_exhaustive()
    }
}
