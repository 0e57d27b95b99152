//! Claims of several agents' lives on one table that loses, delays and
//! refuses; every run is the same for its seed.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::format_compact;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::judge::MEMBERS_LEARNED;
use super::*;
use crate::control::{Identity, Role, State, TICK};
use crate::peer::{NodeId, RequestId};
use crate::store::table::Transaction;

const KEYS: u64 = 4;

/// Longest delay of an answer, and of a write whose answer was lost, without
/// and with trouble, in milliseconds.
const SHORT_DELAY: u64 = 100;
const LONG_DELAY: u64 = 3_000;

/// What a test lets go wrong, as shares of the calls.
#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    lost: f64,
    refused: f64,
    // Share of granted runs that end without having begun.
    not_run: f64,
    // Share of ticks at which one agent is frozen for a while.
    frozen: f64,
    slow: bool,
}

const ALL: Trouble = Trouble {
    lost: 0.3,
    refused: 0.2,
    not_run: 0.3,
    frozen: 0.02,
    slow: true,
};

struct World {
    agents: Vec<Agent>,
    rows: BTreeMap<CompactString, Row>,
    now: Millis,
    rng: SmallRng,
    trouble: Trouble,
    mail: Vec<(Millis, Mail)>,
    asked: BTreeMap<ClaimTicket, u64>,
    answers: BTreeMap<ClaimTicket, ClaimAnswer>,
    // Effects of each key, and the answer that the first one gave.
    effects: BTreeMap<u64, Vec<StoredAnswer>>,
}

struct Agent {
    state: State,
    frozen_until: Millis,
}

enum Mail {
    Event(usize, Event),
    // A write whose answer was lost reaches the table late.
    LateWrite(Transaction),
}

impl World {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let agents = (0..3).map(|index| Agent {
            state: State::new(identity(index), seed),
            frozen_until: Millis(0),
        });
        Self {
            agents: agents.collect(),
            rows: BTreeMap::new(),
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            trouble,
            mail: Vec::new(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
            effects: BTreeMap::new(),
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + Millis(span);
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            if self.rng.random_bool(self.trouble.frozen) {
                let index = self.rng.random_range(0..self.agents.len());
                self.agents[index].frozen_until = self.now + Millis(5_000);
            }
            for index in 0..self.agents.len() {
                self.post(index, Event::Tick);
            }
        }
    }

    fn ask(&mut self, agent: usize, key: u64, fingerprint: &'static [u8]) -> ClaimTicket {
        let number = self.asked.len() as u64;
        let ticket = ClaimTicket(number);
        // A gateway may try a request again, at the same or another agent.
        let is_retry = number > 0 && self.rng.random_bool(0.3);
        let sequence = if is_retry {
            self.rng.random_range(0..number)
        } else {
            number
        };
        let gateway = NodeId {
            name: "gw".into(),
            incarnation: 1,
        };
        let call = ClaimCall {
            request: RequestId { gateway, sequence },
            step: 0,
            team: "estate".into(),
            service: "booking".into(),
            key: format_compact!("{key}"),
            fingerprint: Bytes::from_static(fingerprint),
            time_left: Millis(2_000),
        };
        self.asked.insert(ticket, key);
        self.post(agent, Event::ClaimRequested(ticket, Box::new(call)));
        ticket
    }

    fn post(&mut self, agent: usize, event: Event) {
        if self.agents[agent].frozen_until > self.now {
            if !matches!(event, Event::Tick) {
                let due = self.agents[agent].frozen_until;
                self.mail.push((due, Mail::Event(agent, event)));
            }
            return;
        }
        for effect in self.agents[agent].state.apply(&event, self.now) {
            match effect {
                Effect::CallTable(ticket, call) if ticket.component == Component::Claims => {
                    self.store(agent, ticket, call);
                }
                Effect::AnswerClaim(ticket, answer) => self.answered(agent, ticket, answer),
                _ => {}
            }
        }
    }

