//! A world of real processes on loopback: stand-ins, gateways and agents.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use super::caller::{read_json, send_json};
use super::manifest::{self, digest};
use super::net::Net;
use super::process::Process;
use super::relay::Relay;

/// Time after which a condition that never comes true fails its test.
const PATIENCE: Duration = Duration::from_mins(1);

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

pub(super) const OPERATOR_KEY: &str = "operator-key";
const CLUSTER_KEY: &str = "0123456789abcdef0123456789abcdef";

static WORLDS: AtomicU32 = AtomicU32::new(0);

/// Waits until `check` is true.
pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let start = std::time::Instant::now();
    while !check().await {
        assert!(start.elapsed() < PATIENCE, "never came true: {what}");
        actix_rt::time::sleep(LOOK).await;
    }
}

/// Sizes of a world.
#[derive(Debug, Clone)]
pub(crate) struct WorldBuilder {
    name: &'static str,
    gateways: usize,
    engines: usize,
    plains: usize,
    engine_args: Vec<String>,
    plain_args: Vec<String>,
    node_args: Vec<String>,
    gateway_args: Vec<String>,
}

impl WorldBuilder {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            gateways: 2,
            engines: 2,
            plains: 1,
            engine_args: Vec::new(),
            plain_args: Vec::new(),
            node_args: Vec::new(),
            gateway_args: Vec::new(),
        }
    }

    pub(crate) fn gateways(mut self, count: usize) -> Self {
        self.gateways = count;
        self
    }

    pub(crate) fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    pub(crate) fn plains(mut self, count: usize) -> Self {
        self.plains = count;
        self
    }

    pub(crate) fn engine_arg(mut self, name: &str, value: &str) -> Self {
        self.engine_args.extend([name.to_owned(), value.to_owned()]);
        self
    }

    pub(crate) fn plain_arg(mut self, name: &str, value: &str) -> Self {
        self.plain_args.extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Adds an option of gateways and agents.
    pub(crate) fn node_arg(mut self, name: &str, value: &str) -> Self {
        self.node_args.extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Adds an option of gateways.
    pub(crate) fn gateway_arg(mut self, name: &str, value: &str) -> Self {
        self.gateway_args
            .extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Starts everything, applies the manifest and waits until it is in force.
    pub(crate) async fn start(self) -> World {
        let mut world = World::new(&self);
        world.start_platform().await;
        world.start_upstreams(&self).await;
        world.start_nodes(&self).await;
        world.apply(&manifest::of(&world.slots)).await;
        world.in_force(1).await;
        world.agents_open().await;
        world
    }
}

/// A running world; all its processes end when it is dropped.
#[derive(Debug)]
pub(crate) struct World {
    dir: PathBuf,
    node_args: Vec<String>,
    gateway_args: Vec<String>,
    pub(super) platform: Vec<Process>,
    upstreams: Vec<Process>,
    pub(crate) gateways: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    /// Between the gateways and each agent.
    pub(crate) relays: Vec<Relay>,
    /// Name and service of each upstream.
    pub(super) slots: Vec<Slot>,
    /// Its addresses, until all its processes have ended.
    net: Net,
}

/// The place of one upstream and its agent.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) upstream: String,
    pub(super) service: &'static str,
    host: usize,
}

impl Slot {
    pub(super) fn data_centre(&self) -> &'static str {
        data_centre(FIRST_AGENT + self.host)
    }
}

pub(super) const TABLE: usize = 2;
const OBJECTS: usize = 3;
const HOSTS: usize = 4;
const RATER: usize = 5;
pub(super) const FIRST_GATEWAY: usize = 10;
const FIRST_AGENT: usize = 50;
pub(super) const FIRST_UPSTREAM: usize = 100;
const FIRST_RELAY: usize = 150;
pub(super) const HTTP_PORT: u16 = 7000;
pub(super) const OPERATOR_PORT: u16 = 7001;
const PEER_PORT: u16 = 7002;

