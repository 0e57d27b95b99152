//! Cost of the control plane per node, by the size of the cluster.
//!
//! The reducers of all nodes run in one process on one thread, connected by a
//! simulated network of fixed delay. This measures messages, processor time and
//! memory, but not sockets. Messages are encoded and decoded as in production;
//! the time for that is reported separately. Cluster sizes may be given as
//! arguments.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use carawayrun::control::{
    Component, Effect, Event, HostEntry, Identity, Millis, Role, State, TICK, Ticket,
};
use carawayrun::peer::message::{Envelope, Load, MemberState};
use carawayrun::peer::{Codec, Keys, NodeId};
use carawayrun::resource::{
    Change, ChangeAction, ChangeItem, HEAD_KEY, Head, Resource, WriteId, parse_manifests,
};
use carawayrun::store::table::{Row, TableAnswer};
use compact_str::{CompactString, format_compact};
use serde_json::value::to_raw_value;

/// Measured numbers of nodes; the last one is the target size.
const CLUSTER_SIZES: [usize; 5] = [10, 30, 100, 200, 1_010];

/// Simulated time of one step, which is also the delay of a message.
const STEP: Millis = Millis(5);

/// Time for the traffic of the joins to settle, and then time for which the idle
/// cluster is measured.
const PHASE_SPAN: Millis = Millis(60_000);

/// Longest simulated time to wait for a condition.
const WAIT_LIMIT: Millis = Millis(300_000);

/// Bytes of the TCP, IP and Ethernet headers of one message.
const HEADER_BYTES: u64 = 66;

/// Gateways among every five nodes; the others are agents.
const GATEWAYS_PER_FIVE: usize = 2;

const DATA_CENTRES: usize = 5;

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let sizes = if arguments.is_empty() {
        CLUSTER_SIZES.to_vec()
    } else {
        arguments
    };
    println!(
        "reducer instances in one process; seed 1; loss 0; delay {} ms",
        STEP.0
    );
    println!(
        "{:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "nodes",
        "msg/s",
        "B/s",
        "B/s+head",
        "reads/s",
        "cpu %",
        "codec %",
        "B/member",
        "join s",
        "change s",
        "known s",
        "dead s",
    );
    for size in sizes {
        measure(size);
    }
}

// Measures a cluster of `size` nodes and prints one row of the table.
fn measure(size: usize) {
    let memory_before = resident_bytes();
    let mut cluster = Cluster::new(size);
    let joined = cluster.run_until(Cluster::has_all_joined);
    let memory = resident_bytes().saturating_sub(memory_before) / (size * size) as u64;

    cluster.run(PHASE_SPAN);
    cluster.reset();
    cluster.run(PHASE_SPAN);
    let idle = cluster.totals;

    cluster.accept_config_change();
    let generation = cluster.generation;
    let changed = cluster.run_until(|cluster| cluster.all_have_generation(generation));
    let known = cluster.run_until(|cluster| cluster.first_knows_generation(generation));
    cluster.stopped = Some(size - 1);
    let dead = cluster.run_until(Cluster::is_last_dead);

    let per_node = |count: u64| count as f64 / size as f64 / seconds(PHASE_SPAN);
    let share = |time: Duration| 100.0 * time.as_secs_f64() / size as f64 / seconds(PHASE_SPAN);
    println!(
        "{size:>6} {:>9.2} {:>9.0} {:>9.0} {:>9.3} {:>9.4} {:>9.4} {memory:>9} {:>9.1} {:>9.2} {:>9.1} {:>9.1}",
        per_node(idle.messages),
        per_node(idle.bytes),
        per_node(idle.bytes + idle.messages * HEADER_BYTES),
        per_node(idle.reads),
        share(idle.reducer),
        share(idle.codec),
        seconds(joined),
        seconds(changed),
        seconds(changed + known),
        seconds(dead),
    );
}

/// All nodes, and the messages and store reads in progress.
struct Cluster {
    nodes: Vec<State>,
    codec: Codec,
    now: Millis,
    in_transit: VecDeque<Delivery>,
    pending_reads: VecDeque<(usize, Ticket)>,
    generation: u64,
    /// Index of a node that no longer handles events.
    stopped: Option<usize>,
    totals: Totals,
}