    // The traffic: runs what it may, and ends it some time later.
    fn answered(&mut self, agent: usize, ticket: ClaimTicket, answer: ClaimAnswer) {
        let twice = self.answers.insert(ticket, answer.clone());
        assert_eq!(twice, None, "a claim is answered once");
        let key = self.asked[&ticket];
        match answer {
            ClaimAnswer::Run => {
                let end = self.effect(key, ticket);
                let event = Event::ClaimEnded(ticket, Box::new(end));
                self.later(Mail::Event(agent, event));
            }
            ClaimAnswer::Replay(stored) => {
                assert_eq!(
                    stored, self.effects[&key][0],
                    "the first answer is replayed"
                );
            }
            _ => {}
        }
    }

    fn effect(&mut self, key: u64, ticket: ClaimTicket) -> ClaimEnd {
        if self.rng.random_bool(self.trouble.not_run) {
            return ClaimEnd::NotRun;
        }
        let answer = stored(ticket);
        let effects = self.effects.entry(key).or_default();
        effects.push(answer.clone());
        assert_eq!(effects.len(), 1, "key {key} ran twice");
        ClaimEnd::Finished(Some(answer))
    }

    fn store(&mut self, agent: usize, ticket: Ticket, call: TableCall) {
        let TableCall::Commit(transaction) = call else {
            panic!("claims only commit");
        };
        let draw = self.rng.random::<f64>();
        let result = if draw < self.trouble.lost {
            self.lose(transaction)
        } else if draw < self.trouble.lost + self.trouble.refused {
            Err(TableError::Unavailable {
                message: "out".into(),
            })
        } else {
            self.commit(transaction)
        };
        self.later(Mail::Event(agent, Event::TableAnswered(ticket, result)));
    }

    // The write takes effect now, later or never.
    fn lose(&mut self, transaction: Transaction) -> Result<TableAnswer, TableError> {
        match self.rng.random_range(0..3) {
            0 => drop(self.commit(transaction)),
            1 => self.later(Mail::LateWrite(transaction)),
            _ => {}
        }
        Err(TableError::Lost {
            message: "lost".into(),
        })
    }

    fn commit(&mut self, transaction: Transaction) -> Result<TableAnswer, TableError> {
        let version = |key| self.rows.get(key).map_or(0, |row: &Row| row.version);
        let mut failed = transaction.conditions.iter().peekable();
        let failed: Vec<_> = std::iter::from_fn(|| {
            failed.find(|condition| version(&condition.key) != condition.version)
        })
        .collect();
        if !failed.is_empty() {
            let rows = failed
                .iter()
                .filter_map(|condition| self.rows.get(&condition.key));
            let rows = rows.cloned().collect();
            return Err(TableError::Conflict { rows });
        }
        for put in transaction.puts {
            let version = self.rows.get(&put.key).map_or(0, |row| row.version) + 1;
            let row = Row {
                key: put.key.clone(),
                version,
                value: put.value,
            };
            self.rows.insert(put.key, row);
        }
        Ok(TableAnswer::Committed)
    }

    fn later(&mut self, mail: Mail) {
        let longest = if self.trouble.slow {
            LONG_DELAY
        } else {
            SHORT_DELAY
        };
        let delay = Millis(self.rng.random_range(0..longest));
        self.mail.push((self.now + delay, mail));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.mail.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, mail) in due {
            match mail {
                Mail::Event(agent, event) => self.post(agent, event),
                Mail::LateWrite(transaction) => drop(self.commit(transaction)),
            }
        }
    }
}

fn identity(index: usize) -> Identity {
    Identity {
        node: NodeId {
            name: format_compact!("agent-{index}"),
            incarnation: 1,
        },
        role: Role::Agent,
        data_centre: "vacoas".into(),
        peer_addr: CompactString::default(),
        http_addr: CompactString::default(),
        upstream: format_compact!("lathe-{index}"),
    }
}

