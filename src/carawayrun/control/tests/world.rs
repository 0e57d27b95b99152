//! Simulation of several reducers with an in-memory table service.
//!
//! A seeded generator delays, drops and duplicates messages, so that every run
//! of a test is the same.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::value::to_raw_value;

use crate::control::{
    Component, Directory, Effect, Event, HostEntry, Identity, Millis, Role, State, TICK, Ticket,
    View,
};
use crate::peer::NodeId;
use crate::peer::message::{Envelope, MemberState};
use crate::resource::{
    Change, Config, ConfigWrite, Edit, HEAD_KEY, Head, Kind, Origin, Resource, WriteId, change_key,
    parse_manifests, resource_key,
};
use crate::store::table::{Put, Row, TableAnswer, TableCall, TableError, Transaction};

/// Longest delay of a message.
const MAX_DELAY: Millis = Millis(50);

pub(super) struct World {
    pub(super) nodes: Vec<Node>,
    pub(super) now: Millis,
    pub(super) table: Table,
    /// Probability that a message is lost.
    pub(super) loss: f64,
    /// Probability that a message is duplicated.
    pub(super) duplication: f64,
    rng: SmallRng,
    in_transit: Vec<PendingEvent>,
}

pub(super) struct Node {
    pub(super) state: State,
    /// A frozen node handles no events; those in transit are delayed.
    pub(super) frozen: bool,
    /// A disconnected node's messages and calls are lost.
    pub(super) disconnected: bool,
    /// Highest generation that the node has had.
    pub(super) highest_generation: u64,
    /// View of its traffic threads.
    pub(super) view: Option<Arc<View>>,
}

#[derive(Default)]
pub(super) struct Table {
    pub(super) rows: BTreeMap<CompactString, Row>,
    pub(super) down: bool,
    /// Number of future commits that take effect but whose answers are lost.
    pub(super) lose_answers: u32,
}

struct PendingEvent {
    due: Millis,
    to: usize,
    event: Event,
}

