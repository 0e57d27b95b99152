//! State and background tasks of the agent's thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use actix_rt::time::{Instant, interval};
use compact_str::CompactString;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::admission::AdmissionControl;
use super::cancel::CancelRegistry;
use super::ledger::{Arrival, RunKey, RunLedger};
use super::pause_detector::{PauseDetector, TICK_PERIOD};
use super::upstream::UpstreamClient;
use crate::control::{Event, Millis, UpstreamAction, View};
use crate::node::Handle;
use crate::peer::message::{Load, Node, Ran, Run};
use crate::peer::{Keys, NodeId};
use crate::resource::{Backend, Config};

/// Longest deadline of a run, in milliseconds; longer ones are shortened to it.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Time after the longest deadline in which a delayed message may still arrive,
/// in milliseconds.
const LATE_MARGIN_MS: u64 = 60_000;

/// Time between two polls of the upstream.
const UPSTREAM_POLL_PERIOD: Duration = Duration::from_millis(250);

/// Polls after which the load is reported even if it has not changed.
const MAX_POLLS_PER_REPORT: u32 = 4;

/// State of the agent's thread that the rest of the process reads.
#[derive(Debug, Default)]
pub(crate) struct AgentStatus {
    /// True once the agent's thread has started.
    pub(crate) started: AtomicBool,
    /// True once new runs are refused.
    pub(crate) draining: AtomicBool,
    /// Number of runs that are queued or running.
    pub(crate) in_flight: AtomicUsize,
    /// Cancelled once the runs in flight must end.
    pub(crate) ended: CancellationToken,
}

/// State of the agent's thread.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) handle: Handle,
    pub(crate) keys: Keys,
    pub(crate) upstream: CompactString,
    pub(crate) client: UpstreamClient,
    pub(crate) admission: Rc<AdmissionControl>,
    pub(crate) cancels: Rc<CancelRegistry>,
    pub(crate) ledger: RefCell<RunLedger>,
    warm: RefCell<Vec<String>>,
    pause_detector: PauseDetector,
    status: Arc<AgentStatus>,
    started: Instant,
}

/// Counts one run as in flight until dropped.
#[derive(Debug)]
pub(crate) struct RunGuard(Arc<AgentStatus>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Arguments of [`Worker::start`].
#[derive(Debug)]
pub(crate) struct WorkerParts {
    pub(crate) handle: Handle,
    pub(crate) keys: Keys,
    pub(crate) upstream: CompactString,
    pub(crate) client: UpstreamClient,
    pub(crate) queue_limit: usize,
    pub(crate) status: Arc<AgentStatus>,
}

impl Worker {
    /// Creates the state, and spawns the tasks that tick the pause detector,
    /// poll the upstream and execute the reducer's actions.
    pub(crate) fn start(parts: WorkerParts) -> Rc<Self> {
        let worker = Rc::new(Self {
            handle: parts.handle,
            keys: parts.keys,
            upstream: parts.upstream,
            client: parts.client,
            admission: AdmissionControl::new(parts.queue_limit),
            cancels: Rc::default(),
            ledger: RefCell::default(),
            warm: RefCell::default(),
            pause_detector: PauseDetector::new(),
            status: parts.status,
            started: Instant::now(),
        });
        actix_rt::spawn(tick_pause_detector(Rc::clone(&worker)));
        actix_rt::spawn(watch_upstream(Rc::clone(&worker)));
        actix_rt::spawn(run_actions(Rc::clone(&worker)));
        worker
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.handle.view()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.status.draining.load(Ordering::Relaxed)
    }

    /// Waits until the runs in flight must end because the process does.
    pub(crate) async fn ended(&self) {
        self.status.ended.cancelled().await;
    }

    /// Returns the deadline of a run that is read now, less the time that it
    /// may have waited while this process was paused.
    pub(crate) fn deadline(&self, run: &Run) -> Instant {
        let remaining = Duration::from_millis(run.deadline_ms.min(MAX_DEADLINE_MS));
        Instant::now() + remaining.saturating_sub(self.pause_detector.max_delay())
    }

    /// Counts a run as in flight until the guard is dropped.
    pub(crate) fn begin_run(&self) -> RunGuard {
        self.status.in_flight.fetch_add(1, Ordering::Relaxed);
        RunGuard(Arc::clone(&self.status))
    }

    /// True if a message is addressed to this incarnation of the agent.
    pub(crate) fn is_target(&self, target: Option<&Node>) -> bool {
        target.map(NodeId::from).as_ref() == Some(&self.view().node)
    }

    /// Records the arrival of a run in the ledger.
    pub(crate) fn record_arrival(&self, key: RunKey, run: &Run) -> Arrival {
        let mut ledger = self.ledger.borrow_mut();
        ledger.record_arrival(key, run.attempt, run.idempotent, self.expiry())
    }

    /// Returns whether a run was executed; a run that has not been dispatched
    /// is settled as not run and never will be.
    pub(crate) fn settle(&self, key: RunKey) -> Ran {
        self.ledger.borrow_mut().settle(key, self.expiry())
    }

    /// Returns the load that is reported to gateways.
    pub(crate) fn load(&self) -> Load {
        let counts = self.admission.counts();
        Load {
            upstream: self.upstream.to_string(),
            running: counts.used_slots,
            queued: counts.queued,
            slots: counts.slots,
            wait_ms: counts.wait_ms,
            warm: self.warm.borrow().clone(),
        }
    }

    /// Sets the number of slots from the configuration, and grants those that
    /// have become free or whose reservation has expired.
    pub(crate) fn apply_config(&self, config: &Config) {
        if let Some(upstream) = config.upstreams.by_name(&self.upstream) {
            self.admission.set_slots(upstream.spec.slots);
        }
    }

    // Time after which no further message of a run that arrives now can arrive.
    fn expiry(&self) -> Millis {
        self.now() + Millis(MAX_DEADLINE_MS + LATE_MARGIN_MS)
    }

    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    fn is_engine(&self, config: &Config) -> bool {
        let upstream = config.upstreams.by_name(&self.upstream);
        upstream
            .and_then(|upstream| config.services.by_name(&upstream.spec.service))
            .is_some_and(|service| service.spec.backend == Backend::Engine)
    }
}

async fn tick_pause_detector(worker: Rc<Worker>) {
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        worker.pause_detector.tick();
    }
}

// Applies the configuration, polls the engine and reports the load.
async fn watch_upstream(worker: Rc<Worker>) {
    let mut ticks = interval(UPSTREAM_POLL_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = Load::default();
    let mut polls = 0;
    loop {
        ticks.tick().await;
        let view = worker.view();
        worker.apply_config(&view.config);
        worker.ledger.borrow_mut().evict_expired(worker.now());
        if worker.is_engine(&view.config)
            && let Some(load) = worker.client.fetch_load().await
        {
            *worker.warm.borrow_mut() = load.versions;
        }
        let load = worker.load();
        polls += 1;
        if load != reported || polls >= MAX_POLLS_PER_REPORT {
            worker
                .handle
                .post(Event::LoadChanged(Box::new(load.clone())));
            reported = load;
            polls = 0;
        }
    }
}

// Executes the reducer's actions on the upstream in the order given.
async fn run_actions(worker: Rc<Worker>) {
    let mut actions = worker.handle.subscribe_upstream_actions();
    while let Some(action) = actions.recv().await {
        match action {
            UpstreamAction::Cancel(request) => worker.cancels.cancel(&request),
            UpstreamAction::Order(order) => {
                let result = worker.client.send_order(&order).await;
                let event = Event::OrderAnswered(Box::new(order), result);
                worker.handle.post(event);
            }
        }
    }
}
