//! The state of an agent's thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use actix_rt::time::{Instant, interval};
use compact_str::CompactString;
use tokio::time::MissedTickBehavior;

use super::admission::Admission;
use super::cancel::Cancels;
use super::ledger::{Arrival, RunKey, RunLedger};
use super::pulse::{BEAT, Pulse};
use super::upstream::UpstreamClient;
use crate::control::{Event, Millis, UpstreamAction, View};
use crate::node::Handle;
use crate::peer::message::{Load, Node, Ran, Run};
use crate::peer::{Keys, NodeId};
use crate::resource::{Backend, Config};

/// Longest deadline of a request, in milliseconds; a longer one is cut.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Time after the longest deadline in which a late message may still arrive.
const LATE_MS: u64 = 60_000;

/// Time between two looks at the upstream.
const WATCH_PERIOD: Duration = Duration::from_millis(250);

/// Looks at the upstream after which the load is reported even if unchanged.
const REPORT_EVERY: u32 = 4;

/// What the process needs to know from other threads.
#[derive(Debug, Default)]
pub(crate) struct Status {
    /// True once the thread has been started.
    pub(crate) started: AtomicBool,
    /// True once new runs are refused.
    pub(crate) draining: AtomicBool,
    /// Runs that are queued or running.
    pub(crate) in_flight: AtomicUsize,
}

/// The state.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) handle: Handle,
    pub(crate) keys: Keys,
    pub(crate) upstream: CompactString,
    pub(crate) client: UpstreamClient,
    pub(crate) admission: Rc<Admission>,
    pub(crate) cancels: Rc<Cancels>,
    pub(crate) ledger: RefCell<RunLedger>,
    warm: RefCell<Vec<String>>,
    pulse: Pulse,
    status: Arc<Status>,
    started: Instant,
}

/// A run that is queued or running; counted until dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Status>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a worker is made of.
#[derive(Debug)]
pub(crate) struct WorkerParts {
    pub(crate) handle: Handle,
    pub(crate) keys: Keys,
    pub(crate) upstream: CompactString,
    pub(crate) client: UpstreamClient,
    pub(crate) queue_limit: usize,
    pub(crate) status: Arc<Status>,
}

impl Worker {
    /// The state, and the tasks that watch the upstream and carry out actions.
    pub(crate) fn start(parts: WorkerParts) -> Rc<Self> {
        let worker = Rc::new(Self {
            handle: parts.handle,
            keys: parts.keys,
            upstream: parts.upstream,
            client: parts.client,
            admission: Admission::new(parts.queue_limit),
            cancels: Rc::default(),
            ledger: RefCell::default(),
            warm: RefCell::default(),
            pulse: Pulse::new(),
            status: parts.status,
            started: Instant::now(),
        });
        actix_rt::spawn(beat(Rc::clone(&worker)));
        actix_rt::spawn(watch(Rc::clone(&worker)));
        actix_rt::spawn(act(Rc::clone(&worker)));
        worker
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.handle.view()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.status.draining.load(Ordering::Relaxed)
    }

    /// The deadline of a run that is read now.
    pub(crate) fn deadline(&self, run: &Run) -> Instant {
        let left = Duration::from_millis(run.deadline_ms.min(MAX_DEADLINE_MS));
        Instant::now() + left.saturating_sub(self.pulse.lateness())
    }

    /// Counts a run as queued or running.
    pub(crate) fn enter(&self) -> InFlight {
        self.status.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(&self.status))
    }

    /// True where a message is meant for this life of the agent.
    pub(crate) fn is_target(&self, target: Option<&Node>) -> bool {
        target.map(NodeId::from).as_ref() == Some(&self.view().node)
    }

    /// Records an arriving run.
    pub(crate) fn arrive(&self, key: RunKey, run: &Run) -> Arrival {
        let mut ledger = self.ledger.borrow_mut();
        ledger.arrive(key, run.attempt, run.idempotent, self.expiry())
    }

    /// Says whether a run has run; one that has not begun never will.
    pub(crate) fn settle(&self, key: RunKey) -> Ran {
        self.ledger.borrow_mut().settle(key, self.expiry())
    }

    /// The load as gateways are told.
    pub(crate) fn load(&self) -> Load {
        let counts = self.admission.counts();
        Load {
            upstream: self.upstream.to_string(),
            running: counts.running,
            queued: counts.queued,
            slots: counts.slots,
            wait_ms: counts.wait_ms,
            warm: self.warm.borrow().clone(),
        }
    }

    /// Follows the number of slots in the configuration.
    pub(crate) fn follow(&self, config: &Config) {
        if let Some(upstream) = config.upstreams.by_name(&self.upstream) {
            self.admission.set_slots(upstream.spec.slots);
        }
    }

    // After this time no message of a run that arrives now can arrive.
    fn expiry(&self) -> Millis {
        self.now() + Millis(MAX_DEADLINE_MS + LATE_MS)
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

async fn beat(worker: Rc<Worker>) {
    let mut ticks = interval(BEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        worker.pulse.beat();
    }
}

// Follows the configuration and the engine, and reports the load.
async fn watch(worker: Rc<Worker>) {
    let mut ticks = interval(WATCH_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = Load::default();
    let mut looks = 0;
    loop {
        ticks.tick().await;
        let view = worker.view();
        worker.follow(&view.config);
        worker.ledger.borrow_mut().forget(worker.now());
        if worker.is_engine(&view.config)
            && let Some(load) = worker.client.load().await
        {
            *worker.warm.borrow_mut() = load.versions;
        }
        let load = worker.load();
        looks += 1;
        if load != reported || looks >= REPORT_EVERY {
            worker
                .handle
                .post(Event::LoadChanged(Box::new(load.clone())));
            reported = load;
            looks = 0;
        }
    }
}

// Carries out what the reducer wants done at the upstream, in order.
async fn act(worker: Rc<Worker>) {
    let mut actions = worker.handle.subscribe_upstream_actions();
    while let Some(action) = actions.recv().await {
        match action {
            UpstreamAction::Cancel(request) => worker.cancels.cancel(&request),
            UpstreamAction::Order(order) => {
                let result = worker.client.order(&order).await;
                let event = Event::OrderAnswered(Box::new(order), result);
                worker.handle.post(event);
            }
        }
    }
}
