//! The loop around the reducer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_rt::time::{Instant, interval, sleep};
use arc_swap::ArcSwap;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tracing::warn;

use super::claim_tickets::ClaimTickets;
use super::counters::Counters;
use super::handle::Input;
use super::settings::PlatformSettings;
use crate::control::{Effect, Event, Millis, State, TICK, Ticket, UpstreamAction, View};
use crate::peer::{Link, message::Envelope};
use crate::store::table::TableCall;
use crate::store::{HostsClient, ObjectClient, TableClient};

/// Minimum pause after a read of the host list.
const HOSTS_PAUSE: Duration = Duration::from_secs(2);

/// Upper bound of the random delay added to [`HOSTS_PAUSE`], in milliseconds.
const HOSTS_JITTER_MS: u64 = 500;

/// Interval between two reports of the gauges.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Name of the object that holds the snapshot written last.
const SNAPSHOT_NAME: &str = "config/snapshot";

/// Delay before nng is closed, so that it can send the last messages.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Events that are handled before the thread's other tasks may run.
const EVENTS_PER_YIELD: usize = 64;

/// State of the control thread: the reducer and its inputs and outputs.
#[derive(Debug)]
pub(super) struct Runtime {
    pub(super) state: State,
    pub(super) link: Link,
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) counters: Counters,
    pub(super) platform: PlatformSettings,
    pub(super) started: Instant,
    pub(super) fresh_until: Arc<AtomicU64>,
    pub(super) tickets: ClaimTickets,
    pub(super) upstream: Option<mpsc::UnboundedSender<UpstreamAction>>,
}

impl Runtime {
    /// Handles events until the node is closed.
    pub(super) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Input>,
        mut received: mpsc::Receiver<Envelope>,
    ) {
        let table = TableClient::new(self.platform.table_addr);
        actix_rt::spawn(poll_hosts(self.platform.hosts_addr, self.inputs.clone()));
        let mut ticks = interval(Duration::from_millis(TICK.0));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = interval(REPORT_PERIOD);
        let mut handled = 0;
        loop {
            let event = tokio::select! {
                biased;
                _ = ticks.tick() => Event::Tick,
                _ = reports.tick() => {
                    self.report_gauges();
                    continue;
                }
                input = events.recv() => match input {
                    Some(Input::Event(event)) => event,
                    Some(Input::Claim(request, answer)) => self.tickets.issue(request, answer),
                    Some(Input::SubscribeUpstream(actions)) => {
                        self.upstream = Some(actions);
                        continue;
                    }
                    Some(Input::Close(done)) => {
                        sleep(FLUSH_DELAY).await;
                        drop(self);
                        let _ = done.send(());
                        return;
                    }
                    None => return,
                },
                Some(envelope) = received.recv() => Event::MessageReceived(Box::new(envelope)),
            };
            let now = Millis(self.started.elapsed().as_millis() as u64);
            for effect in self.state.apply(&event, now) {
                self.execute_effect(effect, &table);
            }
            handled += 1;
            if handled % EVENTS_PER_YIELD == 0 {
                actix_rt::task::yield_now().await;
            }
        }
    }

    fn execute_effect(&mut self, effect: Effect, table: &TableClient) {
        match effect {
            Effect::Send(addr, envelope) => self.link.send(&addr, &envelope),
            Effect::CallTable(ticket, call) => self.call_table(ticket, call, table.clone()),
            Effect::PublishView(view) => self.view.store(view),
            Effect::SetFreshUntil(until) => self.fresh_until.store(until.0, Ordering::Relaxed),
            Effect::ReadSnapshot => self.read_snapshot(),
            Effect::WriteSnapshot(bytes) => self.write_snapshot(bytes),
            Effect::AnswerClaim(ticket, answer) => {
                if let Some(event) = self.tickets.answer(ticket, answer) {
                    drop(self.inputs.send(Input::Event(event)));
                }
            }
            Effect::Upstream(action) => {
                if let Some(upstream) = &self.upstream {
                    drop(upstream.send(action));
                }
            }
        }
    }

    fn call_table(&self, ticket: Ticket, call: TableCall, table: TableClient) {
        let inputs = self.inputs.clone();
        let counters = self.counters.clone();
        actix_rt::spawn(async move {
            let result = table.call(call).await;
            counters.count("table.calls", 1);
            if result.is_err() {
                counters.count("table.failures", 1);
            }
            let answered = Event::TableAnswered(ticket, result);
            let _ = inputs.send(Input::Event(answered));
        });
    }

    fn read_snapshot(&self) {
        let Some(addr) = self.platform.objects_addr else {
            return;
        };
        let inputs = self.inputs.clone();
        actix_rt::spawn(async move {
            match ObjectClient::new(addr).get(SNAPSHOT_NAME).await {
                Ok(Some(bytes)) => {
                    let _ = inputs.send(Input::Event(Event::SnapshotRead(bytes)));
                }
                Ok(None) => {}
                Err(error) => warn!(name: "snapshot.unread", %error),
            }
        });
    }

    fn write_snapshot(&self, bytes: Bytes) {
        let Some(addr) = self.platform.objects_addr else {
            return;
        };
        actix_rt::spawn(async move {
            let client = ObjectClient::new(addr);
            if let Err(error) = client.put(SNAPSHOT_NAME, bytes).await {
                warn!(name: "snapshot.unwritten", %error);
            }
        });
    }

    fn report_gauges(&self) {
        let stats = self.link.stats();
        let view = self.view.load();
        let gauges = [
            ("peer.sent", &stats.sent),
            ("peer.sent_bytes", &stats.sent_bytes),
            ("peer.unsent", &stats.unsent),
            ("peer.received", &stats.received),
            ("peer.received_bytes", &stats.received_bytes),
            ("peer.refused", &stats.refused),
        ];
        for (name, value) in gauges {
            self.counters.gauge(name, value.load(Ordering::Relaxed));
        }
        self.counters
            .gauge("config.generation", view.config.generation);
        self.counters.gauge("members", view.members.len() as u64);
    }
}

async fn poll_hosts(addr: SocketAddr, inputs: mpsc::UnboundedSender<Input>) {
    let mut client = HostsClient::new(addr);
    let mut rng = SmallRng::from_os_rng();
    let mut reachable = true;
    while !inputs.is_closed() {
        match client.list().await {
            Ok(hosts) => {
                reachable = true;
                let event = Event::HostsListed(hosts);
                let _ = inputs.send(Input::Event(event));
            }
            Err(error) if reachable => {
                reachable = false;
                warn!(name: "hosts.unreachable", %addr, %error);
            }
            Err(_) => {}
        }
        let jitter = Duration::from_millis(rng.random_range(0..HOSTS_JITTER_MS));
        sleep(HOSTS_PAUSE + jitter).await;
    }
}
