//! State shared by all connections of the traffic thread.

mod evacuations;
mod limits;
mod memory;
mod quarantine;
mod queues;

pub(super) use self::memory::MemoryHold;
pub(super) use self::quarantine::LostRequest;
pub(super) use self::queues::Place;
use self::queues::Queues;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::ServiceConfig;
use arc_swap::ArcSwap;
use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, timeout_at};

use super::RelaySettings;
use super::boot_clock;
use super::budget::{RetryBudget, RetryCause};
use super::catalog::Route;
use super::connection::{ConnectionError, UpstreamConnection};
use super::drain::{Phases, retry_after};
use super::evidence::Outcomes;
use super::fleet::Fleet;
use super::gossip::{decode_order, decode_outcomes};
use super::health::Health;
use super::latency::LatencyEstimate;
use super::losses::{Loss, LossTracker};
use super::members::Members;
use super::memory::{HolderKey, MemoryAccount};
use super::metrics::Metrics;
use super::pace::StreamSample;
use super::prompts::PromptPart;
use super::quarantine::Quarantine;
use super::request_log::DrainRead;
use super::rests::Incarnation;
use super::service_time::RouteTimes;
use super::session_lists::{SessionLists, WAIT_TTL};
use super::sessions::{MAX_REPORTED_SESSIONS, Sessions};
use super::stalls::StallMonitor;
use super::tally::{RouteDigest, Tally, TallyKey};
use super::usual_time::UsualTime;
use super::view::{OutcomesView, Upstream, UpstreamKey, View};
use crate::peer::message::{PromptCopy, RelayReport, TableRead, UpstreamLoad, UpstreamPace};

/// Outcomes by service and version, for the evaluation of roll-outs.
pub(super) type OutcomeCounts = Arc<Mutex<FxHashMap<(CompactString, CompactString), Outcomes>>>;

/// Attempts by service, version and route, for the evaluation of roll-outs.
pub(super) type TallyCounts = Arc<Mutex<FxHashMap<TallyKey, Tally>>>;

/// Largest number of tallies that a gateway keeps; attempts of further routes are
/// counted together.
const MAX_TALLIES: usize = 256;

/// Part of another gateway's report that the control thread uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct PeerUpdate {
    pub(super) outcomes: Vec<OutcomesView>,
    pub(super) reads: Vec<TableRead>,
}

/// Latest update of each other gateway that the control thread has not processed.
pub(super) type PeerUpdates = Arc<Mutex<FxHashMap<CompactString, PeerUpdate>>>;

/// State shared by the two threads of a relay.
#[derive(Clone)]
pub(super) struct SharedState {
    pub(super) settings: Arc<ArcSwap<RelaySettings>>,
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) outcome_counts: OutcomeCounts,
    pub(super) tally_counts: TallyCounts,
    pub(super) peer_updates: PeerUpdates,
    /// Notified when a newer view is published.
    pub(super) view_published: Arc<Notify>,
    /// Notified when `peer_updates` changes.
    pub(super) peer_updated: Arc<Notify>,
    /// Number of other gateways with a recent report.
    pub(super) gateways: Arc<AtomicU32>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) stalls: Arc<StallMonitor>,
}

impl SharedState {
    pub(super) fn new(settings: RelaySettings) -> Self {
        Self {
            settings: Arc::new(ArcSwap::from_pointee(settings)),
            view: Arc::default(),
            outcome_counts: Arc::default(),
            tally_counts: Arc::default(),
            peer_updates: Arc::default(),
            view_published: Arc::default(),
            peer_updated: Arc::default(),
            gateways: Arc::default(),
            metrics: Arc::default(),
            stalls: Arc::default(),
        }
    }

    /// Returns the outcomes of all services and versions since the process started.
    pub(super) fn outcomes(&self) -> Vec<(CompactString, CompactString, Outcomes)> {
        let outcome_counts = self
            .outcome_counts
            .lock()
            .expect("no holder of the lock panics");
        let sums = outcome_counts.iter();
        sums.map(|((service, version), seen)| (service.clone(), version.clone(), *seen))
            .collect()
    }

