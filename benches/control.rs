//! What control costs a node, by the number of nodes.
//!
//! Reducers of all nodes run in one process on one thread, with a network of
//! fixed delay between them: this measures their messages, processor time and
//! memory, not sockets. Messages are sealed and opened as in the product, and
//! that time is shown apart. Numbers of nodes may be given as arguments.

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

/// Numbers of nodes that are measured; the last is the target.
const SIZES: [usize; 5] = [10, 30, 100, 200, 1_010];

/// Step of the loop and delay of a message.
const STEP: Millis = Millis(5);

/// Span in which what joining set off dies down, and then span of the
/// measurement of the quiet state.
const SPAN: Millis = Millis(60_000);

/// Longest span that a run waits for anything.
const LIMIT: Millis = Millis(300_000);

/// Bytes of TCP, IP and Ethernet heads of one message.
const HEAD_BYTES: u64 = 66;

/// Of five nodes so many are gateways, the others agents.
const GATEWAYS_OF_FIVE: usize = 2;

const DATA_CENTRES: usize = 5;

fn main() {
    let given: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let sizes = if given.is_empty() {
        SIZES.to_vec()
    } else {
        given
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

fn measure(size: usize) {
    let before = resident_bytes();
    let mut world = World::new(size);
    let joined = world.run_until(World::all_joined);
    let memory = resident_bytes().saturating_sub(before) / (size * size) as u64;

    world.run(SPAN);
    world.reset();
    world.run(SPAN);
    let quiet = world.counts;

    world.accept();
    let generation = world.generation;
    let changed = world.run_until(|world| world.all_at(generation));
    let known = world.run_until(|world| world.first_knows_all_at(generation));
    world.gone = Some(size - 1);
    let dead = world.run_until(World::last_is_dead);

    let per_node = |count: u64| count as f64 / size as f64 / seconds(SPAN);
    let share = |time: Duration| 100.0 * time.as_secs_f64() / size as f64 / seconds(SPAN);
    println!(
        "{size:>6} {:>9.2} {:>9.0} {:>9.0} {:>9.3} {:>9.4} {:>9.4} {memory:>9} {:>9.1} {:>9.2} {:>9.1} {:>9.1}",
        per_node(quiet.messages),
        per_node(quiet.bytes),
        per_node(quiet.bytes + quiet.messages * HEAD_BYTES),
        per_node(quiet.reads),
        share(quiet.reducer),
        share(quiet.codec),
        seconds(joined),
        seconds(changed),
        seconds(changed + known),
        seconds(dead),
    );
}

struct World {
    nodes: Vec<State>,
    codec: Codec,
    now: Millis,
    mail: VecDeque<Mail>,
    answers: VecDeque<(usize, Ticket)>,
    generation: u64,
    /// A node that handles nothing any more.
    gone: Option<usize>,
    counts: Counts,
}

struct Mail {
    sent: Millis,
    to: usize,
    sealed: Bytes,
}

/// Sums over all nodes.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    messages: u64,
    bytes: u64,
    reads: u64,
    reducer: Duration,
    codec: Duration,
}

impl World {
    fn new(size: usize) -> Self {
        let keys = Keys::new(b"a key for measurements", None).expect("the key is long enough");
        let mut world = Self {
            nodes: (0..size)
                .map(|index| State::new(identity(index), index as u64))
                .collect(),
            codec: Codec::new(keys),
            now: Millis(0),
            mail: VecDeque::new(),
            answers: VecDeque::new(),
            generation: 0,
            gone: None,
            counts: Counts::default(),
        };
        world.accept_all(size);
        let hosts: Vec<HostEntry> = (0..size).map(host).collect();
        for index in 0..size {
            world.post(index, &Event::HostsListed(hosts.clone()));
            if role(index) == Role::Agent {
                world.post(index, &Event::LoadChanged(Box::new(load(index))));
            }
        }
        world
    }

    fn reset(&mut self) {
        self.counts = Counts::default();
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn run_until(&mut self, holds: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while !holds(self) {
            assert!(self.now.since(start) < LIMIT, "not within {LIMIT:?}");
            self.run(TICK);
        }
        self.now.since(start)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while self.mail.front().is_some_and(|mail| mail.sent < self.now) {
            let mail = self.mail.pop_front().expect("there is a first");
            let start = Instant::now();
            let envelope = self.codec.decode(mail.sealed).expect("it was sealed here");
            self.counts.codec += start.elapsed();
            self.post(mail.to, &Event::MessageReceived(Box::new(envelope)));
        }
        for _ in 0..self.answers.len() {
            let (index, ticket) = self.answers.pop_front().expect("there is a first");
            let rows = vec![head(self.generation.min(1))];
            self.post(
                index,
                &Event::TableAnswered(ticket, Ok(TableAnswer::Rows(rows))),
            );
        }
        let turns = (TICK.0 / STEP.0) as usize;
        let turn = (self.now.0 / STEP.0) as usize % turns;
        for index in (turn..self.nodes.len()).step_by(turns) {
            self.post(index, &Event::Tick);
        }
    }

    fn post(&mut self, index: usize, event: &Event) {
        if self.gone == Some(index) {
            return;
        }
        let start = Instant::now();
        let effects = self.nodes[index].apply(event, self.now);
        self.counts.reducer += start.elapsed();
        for effect in effects {
            match effect {
                Effect::Send(addr, envelope) => self.send(&addr, &envelope),
                Effect::CallTable(ticket, _) if ticket.component == Component::Config => {
                    self.counts.reads += 1;
                    self.answers.push_back((index, ticket));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, addr: &str, envelope: &Envelope) {
        let start = Instant::now();
        let sealed = self.codec.encode(envelope).expect("it is not too long");
        self.counts.codec += start.elapsed();
        self.counts.messages += 1;
        self.counts.bytes += sealed.len() as u64;
        let to = addr
            .rsplit_once(':')
            .and_then(|(_, port)| port.parse().ok());
        self.mail.push_back(Mail {
            sent: self.now,
            to: to.expect("the port is the number of the node"),
            sealed,
        });
    }

    // The first configuration: the services and all upstreams.
    fn accept_all(&mut self, size: usize) {
        let mut text = String::from(SERVICE);
        for index in (0..size).filter(|index| role(*index) == Role::Agent) {
            text += &upstream(index);
        }
        self.change(&text);
    }

    fn accept(&mut self) {
        self.change(&upstream(GATEWAYS_OF_FIVE));
    }

    fn change(&mut self, text: &str) {
        self.generation += 1;
        let resources = parse_manifests(text).expect("the manifest is right");
        let change = Change {
            generation: self.generation,
            write_id: WriteId("measurement".into()),
            author: "measurement".into(),
            reason: "measurement".into(),
            time: "2026-01-01T00:00:00Z".into(),
            items: resources.into_iter().map(item).collect(),
        };
        self.post(0, &Event::ChangeAccepted(Box::new(change)));
    }

    fn all_joined(&self) -> bool {
        let size = self.nodes.len();
        let knows_all = |node: &State| node.context().members.present_count() == size;
        self.nodes.iter().all(knows_all) && self.all_at(1)
    }

    fn all_at(&self, generation: u64) -> bool {
        self.nodes
            .iter()
            .all(|node| node.context().config.generation == generation)
    }

    fn first_knows_all_at(&self, generation: u64) -> bool {
        let members = &self.nodes[0].context().members;
        members
            .iter()
            .all(|(_, member)| member.generation == generation)
    }

    fn last_is_dead(&self) -> bool {
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
        value: to_raw_value(&Head { generation }).expect("a head can be written as JSON"),
    }
}

fn identity(index: usize) -> Identity {
    let role = role(index);
    let agent = role == Role::Agent;
    let of_agent = |text: CompactString| {
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
        http_addr: of_agent(format_compact!("10.20.30.40:{index}")),
        upstream: of_agent(format_compact!("runner-{index}")),
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
    if index % 5 < GATEWAYS_OF_FIVE {
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
