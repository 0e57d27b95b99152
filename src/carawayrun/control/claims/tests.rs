//! Claims of several agents on one simulated table that loses and delays
//! answers and refuses calls. Each run is deterministic for its seed.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::format_compact;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::conflict::MEMBERSHIP_LEARNING_TIME;
use super::*;
use crate::control::{Identity, Role, State, TICK};
use crate::peer::{NodeId, RequestId};
use crate::store::table::Transaction;

const KEYS: u64 = 4;

/// Longest delay of an answer, and of a write whose answer was lost, without and
/// with `Faults::slow`.
const SHORT_DELAY_MS: u64 = 100;
const LONG_DELAY_MS: u64 = 3_000;

/// Injected faults; rates are shares of the calls unless noted.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    lost: f64,
    refused: f64,
    // Share of granted claims whose request does not run.
    not_run: f64,
    // Share of ticks at which one agent is frozen for five seconds.
    frozen: f64,
    slow: bool,
}

const ALL_FAULTS: Faults = Faults {
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
    faults: Faults,
    messages: Vec<(Millis, Message)>,
    // Key of each claim.
    keys: BTreeMap<ClaimTicket, u64>,
    answers: BTreeMap<ClaimTicket, ClaimAnswer>,
    // Answers of all runs by key.
    runs: BTreeMap<u64, Vec<StoredAnswer>>,
}

struct Agent {
    state: State,
    frozen_until: Millis,
}

enum Message {
    Event(usize, Event),
    // A write whose answer was lost and that reaches the table late.
    LateWrite(Transaction),
}

impl World {
    fn new(seed: u64, faults: Faults) -> Self {
        let agents = (0..3).map(|index| Agent {
            state: State::new(identity(index), seed),
            frozen_until: Millis(0),
        });
        Self {
            agents: agents.collect(),
            rows: BTreeMap::new(),
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            faults,
            messages: Vec::new(),
            keys: BTreeMap::new(),
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }

    fn run(&mut self, span_ms: u64) {
        let end = self.now + Millis(span_ms);
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            if self.rng.random_bool(self.faults.frozen) {
                let index = self.rng.random_range(0..self.agents.len());
                self.agents[index].frozen_until = self.now + Millis(5_000);
            }
            for index in 0..self.agents.len() {
                self.post(index, Event::Tick);
            }
        }
    }

    fn claim(&mut self, agent: usize, key: u64, fingerprint: &'static [u8]) -> ClaimTicket {
        let number = self.keys.len() as u64;
        let ticket = ClaimTicket(number);
        // A gateway may retry a request at the same or another agent.
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
        let call = ClaimRequest {
            request: RequestId { gateway, sequence },
            step: 0,
            team: "estate".into(),
            service: "booking".into(),
            key: format_compact!("{key}"),
            fingerprint: Bytes::from_static(fingerprint),
            time_left: Millis(2_000),
        };
        self.keys.insert(ticket, key);
        self.post(agent, Event::ClaimRequested(ticket, Box::new(call)));
        ticket
    }

    fn post(&mut self, agent: usize, event: Event) {
        if self.agents[agent].frozen_until > self.now {
            if !matches!(event, Event::Tick) {
                let due = self.agents[agent].frozen_until;
                self.messages.push((due, Message::Event(agent, event)));
            }
            return;
        }
        for effect in self.agents[agent].state.apply(&event, self.now) {
            match effect {
                Effect::CallTable(ticket, call) if ticket.component == Component::Claims => {
                    self.call_store(agent, ticket, call);
                }
                Effect::AnswerClaim(ticket, answer) => self.handle_answer(agent, ticket, answer),
                _ => {}
            }
        }
    }

    // Acts as the traffic threads: runs the request if its claim is granted, and
    // ends it later.
    fn handle_answer(&mut self, agent: usize, ticket: ClaimTicket, answer: ClaimAnswer) {
        let previous = self.answers.insert(ticket, answer.clone());
        assert_eq!(previous, None, "the claim was answered twice");
        let key = self.keys[&ticket];
        match answer {
            ClaimAnswer::Run => {
                let end = self.run_request(key, ticket);
                let event = Event::ClaimEnded(ticket, Box::new(end));
                self.deliver_later(Message::Event(agent, event));
            }
            ClaimAnswer::Replay(stored) => {
                assert_eq!(
                    stored, self.runs[&key][0],
                    "the replayed answer is not the first one"
                );
            }
            _ => {}
        }
    }

    fn run_request(&mut self, key: u64, ticket: ClaimTicket) -> ClaimEnd {
        if self.rng.random_bool(self.faults.not_run) {
            return ClaimEnd::NotRun;
        }
        let answer = unique_answer(ticket);
        let runs = self.runs.entry(key).or_default();
        runs.push(answer.clone());
        assert_eq!(runs.len(), 1, "key {key} ran twice");
        ClaimEnd::Finished(Some(answer))
    }