    /// Returns the tallies of all services, versions and routes since the process started.
    pub(super) fn tallies(&self) -> Vec<(TallyKey, Tally)> {
        let tally_counts = self
            .tally_counts
            .lock()
            .expect("no holder of the lock panics");
        let tallies = tally_counts.iter();
        tallies.map(|(key, seen)| (key.clone(), *seen)).collect()
    }

    /// Removes and returns the latest changed update of each other gateway since the
    /// last call.
    pub(super) fn take_peer_updates(&self) -> FxHashMap<CompactString, PeerUpdate> {
        let mut peer_updates = self
            .peer_updates
            .lock()
            .expect("no holder of the lock panics");
        std::mem::take(&mut *peer_updates)
    }
}

/// State of the traffic thread.
pub(super) struct Traffic {
    pub(super) metrics: Arc<Metrics>,
    pub(super) stalls: Arc<StallMonitor>,
    pub(super) config: ServiceConfig,
    pub(super) phases: Phases,
    /// Number of connections without a request so far.
    pub(super) new_connections: Cell<usize>,
    /// Number of requests whose first byte was read and that were not answered.
    pub(super) begun_requests: Cell<usize>,
    /// Number of those that began before a drain or early in it.
    pub(super) early_requests: Cell<usize>,
    /// Number of requests that were read and not answered.
    pub(super) active_requests: Cell<usize>,
    /// Notified when the own load changes.
    pub(super) load_changed: Notify,
    memory: RefCell<MemoryAccount>,
    /// Notified when held memory was returned.
    memory_changed: Notify,
    /// Notified for a holder that gives way.
    evictions: RefCell<SecondaryMap<HolderKey, Rc<Notify>>>,
    shared: SharedState,
    fleet: RefCell<Fleet>,
    members: RefCell<Members>,
    /// Report address of this process, also after a reload with another one.
    own_addr: SocketAddr,
    budgets: RefCell<FxHashMap<CompactString, RetryBudget>>,
    latencies: RefCell<FxHashMap<(CompactString, CompactString), LatencyEstimate>>,
    sessions: RefCell<Sessions>,
    session_lists: RefCell<SessionLists>,
    usual_times: RefCell<FxHashMap<(CompactString, CompactString), UsualTime>>,
    service_times: RefCell<RouteTimes>,
    /// The same without the waits for places.
    run_times: RefCell<RouteTimes>,
    queues: RefCell<Queues>,
    losses: RefCell<LossTracker>,
    quarantine: RefCell<Quarantine>,
    /// Requests lost at upstreams whose crash is not confirmed yet.
    unconfirmed: RefCell<FxHashMap<UpstreamKey, Vec<LostRequest>>>,
    /// Notified when it is known whether an upstream has crashed.
    crash_confirmed: Notify,
    last_updates: RefCell<FxHashMap<CompactString, PeerUpdate>>,
    rng: RefCell<SmallRng>,
    started: Instant,
}

impl Traffic {
    pub(super) fn new(shared: SharedState) -> Self {
        let settings = shared.settings.load();
        let (session_gap, own_addr) = (settings.session_gap, settings.peer_listen);
        let memory = RefCell::new(MemoryAccount::new(settings.host_memory));
        drop(settings);
        let sessions = RefCell::new(Sessions::new(session_gap));
        Self {
            sessions,
            session_lists: RefCell::default(),
            usual_times: RefCell::default(),
            losses: RefCell::default(),
            quarantine: RefCell::default(),
            unconfirmed: RefCell::default(),
            crash_confirmed: Notify::new(),
            last_updates: RefCell::default(),
            metrics: Arc::clone(&shared.metrics),
            stalls: Arc::clone(&shared.stalls),
            config: ServiceConfig::default(),
            phases: Phases::default(),
            new_connections: Cell::new(0),
            begun_requests: Cell::new(0),
            early_requests: Cell::new(0),
            service_times: RefCell::default(),
            run_times: RefCell::default(),
            queues: RefCell::default(),
            active_requests: Cell::new(0),
            load_changed: Notify::new(),
            memory,
            memory_changed: Notify::new(),
            evictions: RefCell::default(),
            shared,
            fleet: RefCell::default(),
            members: RefCell::default(),
            own_addr,
            budgets: RefCell::default(),
            latencies: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            started: Instant::now(),
        }
    }

