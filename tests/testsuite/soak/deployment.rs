//! The processes of a soak, the links between them, and the faults they can suffer.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::{Value, json};

use super::check_bounds::{RETRY_RATIO, RETRY_SLACK, upstream_index};
use super::history::{Disturbance, FaultTarget, History, Key, NamedLimit, Run, Stop};
use super::plan::{Sizes, has_deadly_requests};
use crate::support::platform::{Arrival, add_spare_routes, config, lab, read_arrivals};
use crate::support::{Net, Passing, Process, Relay, now_ms};

/// Delay between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Delay between the crash of an upstream under a request and its restart.
const CRASH_DELAY: Duration = Duration::from_millis(1_200);

/// Time for which the registration of a crashed upstream stays in the store.
const REGISTRATION_TTL: Duration = Duration::from_millis(2_500);

/// Time for which a draining upstream still serves requests.
const DRAIN_PERIOD: Duration = Duration::from_millis(3_500);

/// Time within which all relays must be ready once the faults are over.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of answers that the stand-in of the store loses in one fault.
const LOST_ANSWERS: u32 = 5;

/// Versions from one configuration with many spare routes to the next.
const LARGE_INTERVAL: u64 = 4;

/// Bytes of these routes.
const LARGE_CONFIG_BYTES: usize = 1_200_000;

/// Bytes a second of the last relay's link from the store: 10 Mbit/s.
const THIN_LINK_PACE: u32 = 1_250_000;

/// Mean of the drawn times of answers.
const DRAWN_WORK_MS: u64 = 1_200;

/// API keys that every configuration contains.
pub(crate) const PERMANENT_KEYS: [&str; 2] = ["shop-key", "depot-key"];

/// A running soak: its processes, its links and the history recorded so far.
pub(crate) struct Deployment {
    pub(crate) seed: u64,
    pub(crate) sizes: Sizes,
    pub(crate) history: RefCell<History>,
    dir: PathBuf,
    client: awc::Client,
    store: Process,
    store_links: Vec<Relay>,
    client_links: Vec<Relay>,
    upstream_links: Vec<Relay>,
    relays: Vec<ProcessSlot>,
    upstreams: Vec<ProcessSlot>,
    version: Cell<u64>,
    /// True while callers send requests that crash upstreams.
    pub(crate) sends_deadly: Cell<bool>,
    /// True until the faults are over.
    has_faults: Cell<bool>,
    /// True while relays are stopped together and answers take drawn times.
    pub(crate) is_stopping: Cell<bool>,
    /// Its addresses, until all its processes have ended.
    net: Net,
}

/// A relay or upstream that is restarted in the course of a soak.
#[derive(Default)]
struct ProcessSlot {
    process: RefCell<Option<Process>>,
    /// Number of starts so far.
    incarnation: Cell<u32>,
    /// Number of registrations written so far.
    sequence: Cell<u64>,
    /// Limit that the process names, with the time from which it does so.
    limit: Cell<Option<(f64, u64)>>,
    /// True while the process says that it is leaving.
    is_departing: Cell<bool>,
    /// State in the last registration; empty once it was removed.
    state: RefCell<&'static str>,
    name: RefCell<String>,
}

