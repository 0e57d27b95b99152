//! What all connections of the traffic thread share.

use std::cell::{Cell, RefCell};
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
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::RelaySettings;
use super::budget::{Cause, RepeatBudget};
use super::fleet::Fleet;
use super::gossip::{Peers, read_outcomes};
use super::health::Health;
use super::losses::{Loss, Losses};
use super::metrics::Metrics;
use super::pace::Pace;
use super::rollout::Outcomes;
use super::sessions::Sessions;
use super::view::{OutcomesView, Upstream, UpstreamKey, View};
use crate::peer::message::{RelayReport, TableRead, UpstreamLoad};

/// Outcomes by service and version, for the judgement of roll-outs.
pub(super) type Evidence = Arc<Mutex<FxHashMap<(CompactString, CompactString), Outcomes>>>;

/// What another gateway told the control thread.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct News {
    pub(super) outcomes: Vec<OutcomesView>,
    pub(super) reads: Vec<TableRead>,
}

/// The newest from each other gateway that the control thread has not taken in.
pub(super) type Told = Arc<Mutex<FxHashMap<CompactString, News>>>;

/// What the two threads of a relay have in common.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) settings: Arc<ArcSwap<RelaySettings>>,
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) evidence: Evidence,
    pub(super) told: Told,
    /// Told whenever there is a newer view.
    pub(super) published: Arc<Notify>,
    /// Told whenever there is news in `told`.
    pub(super) heard: Arc<Notify>,
    /// Other gateways that reported lately.
    pub(super) gateways: Arc<AtomicU32>,
    pub(super) metrics: Arc<Metrics>,
}

impl Shared {
    pub(super) fn new(settings: RelaySettings) -> Self {
        Self {
            settings: Arc::new(ArcSwap::from_pointee(settings)),
            view: Arc::default(),
            evidence: Arc::default(),
            told: Arc::default(),
            published: Arc::default(),
            heard: Arc::default(),
            gateways: Arc::default(),
            metrics: Arc::default(),
        }
    }

    /// Outcomes of all services and versions since the start.
    pub(super) fn outcomes(&self) -> Vec<(CompactString, CompactString, Outcomes)> {
        let evidence = self.evidence.lock().expect("no holder of the lock panics");
        let sums = evidence.iter();
        sums.map(|((service, version), seen)| (service.clone(), version.clone(), *seen))
            .collect()
    }

    /// Takes what the other gateways told since the last time.
    pub(super) fn take_news(&self) -> FxHashMap<CompactString, News> {
        let mut told = self.told.lock().expect("no holder of the lock panics");
        std::mem::take(&mut *told)
    }
}

/// State of the traffic thread.
pub(super) struct Traffic {
    pub(super) metrics: Arc<Metrics>,
    pub(super) config: ServiceConfig,
    pub(super) draining: Cell<Option<Instant>>,
    /// Requests that were read and not answered.
    pub(super) active: Cell<usize>,
    /// Told whenever the own load changes.
    pub(super) load_changed: Notify,
    pub(super) peers: RefCell<Peers>,
    shared: Shared,
    fleet: RefCell<Fleet>,
    budgets: RefCell<FxHashMap<CompactString, RepeatBudget>>,
    paces: RefCell<FxHashMap<(CompactString, CompactString), Pace>>,
    sessions: RefCell<Sessions>,
    losses: RefCell<Losses>,
    last_news: RefCell<FxHashMap<CompactString, News>>,
    rng: RefCell<SmallRng>,
    started: Instant,
}

impl Traffic {
    pub(super) fn new(shared: Shared) -> Self {
        let session_gap = shared.settings.load().session_gap;
        let sessions = RefCell::new(Sessions::new(session_gap));
        Self {
            sessions,
            losses: RefCell::default(),
            last_news: RefCell::default(),
            metrics: Arc::clone(&shared.metrics),
            config: ServiceConfig::default(),
            draining: Cell::new(None),
            active: Cell::new(0),
            load_changed: Notify::new(),
            peers: RefCell::default(),
            shared,
            fleet: RefCell::default(),
            budgets: RefCell::default(),
            paces: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            started: Instant::now(),
        }
    }

    /// The settings in force.
    pub(super) fn settings(&self) -> Arc<RelaySettings> {
        self.shared.settings.load_full()
    }