    /// Opens a connection to an upstream within `limit`.
    pub(super) async fn connect(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<UpstreamConnection, ConnectionError> {
        UpstreamConnection::connect(addr, limit, &self.config, &self.stalls).await
    }

    /// Returns the current settings.
    pub(super) fn settings(&self) -> Arc<RelaySettings> {
        self.shared.settings.load_full()
    }

    /// Applies changed settings and clears the retry budgets.
    ///
    /// Bounds and the data centre apply immediately. Until a restart, the addresses,
    /// the host's name, the limit on descriptors (see `accept` in `serve`) and the
    /// lifetime of session pins ([`Sessions::new`]) keep their values.
    pub(super) fn reload(&self, settings: RelaySettings) {
        let before = self.settings();
        if settings == *before {
            return;
        }
        let needs_restart = settings.addresses() != before.addresses();
        tracing::info!(
            needs_restart,
            "settings changed: bounds apply immediately, changed addresses need a restart"
        );
        self.budgets.borrow_mut().clear();
        self.memory
            .borrow_mut()
            .set_host_memory(settings.host_memory);
        self.shared.settings.store(Arc::new(settings));
    }

    pub(super) fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Completes once a newer view is published.
    pub(super) fn view_published(&self) -> Notified<'_> {
        self.shared.view_published.notified()
    }

    /// Waits until the view is complete enough to route requests, or for `limit`,
    /// and returns it.
    ///
    /// Load pattern: all gateways start at once while clients retry. Waiting some
    /// milliseconds for the store spares the client a refusal and the time until
    /// its next retry.
    pub(super) async fn synced_view(&self, limit: Duration) -> Arc<View> {
        let until = Instant::now() + limit;
        loop {
            let view_published = self.shared.view_published.notified();
            let view = self.view();
            if view.is_synced || timeout_at(until, view_published).await.is_err() {
                return view;
            }
        }
    }

    /// Returns true while a request is read or answered, or may come on a connection that
    /// was just accepted.
    pub(super) fn has_clients(&self) -> bool {
        self.begun_requests.get() > 0 || self.new_connections.get() > 0
    }

    /// Records the time that a whole answer of a route took, of which its request waited
    /// for places for `queued`.
    pub(super) fn record_service_time(&self, route: &Route, took: Duration, queued: Duration) {
        self.service_times.borrow_mut().record(&route.name, took);
        let run_time = took.saturating_sub(queued);
        self.run_times.borrow_mut().record(&route.name, run_time);
    }

    /// Returns true unless the relay is stopping and may not be able to answer a request
    /// of a route that was read now. It takes at most `limit`.
    pub(super) fn can_take(&self, route: &Route, limit: Duration) -> bool {
        let drain = self.phases.get().drain();
        drain.is_none_or(|drain| drain.can_take(self.expected_within(route, limit), limit))
    }

    /// Returns true unless the relay is stopping before an attempt for a request of a
    /// route that begins now would end. It takes at most `limit`.
    pub(super) fn has_time_for(&self, route: &Route, limit: Duration) -> bool {
        let drain = self.phases.get().drain();
        drain.is_none_or(|drain| drain.has_time_for(self.expected_within(route, limit)))
    }