/// A message in transit, encoded.
struct Delivery {
    sent_at: Millis,
    to: usize,
    sealed: Bytes,
}

/// Sums over all nodes since the last reset.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    messages: u64,
    bytes: u64,
    reads: u64,
    reducer: Duration,
    codec: Duration,
}

impl Cluster {
    fn new(size: usize) -> Self {
        let keys = Keys::new(b"a key for measurements", None).expect("the key is long enough");
        let mut cluster = Self {
            nodes: (0..size)
                .map(|index| State::new(identity(index), index as u64))
                .collect(),
            codec: Codec::new(keys),
            now: Millis(0),
            in_transit: VecDeque::new(),
            pending_reads: VecDeque::new(),
            generation: 0,
            stopped: None,
            totals: Totals::default(),
        };
        cluster.accept_initial_config(size);
        let hosts: Vec<HostEntry> = (0..size).map(host).collect();
        for index in 0..size {
            cluster.apply_event(index, &Event::HostsListed(hosts.clone()));
            if role(index) == Role::Agent {
                cluster.apply_event(index, &Event::LoadChanged(Box::new(load(index))));
            }
        }
        cluster
    }

    fn reset(&mut self) {
        self.totals = Totals::default();
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    // Runs until the condition holds and returns the simulated time that it took.
    fn run_until(&mut self, is_met: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while !is_met(self) {
            assert!(
                self.now.since(start) < WAIT_LIMIT,
                "condition not met within {WAIT_LIMIT:?}"
            );
            self.run(TICK);
        }
        self.now.since(start)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while self
            .in_transit
            .front()
            .is_some_and(|delivery| delivery.sent_at < self.now)
        {
            let delivery = self.in_transit.pop_front().expect("the queue is not empty");
            let start = Instant::now();
            let envelope = self
                .codec
                .decode(delivery.sealed)
                .expect("this process sealed the message");
            self.totals.codec += start.elapsed();
            self.apply_event(delivery.to, &Event::MessageReceived(Box::new(envelope)));
        }
        for _ in 0..self.pending_reads.len() {
            let (index, ticket) = self
                .pending_reads
                .pop_front()
                .expect("the queue is not empty");
            let rows = vec![head(self.generation.min(1))];
            self.apply_event(
                index,
                &Event::TableAnswered(ticket, Ok(TableAnswer::Rows(rows))),
            );
        }
        let steps_per_tick = (TICK.0 / STEP.0) as usize;
        let offset = (self.now.0 / STEP.0) as usize % steps_per_tick;
        for index in (offset..self.nodes.len()).step_by(steps_per_tick) {
            self.apply_event(index, &Event::Tick);
        }
    }

    fn apply_event(&mut self, index: usize, event: &Event) {
        if self.stopped == Some(index) {
            return;
        }
        let start = Instant::now();
        let effects = self.nodes[index].apply(event, self.now);
        self.totals.reducer += start.elapsed();
        for effect in effects {
            match effect {
                Effect::Send(addr, envelope) => self.send(&addr, &envelope),
                Effect::CallTable(ticket, _) if ticket.component == Component::Config => {
                    self.totals.reads += 1;
                    self.pending_reads.push_back((index, ticket));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, addr: &str, envelope: &Envelope) {
        let start = Instant::now();
        let sealed = self
            .codec
            .encode(envelope)
            .expect("the message is below the size limit");
        self.totals.codec += start.elapsed();
        self.totals.messages += 1;
        self.totals.bytes += sealed.len() as u64;
        let to = addr
            .rsplit_once(':')
            .and_then(|(_, port)| port.parse().ok());
        self.in_transit.push_back(Delivery {
            sent_at: self.now,
            to: to.expect("the port is the number of the node"),
            sealed,
        });
    }

    // Accepts the initial configuration: the service, its version and all upstreams.
    fn accept_initial_config(&mut self, size: usize) {
        let mut text = String::from(SERVICE);
        for index in (0..size).filter(|index| role(*index) == Role::Agent) {
            text += &upstream(index);
        }
        self.accept_manifests(&text);
    }

    // Accepts a change of one upstream.
    fn accept_config_change(&mut self) {
        self.accept_manifests(&upstream(GATEWAYS_PER_FIVE));
    }

    fn accept_manifests(&mut self, text: &str) {
        self.generation += 1;
        let resources = parse_manifests(text).expect("the manifest is valid");
        let change = Change {
            generation: self.generation,
            write_id: WriteId("measurement".into()),
            author: "measurement".into(),
            reason: "measurement".into(),
            time: "2026-01-01T00:00:00Z".into(),
            items: resources.into_iter().map(item).collect(),
        };
        self.apply_event(0, &Event::ChangeAccepted(Box::new(change)));
    }

    // Returns true if every node knows all members and has the first configuration.
    fn has_all_joined(&self) -> bool {
        let size = self.nodes.len();
        let knows_all = |node: &State| node.context().members.present_count() == size;
        self.nodes.iter().all(knows_all) && self.all_have_generation(1)
    }

    fn all_have_generation(&self, generation: u64) -> bool {
        self.nodes
            .iter()
            .all(|node| node.context().config.generation == generation)
    }

    // Returns true if the first node knows that every member has the generation.
    fn first_knows_generation(&self, generation: u64) -> bool {
        let members = &self.nodes[0].context().members;
        members
            .iter()
            .all(|(_, member)| member.generation == generation)
    }

    // Returns true if all other nodes hold the last node for dead or removed it.
    fn is_last_dead(&self) -> bool {
        let last = self.nodes.len() - 1;
        let name = name(last);
        self.nodes[..last].iter().all(|node| {
            let members = &node.context().members;
            let member = members.key(&name).and_then(|key| members.get(key));
            member.is_none_or(|member| member.state == MemberState::Dead)
        })
    }
}

const SERVICE: &str = "apiVersion: carawayrun/v1\nkind: Service\nmetadata: {name: advisor}\n\
    spec: {backend: engine}\n---\napiVersion: carawayrun/v1\nkind: Version\n\
    metadata: {name: lathe-2-mini}\n\
    spec: {model: lathe, service: advisor, price: {prompt: 1, completion: 1}}\n";

fn upstream(index: usize) -> String {
    format!(
        "---\napiVersion: carawayrun/v1\nkind: Upstream\nmetadata: {{name: runner-{index}}}\n\
         spec: {{service: advisor, dataCentre: {}, slots: 8, versions: [lathe-2-mini]}}\n",
        data_centre(index)
    )
}

fn item(resource: Resource) -> ChangeItem {
    ChangeItem {
        action: ChangeAction::Put,
        kind: resource.kind,
        name: resource.metadata.name.clone(),
        before: None,
        after: Some(resource),
    }
}

fn head(generation: u64) -> Row {
    Row {
        key: HEAD_KEY.into(),
        version: generation,
        value: to_raw_value(&Head { generation }).expect("a head serializes to JSON"),
    }
}

fn identity(index: usize) -> Identity {
    let role = role(index);
    let agent = role == Role::Agent;
    let agent_only = |text: CompactString| {
        if agent {
            text
        } else {
            CompactString::default()
        }
    };
    Identity {
        node: NodeId {
            name: name(index),
            incarnation: 1_700_000_000_000_000 + index as u64,
        },
        role,
        data_centre: data_centre(index),
        peer_addr: addr(index),
        http_addr: agent_only(format_compact!("10.20.30.40:{index}")),
        upstream: agent_only(format_compact!("runner-{index}")),
    }
}

fn host(index: usize) -> HostEntry {
    HostEntry {
        name: name(index),
        data_centre: data_centre(index),
        peer_addr: addr(index),
        leaving: false,
    }
}

fn load(index: usize) -> Load {
    Load {
        upstream: format!("runner-{index}"),
        running: 3,
        queued: 0,
        slots: 8,
        wait_ms: 0,
        warm: vec!["lathe-2-mini".into()],
    }
}

fn role(index: usize) -> Role {
    if index % 5 < GATEWAYS_PER_FIVE {
        Role::Gateway
    } else {
        Role::Agent
    }
}

fn name(index: usize) -> CompactString {
    format_compact!(
        "{}-{index}",
        if role(index) == Role::Gateway {
            "gateway"
        } else {
            "agent"
        }
    )
}

fn data_centre(index: usize) -> CompactString {
    format_compact!("centre-{}", index % DATA_CENTRES)
}

fn addr(index: usize) -> CompactString {
    format_compact!("10.20.30.40:{index}")
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