fn stored(ticket: ClaimTicket) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".into(),
        chunks: vec![StoredChunk(Bytes::from(ticket.0.to_string()))],
    }
}

#[test_case(Trouble::default(); "in peace")]
#[test_case(Trouble { slow: true, ..Trouble::default() }; "with slow answers")]
#[test_case(Trouble { lost: 0.5, ..Trouble::default() }; "with lost answers")]
#[test_case(Trouble { refused: 0.5, ..Trouble::default() }; "with refused calls")]
#[test_case(Trouble { not_run: 0.7, lost: 0.3, slow: true, ..Trouble::default() }; "with runs that never begin")]
#[test_case(Trouble { frozen: 0.1, lost: 0.3, slow: true, ..Trouble::default() }; "with holders that freeze and wake")]
#[test_case(ALL; "with all at once")]
fn a_key_has_one_effect_and_every_claim_is_answered(trouble: Trouble) {
    for seed in 0..60 {
        let mut world = World::new(seed, trouble);
        for _ in 0..40 {
            let agent = world.rng.random_range(0..3);
            let key = world.rng.random_range(0..KEYS);
            world.ask(agent, key, b"book 07:30");
            let pause = world.rng.random_range(0..800);
            world.run(pause);
        }
        world.trouble = Trouble::default();
        world.run(30_000);
        assert_eq!(world.answers.len(), world.asked.len(), "seed {seed}");
        no_key_is_stuck(&mut world);
    }
}

// With the table back, a key is either free or has its one effect.
fn no_key_is_stuck(world: &mut World) {
    for key in 0..KEYS {
        let had_effect = world.effects.contains_key(&key);
        let ticket = world.ask(1, key, b"book 07:30");
        world.run(5_000);
        match &world.answers[&ticket] {
            ClaimAnswer::Run => assert!(!had_effect, "key {key} ran twice"),
            ClaimAnswer::Replay(_) => assert!(had_effect, "key {key} never ran"),
            other => panic!("key {key} is stuck: {other:?}"),
        }
    }
}

#[test]
fn another_request_with_the_key_is_refused() {
    let mut world = World::new(1, Trouble::default());
    world.ask(0, 7, b"book 07:30");
    world.run(10_000);
    let here = world.ask(0, 7, b"book 08:00");
    let there = world.ask(2, 7, b"book 08:00");
    world.run(10_000);
    assert_eq!(world.answers[&here], ClaimAnswer::Reused);
    assert_eq!(world.answers[&there], ClaimAnswer::Reused);
}

#[test]
fn a_key_whose_holder_is_gone_has_an_unknown_outcome() {
    let mut world = World::new(2, Trouble::default());
    world.trouble.not_run = 0.0;
    let first = world.ask(0, 7, b"book 07:30");
    while !world.answers.contains_key(&first) {
        world.run(TICK.0);
    }
    world.agents[0].frozen_until = Millis(u64::MAX);
    let early = world.ask(1, 7, b"book 07:30");
    world.run(MEMBERS_LEARNED.0);
    let late = world.ask(1, 7, b"book 07:30");
    world.run(10_000);
    assert_eq!(world.answers[&early], ClaimAnswer::InProgress);
    assert_eq!(world.answers[&late], ClaimAnswer::UnknownOutcome);
}

#[test]
fn while_the_table_is_out_claims_are_refused_at_once() {
    let mut world = World::new(3, Trouble::default());
    world.trouble.refused = 1.0;
    let first = world.ask(0, 1, b"book 07:30");
    world.run(10_000);
    let second = world.ask(0, 2, b"book 07:30");
    while !world.answers.contains_key(&second) {
        world.run(TICK.0);
    }
    let third = world.ask(0, 3, b"book 07:30");
    assert_eq!(world.answers[&first], ClaimAnswer::Unavailable);
    assert_eq!(world.answers[&second], ClaimAnswer::Unavailable);
    assert_eq!(world.answers[&third], ClaimAnswer::Unavailable);
}