    // Time that an answer of a route is expected to take, at most `limit`, also where
    // nothing is known of the route.
    fn expected_within(&self, route: &Route, limit: Duration) -> Duration {
        let expected = self.expected_time(route);
        expected.map_or(limit, |expected| expected.min(limit))
    }

    // Time within which answers of a route are expected to end, if any was seen.
    fn expected_time(&self, route: &Route) -> Option<Duration> {
        let times = self.service_times.borrow();
        times.expected(&route.name, route.kind.is_retryable())
    }

    /// Describes a request with a time limit that is read now; `None` outside a drain.
    pub(super) fn drain_read(&self, route: &Route, limit: Duration) -> Option<DrainRead> {
        let drain = self.phases.get().drain()?;
        Some(DrainRead {
            age: drain.age(),
            left: drain.time_left(),
            expected: self.expected_time(route),
            limit,
        })
    }

    /// Time since the relay started, which is the clock of the state held here.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Calls `f` with the upstreams of `view`.
    pub(super) fn fleet<T>(
        &self,
        view: &View,
        f: impl FnOnce(&mut Fleet, &mut SmallRng) -> T,
    ) -> T {
        let mut fleet = self.fleet.borrow_mut();
        fleet.update(view, self.now());
        if view.evacuations.is_empty() {
            fleet.end_evacuations();
        } else {
            // On the boot clock, as the host may have been suspended since the order.
            let limit = self.shared.settings.load().evacuation_limit;
            fleet.update_evacuations(&view.evacuations, limit, boot_clock::now());
        }
        if !fleet.knows_allowances(view.catalog.as_ref())
            && let Ok(members) = self.members.try_borrow()
        {
            let (own, tolerance) = (self.own_addr, self.settings().cold_tolerance);
            let catalog = view.catalog.as_ref();
            fleet.update_allowances(catalog, tolerance, &members, own, self.now());
        }
        f(&mut fleet, &mut self.rng.borrow_mut())
    }

    /// Calls `update` with an upstream's health, if it is still registered.
    pub(super) fn update_health(&self, key: UpstreamKey, update: impl FnOnce(&mut Health)) {
        let view = self.view();
        self.fleet(&view, |fleet, _| fleet.health_mut(key).map(update));
    }

    /// Returns a random number in 0..1.
    pub(super) fn random(&self) -> f64 {
        use rand::Rng;
        self.rng.borrow_mut().random()
    }

    /// `Retry-After` of a request that is refused because the relay stops: until a relay
    /// serves. It is spread, so that clients do not return together.
    pub(super) fn stop_retry_after(&self) -> Duration {
        let stops_in = self.stops_in().unwrap_or_default();
        let members = self.members.borrow();
        let wait = members.time_to_serve(self.own_addr, stops_in, self.now());
        retry_after(wait, self.random())
    }

    /// Time until the relay has probably stopped; `None` while it serves.
    pub(super) fn stops_in(&self) -> Option<Duration> {
        let drain = self.phases.get().drain()?;
        let is_needed = drain.is_early() || self.early_requests.get() > 0;
        let longest = self.service_times.borrow().longest(true);
        let longest = longest.filter(|_| is_needed);
        Some(drain.stops_in(longest.unwrap_or_default()))
    }

    /// Returns the version to which a session is pinned.
    pub(super) fn pinned_version(&self, service: &str, session: &str) -> Option<CompactString> {
        let sessions = self.sessions.borrow();
        sessions
            .pinned_version(service, session, self.now())
            .cloned()
    }

    /// Pins a session to the version that its request is sent to.
    pub(super) fn pin_session(
        &self,
        service: &str,
        session: &str,
        version: &CompactString,
        hash_point: f64,
    ) {
        let now = self.now();
        let mut sessions = self.sessions.borrow_mut();
        sessions.pin(service, session, version, hash_point, now);
    }

    /// Returns true if another gateway has pinned the session to an old version.
    pub(super) fn is_peer_pinned(&self, service: &str, session: &str) -> bool {
        let sessions = self.sessions.borrow();
        sessions.is_peer_pinned(service, session, self.now())
    }