impl World {
    pub(super) fn new(nodes: usize, seed: u64) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            now: Millis(0),
            table: Table::default(),
            loss: 0.0,
            duplication: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            in_transit: Vec::new(),
        };
        for index in 0..nodes {
            world.nodes.push(node(index, 1, seed));
        }
        let hosts: Vec<HostEntry> = (0..nodes).map(host).collect();
        for to in 0..nodes {
            world.deliver(to, Event::HostsListed(hosts.clone()));
        }
        world
    }

    /// Creates a world of gateways followed by agents.
    pub(super) fn with_agents(gateways: usize, agents: usize, seed: u64) -> Self {
        let mut world = Self::new(gateways + agents, seed);
        for index in gateways..gateways + agents {
            let identity = Identity {
                role: Role::Agent,
                http_addr: format_compact!("10.0.0.{index}:2"),
                upstream: upstream(index),
                ..identity(index, 1)
            };
            let seed = seed * 1_000 + index as u64;
            world.nodes[index].state = State::new(identity, seed);
        }
        world
    }

    /// Restarts a node with a new incarnation.
    pub(super) fn restart(&mut self, index: usize, incarnation: u64) {
        self.nodes[index] = node(index, incarnation, incarnation);
        let hosts = (0..self.nodes.len()).map(host).collect();
        self.deliver(index, Event::HostsListed(hosts));
    }

    pub(super) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver_due();
            for index in 0..self.nodes.len() {
                self.post(index, Event::Tick);
            }
        }
    }

    /// Runs until `holds`, or panics after a minute of simulated time.
    pub(super) fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while !holds(self) {
            assert!(
                self.now.since(start) < Millis(60_000),
                "not within a minute: {what}"
            );
            self.run(TICK);
        }
        self.now.since(start)
    }

    /// Writes a change to the table and reports it as accepted to `index`.
    pub(super) fn accept(&mut self, index: usize) {
        let change = self.table.write_change();
        self.post(index, Event::ChangeAccepted(Box::new(change)));
    }

    /// Applies manifests through `index`.
    pub(super) fn apply(&mut self, index: usize, manifests: &str) {
        let resources = parse_manifests(manifests).unwrap();
        let edits: Vec<Edit> = resources
            .into_iter()
            .map(|resource| Edit::Put(Box::new(resource)))
            .collect();
        let origin = Origin {
            write_id: WriteId("apply".into()),
            author: "test".into(),
            reason: "test".into(),
            time: "2026-01-01T00:00:00Z".into(),
        };
        let config = Arc::clone(&self.nodes[index].state.context().config);
        let write = ConfigWrite::build(&config, &edits, &origin)
            .unwrap()
            .unwrap();
        self.table
            .call(TableCall::Commit(write.transaction))
            .unwrap();
        self.post(index, Event::ChangeAccepted(Box::new(write.change)));
    }

    pub(super) fn view(&self, index: usize) -> &View {
        self.nodes[index].view.as_ref().unwrap()
    }

    pub(super) fn post(&mut self, index: usize, event: Event) {
        if self.nodes[index].frozen {
            if !matches!(event, Event::Tick) {
                self.deliver(index, event);
            }
            return;
        }
        let effects = self.nodes[index].state.apply(&event, self.now);
        for effect in effects {
            self.execute(index, effect);
        }
        let generation = self.generation(index);
        let node = &mut self.nodes[index];
        assert!(
            generation >= node.highest_generation,
            "the generation of n{index} decreased"
        );
        node.highest_generation = generation;
    }

    pub(super) fn generation(&self, index: usize) -> u64 {
        self.nodes[index].state.context().config.generation
    }

    pub(super) fn members(&self, index: usize) -> &Directory {
        &self.nodes[index].state.context().members
    }

    /// State of `about` as `of` sees it; dead if it is unknown.
    pub(super) fn observed_state(&self, of: usize, about: usize) -> MemberState {
        let members = self.members(of);
        let key = members.key(&name(about));
        let member = key.and_then(|key| members.get(key));
        member.map_or(MemberState::Dead, |member| member.state)
    }

    /// True if all nodes that are not frozen see `about` in `state`.
    pub(super) fn all_see(&self, about: usize, state: MemberState) -> bool {
        let mut others = (0..self.nodes.len()).filter(|of| *of != about && !self.nodes[*of].frozen);
        others.all(|of| self.observed_state(of, about) == state)
    }

    /// True while an answer about the configuration is in transit to a node.
    pub(super) fn awaits_config_answer(&self, index: usize) -> bool {
        let is_answer = |event: &Event| matches!(event, Event::TableAnswered(ticket, _) if ticket.component == Component::Config);
        let mut pending = self.in_transit.iter();
        pending.any(|pending| pending.to == index && is_answer(&pending.event))
    }

    fn execute(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send(addr, envelope) => self.send(index, &addr, &envelope),
            Effect::CallTable(ticket, call) => self.store(index, ticket, call),
            Effect::PublishView(view) => self.nodes[index].view = Some(view),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to_addr: &str, envelope: &Envelope) {
        let to = (0..self.nodes.len()).find(|to| addr(*to) == to_addr);
        let Some(to) =
            to.filter(|to| !self.nodes[from].disconnected && !self.nodes[*to].disconnected)
        else {
            return;
        };
        let copies = if self.rng.random_bool(self.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.rng.random_bool(self.loss) {
                self.deliver(to, Event::MessageReceived(Box::new(envelope.clone())));
            }
        }
    }

    fn store(&mut self, index: usize, ticket: Ticket, call: TableCall) {
        let result = if self.nodes[index].disconnected {
            Err(TableError::Lost {
                message: "disconnected".into(),
            })
        } else {
            self.table.call(call)
        };
        self.deliver(index, Event::TableAnswered(ticket, result));
    }

    fn deliver(&mut self, to: usize, event: Event) {
        let delay = self.rng.random_range(0..=MAX_DELAY.0);
        let due = self.now + Millis(delay);
        self.in_transit.push(PendingEvent { due, to, event });
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let mut due: Vec<PendingEvent> = self
            .in_transit
            .extract_if(.., |pending| pending.due <= now)
            .collect();
        due.sort_by_key(|pending| pending.due);
        for pending in due {
            self.post(pending.to, pending.event);
        }
    }
}