impl Deployment {
    /// Starts all processes and waits until all relays are ready.
    pub(crate) async fn start(seed: u64, sizes: Sizes, net: Net) -> Rc<Self> {
        let process = std::process::id();
        let dir = std::env::temp_dir().join(format!("carawayrun-soak-{process}-{seed}"));
        std::fs::create_dir_all(&dir).expect("the soak's directory can be created");
        let store = format!("{net}.1:7000");
        let process = lab(&dir, "store", &["metadata", "--listen", &store]);
        let mut deployment = Self {
            seed,
            sizes,
            history: RefCell::default(),
            dir,
            client: awc::Client::builder().disable_redirects().finish(),
            store: process,
            store_links: Vec::new(),
            client_links: Vec::new(),
            upstream_links: Vec::new(),
            relays: (0..sizes.relays).map(|_| ProcessSlot::default()).collect(),
            upstreams: (0..sizes.upstreams)
                .map(|_| ProcessSlot::default())
                .collect(),
            version: Cell::new(1),
            sends_deadly: Cell::new(false),
            has_faults: Cell::new(true),
            is_stopping: Cell::new(false),
            net,
        };
        deployment.bind_links(&store).await;
        let deployment = Rc::new(deployment);
        let health = format!("http://{store}/health");
        deployment
            .wait_until(async || deployment.is_answering(&health).await)
            .await;
        deployment.configure().await;
        for upstream in 0..sizes.upstreams {
            deployment.start_upstream(upstream, true).await;
        }
        for relay in 0..sizes.relays {
            deployment.start_relay(relay);
        }
        deployment
            .wait_until(async || deployment.are_all_ready().await)
            .await;
        deployment
    }

    async fn bind_links(&mut self, store: &str) {
        let net = self.net.to_string();
        for relay in 0..self.sizes.relays {
            let listen = format!("{net}.1:{}", 7_100 + relay);
            self.store_links
                .push(Relay::bind(&listen, store.to_owned()).await);
            let target = format!("{net}.{}:7001", 2 + relay);
            self.client_links
                .push(Relay::bind(&self.client_addr(relay), target).await);
        }
        // Another relay reads the tables for all, as long as it runs.
        let thin = self.store_links.last();
        thin.expect("there are relays").limit_pace(THIN_LINK_PACE);
        for upstream in 0..self.sizes.upstreams {
            let target = format!("{net}.{}:7000", 100 + upstream);
            let listen = self.upstream_addr(upstream);
            self.upstream_links.push(Relay::bind(&listen, target).await);
        }
    }

    /// Returns the address at which callers reach a relay.
    pub(crate) fn client_addr(&self, relay: usize) -> String {
        format!("{}.{}:7200", self.net, 2 + relay)
    }

    // A link would accept connections for an upstream that has crashed, so there is none
    // before the upstreams of a soak with deadly requests.
    fn registered_addr(&self, upstream: usize) -> String {
        if has_deadly_requests(self.seed) {
            format!("{}.{}:7000", self.net, 100 + upstream)
        } else {
            self.upstream_addr(upstream)
        }
    }

    fn upstream_addr(&self, upstream: usize) -> String {
        format!("{}.{}:7100", self.net, 100 + upstream)
    }

    /// Returns the incarnation of a relay's current process.
    pub(crate) fn incarnation(&self, relay: usize) -> u32 {
        self.relays[relay].incarnation.get()
    }

    /// Returns the keys of the current configuration, the newest last.
    pub(crate) fn active_keys(&self) -> Vec<String> {
        let history = self.history.borrow();
        let active = history.keys.iter().filter(|key| key.revoked.is_none());
        let permanent = PERMANENT_KEYS.iter().map(|key| (*key).to_owned());
        permanent
            .chain(active.map(|key| key.text.clone()))
            .collect()
    }

    /// Returns the newest of the revoked keys, which some callers still use.
    pub(crate) fn last_revoked_key(&self) -> Option<String> {
        let history = self.history.borrow();
        let revoked = history.keys.iter().rev().find(|key| key.revoked.is_some());
        revoked.map(|key| key.text.clone())
    }