    /// Digests of the sessions that are pinned to an old version during a canary
    /// phase, and the services whose roll-outs' sessions are all among them.
    pub(super) fn pinned_sessions(&self, view: &View) -> (Vec<u32>, Vec<CompactString>) {
        let mut sessions = self.sessions.borrow_mut();
        let (mut digests, mut complete) = (Vec::new(), Vec::new());
        for rollout in view.rollouts.iter().filter(|rollout| rollout.is_canary()) {
            let pinned = sessions.pinned_sessions(&rollout.to, rollout.session_share, self.now());
            if pinned.len() < MAX_REPORTED_SESSIONS {
                complete.push(rollout.service.clone());
            }
            digests.extend(pinned);
        }
        (digests, complete)
    }

    /// Returns true if all other gateways have told which sessions of a service they
    /// keep on an old version.
    pub(super) fn knows_sessions(&self, view: &View, service: &str) -> bool {
        let mut canaries = view.rollouts.iter().filter(|rollout| rollout.is_canary());
        let Some(rollout) = canaries.find(|rollout| rollout.service == service) else {
            return false;
        };
        // A gateway that has just started has not heard of all others yet.
        if self.now() < WAIT_TTL {
            return false;
        }
        let members = self.members.borrow();
        let others = members.reporting(self.own_addr, self.now(), WAIT_TTL);
        let lists = self.session_lists.borrow();
        lists.are_complete(service, rollout.order, others)
    }

    /// Counts the first send of a request to a service.
    pub(super) fn record_first_send(&self, service: &str) {
        self.budget(service, RetryBudget::record_first_send);
    }

    /// Takes one retry from the service's budget; returns false if the part that
    /// `cause` may use is spent.
    pub(super) fn take_retry(&self, service: &str, cause: RetryCause) -> bool {
        let is_taken = self.budget(service, |budget, now| budget.take_retry(now, cause));
        if is_taken {
            self.metrics.retries_taken.inc();
        }
        is_taken
    }

    /// Returns true if a service's retry budget allows a retry for `cause`.
    pub(super) fn has_retry(&self, service: &str, cause: RetryCause) -> bool {
        self.budget(service, |budget, now| budget.has_retry(now, cause))
    }

    /// Share of a service's retry budget for `cause` that is left, 0 to 1.
    pub(super) fn retry_headroom(&self, service: &str, cause: RetryCause) -> f64 {
        self.budget(service, |budget, now| budget.headroom(now, cause))
    }

    // Calls `f` with a service's retry budget, created on first use, and the current
    // time.
    fn budget<T>(&self, service: &str, f: impl FnOnce(&mut RetryBudget, Duration) -> T) -> T {
        let now = self.now();
        let settings = self.settings();
        if !self.members.borrow().is_listed() {
            self.update_members();
        }
        let gateways = self.members.borrow().count(self.own_addr);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_insert_with(|| {
            RetryBudget::new(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            )
        });
        budget.record_gateways(gateways);
        f(budget, now)
    }

    /// Returns the own load at all upstreams that have any, and drops expired
    /// reports of other gateways.
    pub(super) fn own_loads(&self) -> Vec<UpstreamLoad> {
        self.count_losses();
        self.update_members();
        let mut fleet = self.fleet.borrow_mut();
        fleet.peer_loads.expire(self.now());
        let gateways = fleet.peer_loads.gateway_count() as u32;
        self.shared.gateways.store(gateways, Ordering::Relaxed);
        fleet.own_loads()
    }