    fn call_store(&mut self, agent: usize, ticket: Ticket, call: TableCall) {
        let TableCall::Commit(transaction) = call else {
            panic!("claims only commit");
        };
        let draw = self.rng.random::<f64>();
        let result = if draw < self.faults.lost {
            self.lose_answer(transaction)
        } else if draw < self.faults.lost + self.faults.refused {
            Err(TableError::Unavailable {
                message: "out".into(),
            })
        } else {
            self.commit(transaction)
        };
        self.deliver_later(Message::Event(agent, Event::TableAnswered(ticket, result)));
    }

    // Loses the answer of a write that takes effect now, later or never.
    fn lose_answer(&mut self, transaction: Transaction) -> Result<TableAnswer, TableError> {
        match self.rng.random_range(0..3) {
            0 => drop(self.commit(transaction)),
            1 => self.deliver_later(Message::LateWrite(transaction)),
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

    fn deliver_later(&mut self, message: Message) {
        let longest = if self.faults.slow {
            LONG_DELAY_MS
        } else {
            SHORT_DELAY_MS
        };
        let delay = Millis(self.rng.random_range(0..longest));
        self.messages.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(due, _)| *due <= now)
            .collect();
        for (_, message) in due {
            match message {
                Message::Event(agent, event) => self.post(agent, event),
                Message::LateWrite(transaction) => drop(self.commit(transaction)),
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

// A made-up answer that only the request with this ticket has.
fn unique_answer(ticket: ClaimTicket) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".into(),
        chunks: vec![StoredChunk(Bytes::from(ticket.0.to_string()))],
    }
}

#[test_case(Faults::default(); "no faults")]
#[test_case(Faults { slow: true, ..Faults::default() }; "slow answers")]
#[test_case(Faults { lost: 0.5, ..Faults::default() }; "lost answers")]
#[test_case(Faults { refused: 0.5, ..Faults::default() }; "refused calls")]
#[test_case(Faults { not_run: 0.7, lost: 0.3, slow: true, ..Faults::default() }; "runs that never start")]
#[test_case(Faults { frozen: 0.1, lost: 0.3, slow: true, ..Faults::default() }; "owners that freeze and resume")]
#[test_case(ALL_FAULTS; "all faults")]
fn each_key_runs_at_most_once_and_each_claim_is_answered_once(faults: Faults) {
    for seed in 0..60 {
        let mut world = World::new(seed, faults);
        for _ in 0..40 {
            let agent = world.rng.random_range(0..3);
            let key = world.rng.random_range(0..KEYS);
            world.claim(agent, key, b"book 07:30");
            let pause = world.rng.random_range(0..800);
            world.run(pause);
        }
        world.faults = Faults::default();
        world.run(30_000);
        assert_eq!(world.answers.len(), world.keys.len(), "seed {seed}");
        assert_no_key_is_stuck(&mut world);
    }
}

// Once the table works again, each key is either free or has run once.
fn assert_no_key_is_stuck(world: &mut World) {
    for key in 0..KEYS {
        let has_run = world.runs.contains_key(&key);
        let ticket = world.claim(1, key, b"book 07:30");
        world.run(5_000);
        match &world.answers[&ticket] {
            ClaimAnswer::Run => assert!(!has_run, "key {key} ran twice"),
            ClaimAnswer::Replay(_) => assert!(has_run, "key {key} never ran"),
            other => panic!("key {key} is neither free nor finished: {other:?}"),
        }
    }
}

#[test]
fn a_different_request_with_the_same_key_is_refused() {
    let mut world = World::new(1, Faults::default());
    world.claim(0, 7, b"book 07:30");
    world.run(10_000);
    let here = world.claim(0, 7, b"book 08:00");
    let there = world.claim(2, 7, b"book 08:00");
    world.run(10_000);
    assert_eq!(world.answers[&here], ClaimAnswer::Reused);
    assert_eq!(world.answers[&there], ClaimAnswer::Reused);
}

#[test]
fn a_claim_of_a_lost_owner_is_answered_as_unknown_outcome() {
    let mut world = World::new(2, Faults::default());
    world.faults.not_run = 0.0;
    let first = world.claim(0, 7, b"book 07:30");
    while !world.answers.contains_key(&first) {
        world.run(TICK.0);
    }
    world.agents[0].frozen_until = Millis(u64::MAX);
    let early = world.claim(1, 7, b"book 07:30");
    world.run(MEMBERSHIP_LEARNING_TIME.0);
    let late = world.claim(1, 7, b"book 07:30");
    world.run(10_000);
    assert_eq!(world.answers[&early], ClaimAnswer::InProgress);
    assert_eq!(world.answers[&late], ClaimAnswer::UnknownOutcome);
}

#[test]
fn claims_are_refused_at_once_during_a_store_outage() {
    let mut world = World::new(3, Faults::default());
    world.faults.refused = 1.0;
    let first = world.claim(0, 1, b"book 07:30");
    world.run(10_000);
    let second = world.claim(0, 2, b"book 07:30");
    while !world.answers.contains_key(&second) {
        world.run(TICK.0);
    }
    let third = world.claim(0, 3, b"book 07:30");
    assert_eq!(world.answers[&first], ClaimAnswer::Unavailable);
    assert_eq!(world.answers[&second], ClaimAnswer::Unavailable);
    assert_eq!(world.answers[&third], ClaimAnswer::Unavailable);
}