impl World {
    fn new(builder: &WorldBuilder) -> Self {
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-{process}-{number}", builder.name));
        std::fs::create_dir_all(&dir).expect("world directory is made");
        Self {
            dir,
            node_args: builder.node_args.clone(),
            gateway_args: builder.gateway_args.clone(),
            platform: Vec::new(),
            upstreams: Vec::new(),
            gateways: Vec::new(),
            agents: Vec::new(),
            relays: Vec::new(),
            slots: Self::slots(builder),
            net: Net::claim(),
        }
    }

    fn slots(builder: &WorldBuilder) -> Vec<Slot> {
        let engines = (0..builder.engines).map(|n| (format!("scene-{n}"), "scene"));
        let plains = (0..builder.plains).map(|n| (format!("home-{n}"), "home"));
        let all = engines.chain(plains).enumerate();
        all.map(|(host, (upstream, service))| Slot {
            upstream,
            service,
            host,
        })
        .collect()
    }

    pub(super) fn addr(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.net)
    }

    async fn start_platform(&mut self) {
        for (host, kind) in [
            (TABLE, "table"),
            (OBJECTS, "objects"),
            (HOSTS, "hosts"),
            (RATER, "rater"),
        ] {
            let args = vec![
                kind.to_owned(),
                "--listen".to_owned(),
                self.addr(host, HTTP_PORT),
            ];
            self.platform
                .push(Process::spawn(&self.dir, kind, &lab(), &args));
            self.healthy(host).await;
        }
        self.list_hosts(None).await;
    }

    /// Tells the host list all hosts, one of them as leaving.
    pub(crate) async fn list_hosts(&self, leaving: Option<&str>) {
        let entry = |name: String, host: usize| {
            json!({
                "name": name,
                "dataCentre": data_centre(host),
                "peerAddr": self.addr(host, PEER_PORT),
                "leaving": leaving == Some(name.as_str()),
            })
        };
        let gateways = (0..4).map(|n| entry(format!("gw-{n}"), FIRST_GATEWAY + n));
        let agents = self
            .slots
            .iter()
            .map(|s| entry(agent_name(s), FIRST_AGENT + s.host));
        let list: Vec<Value> = gateways.chain(agents).collect();
        let url = format!("http://{}/v1/hosts", self.addr(HOSTS, HTTP_PORT));
        send_json(awc::http::Method::PUT, &url, "", &Value::from(list)).await;
    }

    async fn start_upstreams(&mut self, builder: &WorldBuilder) {
        for slot in self.slots.clone() {
            let host = FIRST_UPSTREAM + slot.host;
            let kind = if slot.service == "scene" {
                "engine"
            } else {
                "plain"
            };
            let mut args = vec![
                kind.to_owned(),
                "--listen".to_owned(),
                self.addr(host, HTTP_PORT),
            ];
            let more = if kind == "engine" {
                &builder.engine_args
            } else {
                &builder.plain_args
            };
            args.extend(more.iter().cloned());
            self.upstreams
                .push(Process::spawn(&self.dir, &slot.upstream, &lab(), &args));
            self.healthy(host).await;
        }
    }

    async fn start_nodes(&mut self, builder: &WorldBuilder) {
        for slot in &self.slots {
            let listen = self.addr(FIRST_RELAY + slot.host, HTTP_PORT);
            let target = self.addr(FIRST_AGENT + slot.host, HTTP_PORT);
            self.relays.push(Relay::bind(&listen, target).await);
        }
        for number in 0..builder.gateways {
            self.start_gateway(number);
        }
        for number in 0..self.slots.len() {
            self.start_agent(number);
        }
        for number in 0..builder.gateways {
            self.gateway_ready(number).await;
        }
    }

    /// Starts gateway `number`, also after it has ended.
    pub(crate) fn start_gateway(&mut self, number: usize) {
        let host = FIRST_GATEWAY + number;
        let name = format!("gw-{number}");
        let mut args = vec!["gateway".to_owned()];
        args.extend(self.common_args(&name, host));
        args.extend([
            "--operator-listen".to_owned(),
            self.addr(host, OPERATOR_PORT),
        ]);
        args.extend(["--rater-addr".to_owned(), self.addr(RATER, HTTP_PORT)]);
        args.extend([
            "--operators".to_owned(),
            format!("tester={}", digest(OPERATOR_KEY)),
        ]);
        args.extend(self.gateway_args.iter().cloned());
        let process = Process::spawn(&self.dir, &name, &product(), &args);
        put(&mut self.gateways, number, process);
    }

    /// Starts the agent of slot `number`, also after it has ended.
    pub(crate) fn start_agent(&mut self, number: usize) {
        let slot = self.slots[number].clone();
        let name = agent_name(&slot);
        let upstream_url = format!(
            "http://{}",
            self.addr(FIRST_UPSTREAM + slot.host, HTTP_PORT)
        );
        let mut args = vec!["agent".to_owned()];
        args.extend(self.common_args(&name, FIRST_AGENT + slot.host));
        args.extend([
            "--http-addr".to_owned(),
            self.addr(FIRST_RELAY + slot.host, HTTP_PORT),
        ]);
        args.extend(["--upstream".to_owned(), slot.upstream]);
        args.extend(["--upstream-url".to_owned(), upstream_url]);
        let process = Process::spawn(&self.dir, &name, &product(), &args);
        put(&mut self.agents, number, process);
    }

    fn common_args(&self, name: &str, host: usize) -> Vec<String> {
        let flags = [
            ("--name", name.to_owned()),
            ("--data-centre", data_centre(host).to_owned()),
            ("--listen", self.addr(host, HTTP_PORT)),
            ("--peer-listen", self.addr(host, PEER_PORT)),
            ("--table-addr", self.addr(TABLE, HTTP_PORT)),
            ("--objects-addr", self.addr(OBJECTS, HTTP_PORT)),
            ("--hosts-addr", self.addr(HOSTS, HTTP_PORT)),
            ("--cluster-key", CLUSTER_KEY.to_owned()),
        ];
        let given = flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value]);
        given.chain(self.node_args.iter().cloned()).collect()
    }

    async fn healthy(&self, host: usize) {
        let url = format!("http://{}/health", self.addr(host, HTTP_PORT));
        eventually(&url, || async {
            awc::Client::default()
                .get(&url)
                .send()
                .await
                .is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    async fn gateway_ready(&self, number: usize) {
        let url = format!("{}/apis/v1/status", self.operator_url(number));
        eventually(&url, || async {
            !read_json(&url, OPERATOR_KEY).await.is_null()
        })
        .await;
    }

    /// Number of the first slot of a plain upstream.
    pub(crate) fn first_plain(&self) -> usize {
        self.slots
            .iter()
            .position(|slot| slot.service == "home")
            .expect("there is one")
    }

    /// Address of an upstream.
    pub(crate) fn upstream_addr(&self, number: usize) -> String {
        self.addr(FIRST_UPSTREAM + self.slots[number].host, HTTP_PORT)
    }

    /// The process of an upstream.
    pub(crate) fn upstream(&mut self, number: usize) -> &mut Process {
        &mut self.upstreams[number]
    }
}

fn put(processes: &mut Vec<Process>, number: usize, process: Process) {
    if number < processes.len() {
        processes[number] = process;
    } else {
        assert_eq!(number, processes.len(), "processes are started in order");
        processes.push(process);
    }
}

fn data_centre(host: usize) -> &'static str {
    ["dc-a", "dc-b", "dc-c"][host % 3]
}

fn agent_name(slot: &Slot) -> String {
    format!("agent-{}", slot.upstream)
}

pub(super) fn product() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_carawayrun"))
}

fn lab() -> PathBuf {
    product().with_file_name("carawayrun-lab")
}