    /// Records that a prompt is sent to an engine.
    pub(super) fn record_prompt(
        &self,
        key: UpstreamKey,
        parts: &[PromptPart],
        kv_tokens: u64,
        capacity: u32,
    ) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let kept = fleet.record_prompt(key, parts, kv_tokens, capacity, now);
        let shared = parts.iter().map(|part| u64::from(part.tokens)).sum();
        self.metrics.shared_tokens.inc_by(shared);
        self.metrics.kept_tokens.inc_by(kept.round() as u64);
    }

    /// Takes the shared prompt parts that were sent to engines since the last report, as
    /// many as fit into `room` bytes.
    pub(super) fn take_copies(&self, room: usize) -> Vec<PromptCopy> {
        self.fleet.borrow_mut().prompts.take_untold(room)
    }

    /// Takes the paces of engines in own streams since the last report.
    pub(super) fn take_paces(&self) -> Vec<UpstreamPace> {
        self.fleet.borrow_mut().paces.take_untold()
    }

    /// Records a stream of an engine that ended whole.
    pub(super) fn record_stream(&self, upstream: &Upstream, stream: &StreamTimes<'_>) {
        let is_reference = !self.is_evaluated(&upstream.service, &upstream.version);
        let sample = StreamSample {
            service: &upstream.service,
            model: stream.model,
            engine: Incarnation::of(upstream).digest(),
            step_ms: stream.step_ms,
            generation_ms: stream.generation.as_secs_f64() * 1_000.0,
            tokens: stream.tokens,
            is_reference,
        };
        let now = self.now();
        self.fleet.borrow_mut().paces.record(&sample, now);
    }

    /// Time to generate an answer of a model at the usual pace, in milliseconds; zero
    /// while it is not known.
    pub(super) fn generation_ms(&self, service: &str, model: &str, tokens: u32) -> f64 {
        let fleet = self.fleet.borrow();
        fleet.paces.generation_ms(service, model, tokens)
    }

    /// Records another gateway's report, received from `from`.
    pub(super) fn receive_report(&self, report: &RelayReport, from: SocketAddr) {
        let now = self.now();
        let mut members = self.members.borrow_mut();
        let stops_in = report.stops_in.map(|ms| Duration::from_millis(ms.into()));
        members.record_report(from, stops_in, now);
        if let Some(counted) = &report.counted {
            members.record_counted(from, counted, self.own_addr);
        }
        let mut fleet = self.fleet.borrow_mut();
        fleet.peer_loads.receive(report, now);
        fleet.record_peer_limits(&report.limits, &members, self.own_addr, now);
        fleet.record_peer_departures(&report.leaving, now);
        fleet.paces.receive(&report.paces, now);
        fleet.prompts.receive(&report.copies, now);
        drop((fleet, members));
        self.receive_crashes(report, from);
        self.sessions
            .borrow_mut()
            .record_peer_pins(&report.kept_sessions, now);
        let complete = report.outcomes.iter().filter(|told| told.has_sessions);
        for told in complete {
            let order = decode_order(told);
            let mut lists = self.session_lists.borrow_mut();
            lists.record(&told.service, order, from);
        }
        if let Some(node) = &report.node {
            let update = PeerUpdate {
                outcomes: report.outcomes.iter().map(decode_outcomes).collect(),
                reads: report.reads.clone(),
            };
            self.forward_update(&node.name, update);
        }
    }

    // Wakes the control thread only if the update differs from the last one.
    fn forward_update(&self, node: &str, update: PeerUpdate) {
        let mut last_updates = self.last_updates.borrow_mut();
        let last = last_updates.entry(node.into()).or_default();
        if *last == update {
            return;
        }
        last.clone_from(&update);
        let mut peer_updates = self
            .shared
            .peer_updates
            .lock()
            .expect("no holder of the lock panics");
        peer_updates.insert(node.into(), update);
        drop(peer_updates);
        self.shared.peer_updated.notify_one();
    }

    /// Prefill time of `tokens` with a model at an idle upstream, in
    /// milliseconds.
    pub(super) fn prefill_ms(&self, service: &str, model: &str, tokens: f64) -> f64 {
        let latencies = self.latencies.borrow();
        let latency = latencies.get(&(service.into(), model.into()));
        latency.copied().unwrap_or_default().prefill_ms(tokens)
    }

    /// Records the outcome and the latency of an attempt.
    pub(super) fn record_outcome(&self, sample: &AttemptSample<'_>) {
        let slow = sample.first_byte.is_some_and(|first| {
            let mut latencies = self.latencies.borrow_mut();
            let key = (sample.service.into(), sample.model.into());
            let latency = latencies.entry(key).or_default();
            latency.record_prefill(first, sample.uncached_tokens);
            let is_reference = !self.is_evaluated(sample.service, sample.version);
            latency.record_answer(first, sample.prompt_tokens, is_reference)
        });
        let outcomes = Outcomes {
            answered: 1.0,
            failed: f64::from(u8::from(sample.failed)),
            slow: f64::from(u8::from(slow)),
            ..Outcomes::default()
        };
        let key = (sample.service.into(), sample.version.into());
        self.add_outcomes(key, &outcomes);
        if let Some(route) = sample.route {
            let tally = Tally::of_answer(sample.failed);
            self.add_tally(sample.service, sample.version, route, &tally);
        }
    }

    /// Returns true if a roll-out of this version is under way, so that its answers
    /// are not what is usual.
    fn is_evaluated(&self, service: &str, version: &str) -> bool {
        let view = self.view();
        let mut open = view.rollouts.iter().filter(|rollout| rollout.is_open);
        open.any(|rollout| rollout.service == service && rollout.to == version)
    }

    /// Time to the first byte after which an answer is late; `None` if the usual time
    /// is not known.
    pub(super) fn late_after(&self, service: &str, model: &str, tokens: u32) -> Option<Duration> {
        let usual_times = self.usual_times.borrow();
        let usual = usual_times.get(&(service.into(), model.into()))?;
        usual.late_after(tokens)
    }

    /// Counts an attempt whose time to the first byte could be compared with the
    /// usual one.
    pub(super) fn record_timed(&self, upstream: &Upstream, is_late: bool) {
        let timed = Outcomes {
            timed: 1.0,
            late: f64::from(u8::from(is_late)),
            ..Outcomes::default()
        };
        self.add_outcomes((upstream.service.clone(), upstream.version.clone()), &timed);
    }

    /// Counts the time to the first byte of an answer, or the time after which it was
    /// given up.
    pub(super) fn record_time(&self, upstream: &Upstream, route: RouteDigest, time: Duration) {
        let tally = Tally::of_time(time);
        self.add_tally(&upstream.service, &upstream.version, route, &tally);
    }

    /// Adds the time to the first byte of a good answer to the usual ones, unless its
    /// version is under evaluation.
    pub(super) fn record_usual_time(
        &self,
        upstream: &Upstream,
        model: &str,
        tokens: u32,
        first_byte: Duration,
    ) {
        if self.is_evaluated(&upstream.service, &upstream.version) {
            return;
        }
        let key = (upstream.service.clone(), model.into());
        let mut usual_times = self.usual_times.borrow_mut();
        let usual = usual_times.entry(key).or_default();
        usual.record(first_byte, tokens);
    }

    /// Records a request that was sent to an upstream and lost.
    pub(super) fn record_loss(&self, upstream: &Upstream, route: RouteDigest, loss: Loss) {
        let Upstream {
            service, version, ..
        } = upstream;
        let now = self.now();
        self.losses
            .borrow_mut()
            .record_loss(service, version, route, loss, now);
    }

    /// Records an upstream that could not be reached.
    pub(super) fn record_unreachable(&self, key: UpstreamKey, upstream: &Upstream) {
        let now = self.now();
        self.update_health(key, |health| health.record_unreachable(now));
        let Upstream {
            service, version, ..
        } = upstream;
        let mut losses = self.losses.borrow_mut();
        losses.record_unreachable(key, service, version, now);
    }

    // Adds the losses that are attributed to a version by now to its outcomes.
    fn count_losses(&self) {
        let counted = self.losses.borrow_mut().take_attributed(self.now());
        for (service, version, route, loss) in counted {
            let answered = if loss == Loss::Unanswered { 1.0 } else { 0.0 };
            let lost = Outcomes {
                answered,
                failed: 1.0,
                ..Outcomes::default()
            };
            let tally = Tally {
                answered,
                failed: 1.0,
                ..Tally::default()
            };
            self.add_tally(&service, &version, route, &tally);
            self.add_outcomes((service, version), &lost);
        }
    }

    // Adds outcomes to those of a service and version.
    fn add_outcomes(&self, key: (CompactString, CompactString), outcomes: &Outcomes) {
        let mut outcome_counts = self
            .shared
            .outcome_counts
            .lock()
            .expect("no holder of the lock panics");
        outcome_counts.entry(key).or_default().add(outcomes);
    }

    // Adds a tally to that of a service, version and route.
    fn add_tally(&self, service: &str, version: &str, route: RouteDigest, tally: &Tally) {
        let mut tally_counts = self
            .shared
            .tally_counts
            .lock()
            .expect("no holder of the lock panics");
        let mut key = (service.into(), version.into(), route);
        if tally_counts.len() >= MAX_TALLIES && !tally_counts.contains_key(&key) {
            key.2 = RouteDigest::OTHERS;
        }
        tally_counts.entry(key).or_default().add(tally);
    }
}