    /// Takes over changed settings; addresses stay as they are until a restart.
    pub(super) fn reload(&self, settings: RelaySettings) {
        let before = self.settings();
        if settings == *before {
            return;
        }
        let needs_restart = settings.addresses() != before.addresses();
        tracing::info!(
            needs_restart,
            "settings changed; bounds take effect at once"
        );
        self.budgets.borrow_mut().clear();
        self.shared.settings.store(Arc::new(settings));
    }

    pub(super) fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// The view, once it is known where requests go; after `limit` in any case.
    ///
    /// Load pattern: all gateways start at once while clients try again. A
    /// request that waits some milliseconds for the store spares its client a
    /// refusal and the time until it comes back.
    pub(super) async fn synced_view(&self, limit: Duration) -> Arc<View> {
        let until = Instant::now() + limit;
        loop {
            let published = self.shared.published.notified();
            let view = self.view();
            if view.is_synced || timeout_at(until, published).await.is_err() {
                return view;
            }
        }
    }

    /// Time since the start.
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
        fleet.follow(view);
        f(&mut fleet, &mut self.rng.borrow_mut())
    }

    /// Changes what is known of an upstream's health, where it is still there.
    pub(super) fn note_health(&self, key: UpstreamKey, note: impl FnOnce(&mut Health)) {
        let view = self.view();
        self.fleet(&view, |fleet, _| fleet.health(key).map(note));
    }

    /// A number in 0..1.
    pub(super) fn random(&self) -> f64 {
        use rand::Rng;
        self.rng.borrow_mut().random()
    }

    /// The version that a session was on lately.
    pub(super) fn session_version(&self, service: &str, session: &str) -> Option<CompactString> {
        let sessions = self.sessions.borrow();
        sessions.version(service, session, self.now()).cloned()
    }

    /// A session's request goes to a version.
    pub(super) fn session_used(
        &self,
        service: &str,
        session: &str,
        version: &CompactString,
        point: f64,
    ) {
        let now = self.now();
        let mut sessions = self.sessions.borrow_mut();
        sessions.used(service, session, version, point, now);
    }

    /// True where another gateway keeps a session on an old version.
    pub(super) fn is_session_kept(&self, service: &str, session: &str) -> bool {
        let sessions = self.sessions.borrow();
        sessions.is_kept(service, session, self.now())
    }

    /// Sessions to keep on an old version while a roll-out is tried.
    pub(super) fn kept_sessions(&self, view: &View) -> Vec<u32> {
        let mut sessions = self.sessions.borrow_mut();
        let tried = view.rollouts.iter().filter(|rollout| rollout.is_tried());
        tried
            .flat_map(|rollout| sessions.kept(&rollout.to, self.now()))
            .collect()
    }

    /// Counts the first send of a request to a service.
    pub(super) fn first_send(&self, service: &str) {
        self.budget(service, RepeatBudget::first);
    }

    /// True where a request may be sent once more.
    pub(super) fn may_repeat(&self, service: &str, cause: Cause) -> bool {
        self.budget(service, |budget, now| budget.repeat(now, cause))
    }

    /// Share of a service's repeats for a cause that is left, 0 to 1.
    pub(super) fn headroom(&self, service: &str, cause: Cause) -> f64 {
        self.budget(service, |budget, now| budget.headroom(now, cause))
    }

    fn budget<T>(&self, service: &str, f: impl FnOnce(&mut RepeatBudget, Duration) -> T) -> T {
        let now = self.now();
        let gateways = self.fleet.borrow().peers.gateways() + 1;
        let mut budgets = self.budgets.borrow_mut();
        let settings = self.settings();
        let budget = budgets.entry(service.into()).or_insert_with(|| {
            RepeatBudget::new(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            )
        });
        budget.share(gateways);
        f(budget, now)
    }

    /// Own load at the upstreams that have any; drops reports that are too old.
    pub(super) fn own_loads(&self) -> Vec<UpstreamLoad> {
        self.settle_losses();
        let mut fleet = self.fleet.borrow_mut();
        fleet.peers.expire(self.now());
        let gateways = fleet.peers.gateways() as u32;
        self.shared.gateways.store(gateways, Ordering::Relaxed);
        fleet.loads()
    }

    /// Takes in another gateway's load.
    pub(super) fn peer_report(&self, report: &RelayReport) {
        let now = self.now();
        self.fleet.borrow_mut().peers.receive(report, now);
        self.sessions.borrow_mut().keep(&report.kept_sessions, now);
        if let Some(node) = &report.node {
            let news = News {
                outcomes: report.outcomes.iter().map(read_outcomes).collect(),
                reads: report.reads.clone(),
            };
            self.tell(&node.name, news);
        }
    }

    // Wakes the control thread for what is new only.
    fn tell(&self, node: &str, news: News) {
        let mut last_news = self.last_news.borrow_mut();
        let last = last_news.entry(node.into()).or_default();
        if *last == news {
            return;
        }
        last.clone_from(&news);
        let mut told = self
            .shared
            .told
            .lock()
            .expect("no holder of the lock panics");
        told.insert(node.into(), news);
        drop(told);
        self.shared.heard.notify_one();
    }

    /// Time that an idle upstream needs to read `tokens` with a model, in
    /// milliseconds.
    pub(super) fn reading_ms(&self, service: &str, model: &str, tokens: f64) -> f64 {
        let paces = self.paces.borrow();
        let pace = paces.get(&(service.into(), model.into()));
        pace.copied().unwrap_or_default().reading_ms(tokens)
    }

    /// Takes note of how an attempt at a version ended; `first` is the time to
    /// its first byte and `tokens` the length of its prompt.
    pub(super) fn note_outcome(&self, outcome: &Outcome<'_>) {
        let slow = outcome.first.is_some_and(|first| {
            let mut paces = self.paces.borrow_mut();
            let key = (outcome.service.into(), outcome.model.into());
            let pace = paces.entry(key).or_default();
            pace.read(first, outcome.unread);
            pace.observe(first, outcome.tokens)
        });
        let outcomes = Outcomes {
            answered: 1.0,
            failed: f64::from(u8::from(outcome.failed)),
            slow: f64::from(u8::from(slow)),
        };
        let key = (outcome.service.into(), outcome.version.into());
        self.add_evidence(key, &outcomes);
    }

    /// Takes note of a request that was sent to an upstream and lost.
    pub(super) fn note_loss(&self, upstream: &Upstream, loss: Loss) {
        let Upstream {
            service, version, ..
        } = upstream;
        let now = self.now();
        self.losses.borrow_mut().lost(service, version, loss, now);
    }

    /// Takes note of an upstream that took no connection.
    pub(super) fn note_unreachable(&self, key: UpstreamKey, upstream: &Upstream) {
        let now = self.now();
        self.note_health(key, |health| health.unreachable(now));
        let Upstream {
            service, version, ..
        } = upstream;
        let mut losses = self.losses.borrow_mut();
        losses.unreachable(key, service, version, now);
    }

    fn settle_losses(&self) {
        let counted = self.losses.borrow_mut().settle(self.now());
        for (service, version, loss) in counted {
            let answered = if loss == Loss::OfRequest { 1.0 } else { 0.0 };
            let lost = Outcomes {
                answered,
                failed: 1.0,
                slow: 0.0,
            };
            self.add_evidence((service, version), &lost);
        }
    }

    fn add_evidence(&self, key: (CompactString, CompactString), outcomes: &Outcomes) {
        let mut evidence = self
            .shared
            .evidence
            .lock()
            .expect("no holder of the lock panics");
        evidence.entry(key).or_default().add(outcomes);
    }
}

/// How an attempt ended.
pub(super) struct Outcome<'a> {
    pub(super) service: &'a str,
    pub(super) model: &'a str,
    pub(super) version: &'a str,
    pub(super) failed: bool,
    pub(super) first: Option<Duration>,
    pub(super) tokens: u32,
    /// Tokens of the prompt that no upstream can have cached.
    pub(super) unread: u32,
}

/// An attempt under way at an upstream; ends it when dropped, so that a client
/// that leaves is not counted on.
pub(super) struct Flight {
    traffic: Rc<Traffic>,
    key: UpstreamKey,
    backlog: f64,
}

impl Flight {
    pub(super) fn start(traffic: &Rc<Traffic>, key: UpstreamKey, backlog: f64) -> Self {
        traffic.fleet.borrow_mut().started(key, backlog);
        traffic.load_changed.notify_one();
        Self {
            traffic: Rc::clone(traffic),
            key,
            backlog,
        }
    }

    /// The prompt was read.
    pub(super) fn was_read(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        self.traffic.fleet.borrow_mut().was_read(self.key, backlog);
        self.traffic.load_changed.notify_one();
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.was_read();
        self.traffic.fleet.borrow_mut().ended(self.key);
    }
}