    fn start_relay(&self, relay: usize) {
        let name = format!("relay-{relay}");
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, self.settings(relay)).expect("settings can be written");
        let args = ["relay", "--settings", &path.to_string_lossy()].map(String::from);
        let program = Path::new(env!("CARGO_BIN_EXE_carawayrun"));
        let slot = &self.relays[relay];
        let process = Process::spawn(&self.dir, &name, program, &args);
        slot.incarnation.set(slot.incarnation.get() + 1);
        *slot.process.borrow_mut() = Some(process);
    }

    fn settings(&self, relay: usize) -> String {
        let net = &self.net;
        let own = 2 + relay;
        format!(
            "node_name = \"edge-{relay}\"\nip = \"{net}.{own}\"\nzone = \"a\"\n\
             port_range = [7010, 7020]\n\
             [listen]\nfrontend = \"{net}.{own}:7001\"\nreadiness = \"{net}.{own}:7002\"\n\
             [limits]\nmax_fds = 4096\n\
             [bounds]\ngrace_s = 8\ndrain_ms = 2000\nrevoke_ms = 5000\ncontact_ms = 3000\n\
             retry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\nretry_window_s = 10\n\
             exposure_share = 0.15\nsession_s = 5\n\
             [platform]\naddress = \"{net}.1:{}\"\n",
            7_100 + relay
        )
    }

    async fn start_upstream(&self, upstream: usize, keeps_name: bool) {
        let slot = &self.upstreams[upstream];
        slot.incarnation.set(slot.incarnation.get() + 1);
        if !keeps_name || slot.name.borrow().is_empty() {
            *slot.name.borrow_mut() = format!("u-{upstream}-{}", slot.incarnation.get());
        }
        let name = slot.name.borrow().clone();
        let addr = format!("{}.{}:7000", self.net, 100 + upstream);
        let record = self.dir.join("runs.jsonl");
        let record = record.to_string_lossy();
        let arrivals = self.dir.join("arrivals.jsonl");
        let arrivals = arrivals.to_string_lossy();
        slot.is_departing.set(false);
        self.end_limit(upstream);
        let faults = self.with_lasting_faults(upstream, &json!({})).to_string();
        let args = [
            "runner",
            "--listen",
            &addr,
            "--id",
            &name,
            "--slots",
            "8",
            "--work-ms",
            "60",
            "--confidence",
            if upstream.is_multiple_of(3) {
                "30"
            } else {
                "90"
            },
            "--record",
            &record,
            "--arrivals",
            &arrivals,
            "--faults",
            &faults,
        ];
        *slot.process.borrow_mut() = Some(lab(&self.dir, &name, &args));
        let health = format!("http://{addr}/health");
        self.wait_until(async || self.is_answering(&health).await)
            .await;
        self.register(upstream, "ready").await;
    }

    async fn register(&self, upstream: usize, state: &'static str) {
        // The service depends on the incarnation in the upstream's name, so that
        // addresses are reused by other services.
        let slot = &self.upstreams[upstream];
        let service = self.service(upstream);
        slot.sequence.set(slot.sequence.get() + 1);
        *slot.state.borrow_mut() = state;
        let row = json!({
            "service": service, "address": self.registered_addr(upstream),
            "zone": "a", "version": "v1", "batch_slots": 8, "state": state,
            "warmup_left_ms": 0, "sequence": slot.sequence.get(), "born": u64::from(slot.incarnation.get()),
        });
        let name = slot.name.borrow().clone();
        self.put(&format!("/rows/servers/{name}"), &row).await;
    }

    fn service(&self, upstream: usize) -> &'static str {
        let name = self.upstreams[upstream].name.borrow();
        let start: usize = name
            .rsplit('-')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        // The first two upstreams of each service keep it, so each always has some.
        let is_fixed = upstream < 4;
        let offset = if is_fixed { 0 } else { start - 1 };
        if (upstream + offset).is_multiple_of(2) {
            "app"
        } else {
            "llm"
        }
    }

    async fn configure(&self) {
        let mut wanted = config(self.version.get(), &[]);
        let shops: Vec<String> = self
            .active_keys()
            .into_iter()
            .filter(|key| *key != PERMANENT_KEYS[1])
            .collect();
        wanted["tenants"] = json!([
            {"name": "shops", "api_keys": shops, "priority": 1},
            {"name": "depots", "api_keys": [PERMANENT_KEYS[1]], "priority": 2},
        ]);
        add_odd_forms(&mut wanted, self.version.get());
        if self.version.get().is_multiple_of(LARGE_INTERVAL) {
            add_spare_routes(&mut wanted, LARGE_CONFIG_BYTES);
        }
        self.put("/rows/op/config", &wanted).await;
    }

    /// Writes a configuration with one more key.
    pub(crate) async fn add_key(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let text = format!("shop-key-{version}");
        // The key counts as accepted once the store has accepted the row.
        let index = {
            let mut history = self.history.borrow_mut();
            history.keys.push(Key {
                text,
                version,
                accepted: u64::MAX / 2,
                revoked: None,
            });
            history.keys.len() - 1
        };
        self.configure().await;
        self.history.borrow_mut().keys[index].accepted = now_ms();
    }

    /// Writes a configuration without the oldest key that is not permanent.
    pub(crate) async fn revoke_key(&self) {
        let index = {
            let history = self.history.borrow();
            history.keys.iter().position(|key| key.revoked.is_none())
        };
        let Some(index) = index else { return };
        self.version.set(self.version.get() + 1);
        let requested = now_ms();
        self.history.borrow_mut().keys[index].revoked = Some((requested, u64::MAX / 2));
        self.configure().await;
        self.history.borrow_mut().keys[index].revoked = Some((requested, now_ms()));
    }

    pub(crate) async fn kill_relay(&self, relay: usize) {
        let Some(mut process) = self.relays[relay].process.take() else {
            return;
        };
        let from = now_ms();
        process.kill();
        sleep(RESTART_DELAY).await;
        self.start_relay(relay);
        self.wait_until_answering(relay).await;
        self.record_disturbance(FaultTarget::Relay(relay), from);
    }

    pub(crate) async fn stop_relay(&self, relay: usize) {
        let slot = &self.relays[relay];
        let Some(mut process) = slot.process.take() else {
            return;
        };
        let (requested, incarnation) = (now_ms(), slot.incarnation.get());
        process.terminate();
        let limit = requested + super::check::GRACE_MS + 1_000;
        while !process.ended() && now_ms() < limit {
            sleep(POLL_INTERVAL).await;
        }
        let exit_code = process.exit_code();
        if exit_code.is_none() {
            process.kill();
        }
        let ended = now_ms();
        let stop = Stop {
            relay,
            incarnation,
            requested,
            ended,
            exit_code,
            is_drawn: self.is_stopping.get(),
        };
        self.history.borrow_mut().stops.push(stop);
        sleep(RESTART_DELAY).await;
        self.start_relay(relay);
        self.wait_until_answering(relay).await;
        // `check_stops` covers requests that the stop itself interrupted, so only
        // the time in which no process listened is recorded as a fault.
        self.record_disturbance(FaultTarget::Relay(relay), ended);
    }

    /// Stops the first relays at once while answers take drawn times, without other faults.
    pub(crate) async fn stop_together(&self, count: usize) {
        self.is_stopping.set(true);
        let drawn = json!({"drawnWorkMs": DRAWN_WORK_MS});
        for upstream in 0..self.sizes.upstreams {
            self.set_upstream_faults(upstream, &drawn).await;
        }
        // Time for earlier faults to end, and for relays to see drawn times.
        sleep(Duration::from_millis(super::check::CONTACT_MS + 500)).await;
        let stops = (0..count).map(|relay| self.stop_relay(relay));
        futures_util::future::join_all(stops).await;
        self.is_stopping.set(false);
        self.clear_upstream_faults().await;
    }

    pub(crate) async fn freeze_relay(&self, relay: usize, duration: Duration) {
        let from = now_ms();
        self.freeze(&self.relays[relay], duration).await;
        self.record_disturbance(FaultTarget::Relay(relay), from);
    }

    pub(crate) fn send_sighup(&self, relay: usize) {
        if let Some(process) = &*self.relays[relay].process.borrow() {
            process.hang_up();
        }
    }

    pub(crate) async fn kill_upstream(&self, upstream: usize, down: Duration) {
        let slot = &self.upstreams[upstream];
        let Some(mut process) = slot.process.take() else {
            return;
        };
        let from = now_ms();
        process.kill();
        let name = slot.name.borrow().clone();
        sleep(down.min(REGISTRATION_TTL)).await;
        if down > REGISTRATION_TTL {
            self.unregister(upstream, &name).await;
            sleep(down.saturating_sub(REGISTRATION_TTL)).await;
        }
        self.start_upstream(upstream, true).await;
        self.record_disturbance(FaultTarget::Upstream(upstream), from);
    }

    pub(crate) async fn freeze_upstream(&self, upstream: usize, duration: Duration) {
        let from = now_ms();
        self.freeze(&self.upstreams[upstream], duration).await;
        self.record_disturbance(FaultTarget::Upstream(upstream), from);
    }

    async fn freeze(&self, slot: &ProcessSlot, duration: Duration) {
        let incarnation = slot.incarnation.get();
        if let Some(process) = &*slot.process.borrow() {
            process.freeze();
        }
        sleep(duration).await;
        // A process that was started in the meantime was never frozen.
        if let Some(process) = slot
            .process
            .borrow()
            .as_ref()
            .filter(|_| slot.incarnation.get() == incarnation)
        {
            process.wake();
        }
    }

    pub(crate) async fn drain_upstream(&self, upstream: usize) {
        let slot = &self.upstreams[upstream];
        let Some(mut process) = slot.process.take() else {
            return;
        };
        let name = slot.name.borrow().clone();
        self.register(upstream, "draining").await;
        let drain = (name.clone(), now_ms());
        self.history.borrow_mut().draining.push(drain);
        sleep(DRAIN_PERIOD).await;
        self.unregister(upstream, &name).await;
        process.kill();
        sleep(RESTART_DELAY).await;
        self.start_upstream(upstream, false).await;
    }

    /// Sets the faults of an upstream's stand-in, which affect its next answers.
    /// Returns false if it is down or frozen; it then has no such faults.
    pub(crate) async fn set_upstream_faults(&self, upstream: usize, faults: &Value) -> bool {
        let faults = self.with_lasting_faults(upstream, faults);
        let addr = format!("{}.{}:7000", self.net, 100 + upstream);
        let sent = self.client.put(format!("http://{addr}/faults"));
        let sent = sent
            .timeout(Duration::from_secs(1))
            .send_body(faults.to_string());
        sent.await.is_ok()
    }

    // Adds the faults that an upstream keeps beside others.
    fn with_lasting_faults(&self, upstream: usize, faults: &Value) -> Value {
        let slot = &self.upstreams[upstream];
        let mut faults = faults.clone();
        if let Some((limit, _)) = slot.limit.get() {
            faults["serverLimit"] = json!(limit);
        }
        if slot.is_departing.get() {
            faults["serverLeaving"] = json!(true);
        }
        if self.has_faults.get() {
            faults["deadlyPath"] = json!("/deadly");
            faults["deadlyEvents"] = json!(1);
        }
        faults
    }

    /// Lets an upstream turn requests away for a time, each with so many seconds of rest.
    pub(crate) async fn rest_upstream(&self, upstream: usize, rest: f64, duration: Duration) {
        let rest = json!({"rest": rest.to_string()});
        if self.set_upstream_faults(upstream, &rest).await {
            sleep(duration).await;
            self.set_upstream_faults(upstream, &json!({})).await;
        }
    }

    /// Lets an upstream say that it leaves, which its registration does not; it ends later,
    /// and another one takes its address.
    pub(crate) async fn depart_upstream(&self, upstream: usize) {
        let slot = &self.upstreams[upstream];
        let (incarnation, name) = (slot.incarnation.get(), slot.name.borrow().clone());
        if slot.is_departing.replace(true) || !self.set_upstream_faults(upstream, &json!({})).await
        {
            return;
        }
        sleep(DRAIN_PERIOD * 2).await;
        if slot.incarnation.get() != incarnation {
            return;
        }
        let Some(mut process) = slot.process.take() else {
            return;
        };
        self.unregister(upstream, &name).await;
        process.kill();
        sleep(RESTART_DELAY).await;
        self.start_upstream(upstream, false).await;
    }

    /// Starts upstreams again that have ended by themselves, until the soak is over.
    pub(crate) async fn revive_upstreams(self: Rc<Self>, stopped: Rc<Cell<bool>>) {
        while !stopped.get() {
            sleep(POLL_INTERVAL).await;
            for upstream in 0..self.sizes.upstreams {
                let slot = &self.upstreams[upstream];
                let has_ended = |process: &mut Process| process.ended();
                let has_ended = slot.process.borrow_mut().as_mut().is_some_and(has_ended);
                if has_ended {
                    slot.process.take();
                    actix_rt::spawn(Rc::clone(&self).revive_upstream(upstream));
                }
            }
        }
    }

    async fn revive_upstream(self: Rc<Self>, upstream: usize) {
        let from = now_ms();
        sleep(CRASH_DELAY).await;
        self.start_upstream(upstream, true).await;
        self.record_disturbance(FaultTarget::Upstream(upstream), from);
    }

    /// Lets an upstream name a limit for a time.
    pub(crate) async fn limit_upstream(&self, upstream: usize, limit: f64, duration: Duration) {
        let slot = &self.upstreams[upstream];
        let incarnation = slot.incarnation.get();
        if slot.limit.get().is_some() {
            return;
        }
        slot.limit.set(Some((limit, now_ms())));
        if !self.set_upstream_faults(upstream, &json!({})).await {
            slot.limit.take();
            return;
        }
        sleep(duration).await;
        if slot.incarnation.get() == incarnation {
            self.end_limit(upstream);
            self.set_upstream_faults(upstream, &json!({})).await;
        }
    }

    // Records the limit of an upstream's process, which ends.
    fn end_limit(&self, upstream: usize) {
        let slot = &self.upstreams[upstream];
        if let Some((limit, from)) = slot.limit.take() {
            let name = slot.name.borrow().clone();
            let to = now_ms();
            let named = NamedLimit {
                upstream,
                name,
                limit,
                from,
                to,
            };
            self.history.borrow_mut().limits.push(named);
        }
    }

    /// Clears the faults of all upstreams, so that they lose no answers after the soak.
    pub(crate) async fn clear_upstream_faults(&self) {
        self.has_faults.set(false);
        for upstream in 0..self.sizes.upstreams {
            self.set_upstream_faults(upstream, &json!({})).await;
        }
    }

    pub(crate) async fn disturb_store(&self, faults: &Value, duration: Duration) {
        let from = now_ms();
        self.put("/faults", faults).await;
        sleep(duration).await;
        self.put("/faults", &json!({})).await;
        self.record_disturbance(FaultTarget::Store, from);
    }

    pub(crate) async fn lose_store_answers(&self) {
        let lose = json!({"loseAnswers": LOST_ANSWERS});
        self.disturb_store(&lose, Duration::from_secs(2)).await;
    }

    pub(crate) async fn drop_store_history(&self) {
        let from = now_ms();
        let url = format!("http://{}.1:7000/drop-history", self.net);
        let _sent = self.client.post(url).send().await;
        self.record_disturbance(FaultTarget::Store, from);
    }

    /// Takes the store down and restores it from a copy of this age. Before relays
    /// reach it, operators and upstreams write again what they had written, a key is
    /// added, and versions pass the newest one from before.
    pub(crate) async fn restore_store(&self, age: Duration, down: Duration) {
        let from = now_ms();
        self.put("/faults", &json!({"down": true})).await;
        sleep(down).await;
        let age_ms = (age + down).as_millis();
        let newest = self.put("/rows/other/row", &json!(0)).await;
        let url = format!("http://{}.1:7000/restore?age_ms={age_ms}", self.net);
        let sent = self.client.post(url).timeout(RECOVERY_TIMEOUT).send().await;
        sent.expect("the store accepts the restore");
        self.add_key().await;
        self.register_again().await;
        while self.put("/rows/other/row", &json!(0)).await <= newest {}
        self.put("/faults", &json!({})).await;
        self.record_disturbance(FaultTarget::Store, from);
    }

    // Writes the registrations as they are; those that only the copy holds expire.
    async fn register_again(&self) {
        let mut names = Vec::new();
        for (upstream, slot) in self.upstreams.iter().enumerate() {
            let state = *slot.state.borrow();
            if !state.is_empty() {
                self.register(upstream, state).await;
                names.push(slot.name.borrow().clone());
            }
        }
        let url = format!("http://{}.1:7000/v1/rows-get?table=servers&part=", self.net);
        let Ok(mut answer) = self.client.get(url).send().await else {
            return;
        };
        let body = answer.body().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let rows = body["rows"].as_array().cloned().unwrap_or_default();
        let keys = rows.iter().filter_map(|row| row["key"].as_str());
        for key in keys.filter(|key| !names.iter().any(|name| name == key)) {
            self.remove_registration(key).await;
        }
    }

    pub(crate) async fn freeze_store(&self, duration: Duration) {
        let from = now_ms();
        self.store.freeze();
        sleep(duration).await;
        self.store.wake();
        self.record_disturbance(FaultTarget::Store, from);
    }

    pub(crate) async fn disturb_link(
        &self,
        target: FaultTarget,
        passing: Passing,
        duration: Duration,
    ) {
        let from = now_ms();
        let link = self.link(target);
        link.pass(passing);
        if passing == Passing::Refusing {
            link.reset();
        }
        sleep(duration).await;
        link.mend();
        self.record_disturbance(target, from);
    }

    /// Disturbs the open connections of all links.
    pub(crate) fn disturb_connections(&self, disturb: fn(&Relay)) {
        let from = now_ms();
        for relay in 0..self.sizes.relays {
            disturb(self.link(FaultTarget::ClientLink(relay)));
            disturb(self.link(FaultTarget::StoreLink(relay)));
            self.record_disturbance(FaultTarget::ClientLink(relay), from);
            self.record_disturbance(FaultTarget::StoreLink(relay), from);
        }
        for upstream in 0..self.sizes.upstreams {
            disturb(self.link(FaultTarget::Upstream(upstream)));
            self.record_disturbance(FaultTarget::Upstream(upstream), from);
        }
    }

    fn link(&self, target: FaultTarget) -> &Relay {
        match target {
            FaultTarget::ClientLink(relay) | FaultTarget::Relay(relay) => &self.client_links[relay],
            FaultTarget::StoreLink(relay) => &self.store_links[relay],
            FaultTarget::Upstream(upstream) => &self.upstream_links[upstream],
            FaultTarget::Store => &self.store_links[0],
        }
    }

    fn record_disturbance(&self, target: FaultTarget, from: u64) {
        let to = now_ms();
        let mut history = self.history.borrow_mut();
        history.disturbances.push(Disturbance { target, from, to });
    }

    async fn unregister(&self, upstream: usize, name: &str) {
        *self.upstreams[upstream].state.borrow_mut() = "";
        self.remove_registration(name).await;
    }

    async fn remove_registration(&self, name: &str) {
        let url = format!("http://{}.1:7000/rows/servers/{name}", self.net);
        // A frozen store answers once it is resumed, hence the long timeout.
        let sent = self
            .client
            .delete(url)
            .timeout(RECOVERY_TIMEOUT)
            .send()
            .await;
        sent.expect("the store accepts the removal");
    }

    // Returns the version of a written row; zero for other calls.
    async fn put(&self, path: &str, value: &Value) -> u64 {
        let url = format!("http://{}.1:7000{path}", self.net);
        let sent = self
            .client
            .put(url)
            .timeout(RECOVERY_TIMEOUT)
            .send_body(value.to_string());
        let mut answer = sent.await.expect("the store accepts the row");
        let body = answer.body().await.unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    async fn is_answering(&self, url: &str) -> bool {
        let sent = self
            .client
            .get(url)
            .timeout(Duration::from_secs(1))
            .send()
            .await;
        sent.is_ok_and(|answer| answer.status().is_success())
    }

    async fn wait_until_answering(&self, relay: usize) {
        let url = format!("http://{}.{}:9464/metrics", self.net, 2 + relay);
        self.wait_until(async || self.is_answering(&url).await)
            .await;
    }

    async fn are_all_ready(&self) -> bool {
        for relay in 0..self.sizes.relays {
            let host = 2 + relay;
            if !self
                .is_answering(&format!("http://{}.{host}:7002/v1/ready", self.net))
                .await
            {
                return false;
            }
        }
        true
    }

    async fn wait_until(&self, condition: impl AsyncFn() -> bool) {
        let limit = now_ms() + 2 * RECOVERY_TIMEOUT.as_millis() as u64;
        while !condition().await {
            assert!(
                now_ms() < limit,
                "seed {}: a condition did not become true within the time limit",
                self.seed
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all relays report that they are ready. Returns false if one does
    /// not within `RECOVERY_TIMEOUT`.
    pub(crate) async fn wait_for_recovery(&self) -> bool {
        let limit = now_ms() + RECOVERY_TIMEOUT.as_millis() as u64;
        while !self.are_all_ready().await {
            if now_ms() > limit {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Records relays that exited unexpectedly or exceeded `MAX_PEAK_KB` of memory.
    pub(crate) fn record_crashes(&self) {
        let relays = self.relays.iter().enumerate();
        for (relay, slot) in relays {
            let mut process = slot.process.borrow_mut();
            let Some(process) = process.as_mut() else {
                continue;
            };
            let mut history = self.history.borrow_mut();
            if process.ended() {
                history
                    .crashes
                    .push(format!("relay {relay}: exited unexpectedly"));
            } else if let Some(kb) = process.peak_kb().filter(|kb| *kb > MAX_PEAK_KB) {
                history
                    .crashes
                    .push(format!("relay {relay}: peak memory of {kb} KB"));
            }
        }
    }

    /// Reads the runs recorded by the upstreams into the history.
    pub(crate) fn read_runs(&self) {
        let text = std::fs::read_to_string(self.dir.join("runs.jsonl")).unwrap_or_default();
        let runs = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Run>(line).ok());
        let arrivals = read_arrivals(&self.dir.join("arrivals.jsonl"));
        let untold = arrivals.iter().filter(|arrival| self.is_untold(arrival));
        let untold = untold.map(|arrival| (arrival.runner.clone(), arrival.id.clone()));
        let mut history = self.history.borrow_mut();
        history.untold = untold.collect();
        history.runs = runs.collect();
        history.arrivals = arrivals;
    }

    // Whether an upstream refused a request, and the link before it never passed that on.
    fn is_untold(&self, arrival: &Arrival) -> bool {
        let link = &self.upstream_links[upstream_index(&arrival.runner)];
        let has_link = !has_deadly_requests(self.seed);
        has_link && arrival.rest_ms > 0 && !link.has_passed_refusal(&arrival.id)
    }

    /// Returns the directory of the logs, which is kept if the soak found a violation.
    pub(crate) fn dir(&self) -> &Path {
        &self.dir
    }
}

/// Memory of the smallest entry host of the users' deployments, in KB.
const MAX_PEAK_KB: u64 = 88 * 1024;

/// Writes a field of a configuration in one of the forms that mean the same, or adds an entry
/// that can't be used and that no caller needs.
fn add_odd_forms(config: &mut Value, version: u64) {
    let mut lost = config["routes"][0].clone();
    lost["prefix"] = json!("/lost/");
    lost["service"] = json!("nobody");
    let routes = config["routes"].as_array_mut();
    let routes = routes.expect("a configuration has routes");
    match version % 5 {
        0 => routes[0]["priority"] = json!(1_000),
        1 => routes.push(lost),
        2 => {
            routes[0]["backends"] = json!([{"service": routes[0]["service"], "weight": 0.25}]);
            routes[0]["service"] = Value::Null;
        }
        3 => config["limits"]["max_body_bytes"] = json!(1e300),
        _ => {}
    }
}