/// Times of a stream that ended whole at one engine.
pub(super) struct StreamTimes<'a> {
    pub(super) model: &'a str,
    /// Typical gap between events, in milliseconds.
    pub(super) step_ms: f64,
    /// Time from the head of the answer to its end.
    pub(super) generation: Duration,
    /// Tokens of the answer that were expected.
    pub(super) tokens: u32,
}

/// Measurements of one attempt.
pub(super) struct AttemptSample<'a> {
    pub(super) service: &'a str,
    pub(super) model: &'a str,
    pub(super) version: &'a str,
    /// Route to whose tally it counts.
    pub(super) route: Option<RouteDigest>,
    pub(super) failed: bool,
    /// Time to the first byte of the answer.
    pub(super) first_byte: Option<Duration>,
    /// Length of the prompt.
    pub(super) prompt_tokens: u32,
    /// Tokens of the prompt that no upstream can have cached.
    pub(super) uncached_tokens: u32,
}

/// Counts an attempt as in flight at an upstream until dropped, so that the
/// attempt also ends when the client disconnects.
pub(super) struct AttemptGuard {
    traffic: Rc<Traffic>,
    key: UpstreamKey,
    backlog_ms: f64,
    kv_tokens: u64,
    /// Freed once the attempt no longer counts.
    _place: Option<Place>,
}

impl AttemptGuard {
    pub(super) fn start(
        traffic: &Rc<Traffic>,
        key: UpstreamKey,
        backlog_ms: f64,
        kv_tokens: u64,
        place: Option<Place>,
    ) -> Self {
        let mut fleet = traffic.fleet.borrow_mut();
        fleet.begin_attempt(key, backlog_ms, kv_tokens);
        drop(fleet);
        let place = place.map(Place::sent);
        traffic.load_changed.notify_one();
        Self {
            traffic: Rc::clone(traffic),
            key,
            backlog_ms,
            kv_tokens,
            _place: place,
        }
    }

    /// Removes the prompt from the upstream's backlog, once its prefill has
    /// ended.
    pub(super) fn finish_prefill(&mut self) {
        let backlog_ms = std::mem::take(&mut self.backlog_ms);
        self.traffic
            .fleet
            .borrow_mut()
            .finish_prefill(self.key, backlog_ms);
        self.traffic.load_changed.notify_one();
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        let mut fleet = self.traffic.fleet.borrow_mut();
        fleet.end_attempt(self.key, self.kv_tokens);
    }
}