impl Table {
    pub(super) fn call(&mut self, call: TableCall) -> Result<TableAnswer, TableError> {
        if self.down {
            return Err(TableError::Unavailable {
                message: "down".into(),
            });
        }
        match call {
            TableCall::Read(keys) => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key)).cloned();
                Ok(TableAnswer::Rows(rows.collect()))
            }
            TableCall::List(list) => {
                let fits =
                    |key: &CompactString| key.starts_with(&*list.prefix) && *key > list.after;
                let rows = self.rows.iter().filter(|(key, _)| fits(key));
                let page = rows.take(list.limit as usize).map(|(_, row)| row.clone());
                Ok(TableAnswer::Rows(page.collect()))
            }
            TableCall::Commit(transaction) => self.commit(transaction),
        }
    }

    fn commit(&mut self, transaction: Transaction) -> Result<TableAnswer, TableError> {
        let version = |key: &CompactString| self.rows.get(key).map_or(0, |row| row.version);
        let failed = transaction
            .conditions
            .iter()
            .filter(|condition| version(&condition.key) != condition.version)
            .filter_map(|condition| self.rows.get(&condition.key).cloned());
        let rows: Vec<Row> = failed.collect();
        if !rows.is_empty() {
            return Err(TableError::Conflict { rows });
        }
        for put in transaction.puts {
            self.put(put);
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Err(TableError::Lost {
                message: "lost".into(),
            });
        }
        Ok(TableAnswer::Committed)
    }

    fn put(&mut self, put: Put) {
        let version = self.rows.get(&put.key).map_or(0, |row| row.version) + 1;
        let row = Row {
            key: put.key.clone(),
            version,
            value: put.value,
        };
        self.rows.insert(put.key, row);
    }

    pub(super) fn generation(&self) -> u64 {
        let head = self.rows.get(HEAD_KEY);
        head.map_or(0, |row| {
            let head: Head = serde_json::from_str(row.value.get()).unwrap();
            head.generation
        })
    }

    /// Writes a change that puts one service, with all its rows.
    pub(super) fn write_change(&mut self) -> Change {
        let generation = self.generation() + 1;
        let resource = service(generation);
        let change = change(generation, resource.clone());
        let rows = [
            put(HEAD_KEY.into(), &Head { generation }),
            put(change_key(generation), &change),
            put(
                resource_key(Kind::Service, &resource.metadata.name),
                &resource,
            ),
        ];
        for row in rows {
            self.put(row);
        }
        change
    }
}

pub(super) fn name(index: usize) -> CompactString {
    format_compact!("n{index}")
}

/// Name of the upstream that an agent serves.
pub(super) fn upstream(index: usize) -> CompactString {
    format_compact!("u{index}")
}

pub(super) fn identity(index: usize, incarnation: u64) -> Identity {
    Identity {
        node: NodeId {
            name: name(index),
            incarnation,
        },
        role: Role::Gateway,
        data_centre: format_compact!("dc{}", index % 3),
        peer_addr: addr(index),
        http_addr: CompactString::default(),
        upstream: CompactString::default(),
    }
}

pub(super) fn change(generation: u64, resource: Resource) -> Change {
    Change {
        generation,
        write_id: WriteId(format_compact!("write-{generation}")),
        author: "test".into(),
        reason: "test".into(),
        time: "2026-01-01T00:00:00Z".into(),
        items: vec![crate::resource::ChangeItem {
            action: crate::resource::ChangeAction::Put,
            kind: Kind::Service,
            name: resource.metadata.name.clone(),
            before: None,
            after: Some(resource),
        }],
    }
}

pub(super) fn service(generation: u64) -> Resource {
    let text = format!(
        "apiVersion: carawayrun/v1\nkind: Service\nmetadata: {{name: s{}, resourceVersion: {generation}}}\n\
         spec: {{backend: plain}}\n",
        generation % 8
    );
    parse_manifests(&text).unwrap().remove(0)
}

pub(super) fn resources(config: &Config) -> Vec<Resource> {
    config.resources().cloned().collect()
}

fn node(index: usize, incarnation: u64, seed: u64) -> Node {
    let seed = seed * 1_000 + index as u64;
    Node {
        state: State::new(identity(index, incarnation), seed),
        frozen: false,
        disconnected: false,
        highest_generation: 0,
        view: None,
    }
}

fn host(index: usize) -> HostEntry {
    HostEntry {
        name: name(index),
        data_centre: format_compact!("dc{}", index % 3),
        peer_addr: addr(index),
        leaving: false,
    }
}

fn addr(index: usize) -> CompactString {
    format_compact!("10.0.0.{index}:1")
}

fn put(key: CompactString, value: &impl serde::Serialize) -> Put {
    let value = to_raw_value(value).unwrap();
    Put { key, value }
}
