//! Exactly one bill per request despite failures of gateways and the store.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use test_case::test_case;

use super::world::{World, identity, upstream};
use crate::control::{AwaitedStep, Bill, BillStep, Event, Millis, TICK};
use crate::peer::message::{MemberState, RequestId, Usage};

const GATEWAYS: usize = 3;
const AGENTS: usize = 2;
/// Time within which a dead gateway's ledger is found, sealed and completed.
const RECOVERY_TIME: Millis = Millis(180_000);

/// A simulated cluster, its requests, and the expected cost of each.
struct Billing {
    world: World,
    rng: SmallRng,
    sequences: [u64; GATEWAYS],
    /// Cost by gateway and request.
    expected: Costs,
    scheduled: Vec<ScheduledEvent>,
}

/// An event that a node receives later.
struct ScheduledEvent {
    due: Millis,
    node: usize,
    event: Event,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoredBill {
    sequence: u64,
    cost_micros: u64,
}

impl Billing {
    fn new(seed: u64) -> Self {
        let mut world = World::with_agents(GATEWAYS, AGENTS, seed);
        let last = GATEWAYS + AGENTS - 1;
        world.run_until("all nodes see the last agent", |world| {
            world.all_see(last, MemberState::Alive)
        });
        Self {
            world,
            rng: SmallRng::seed_from_u64(seed),
            sequences: [0; GATEWAYS],
            expected: BTreeMap::new(),
            scheduled: Vec::new(),
        }
    }

    /// Sends a request of one or two steps; a fifth of the steps lose the answer.
    fn send_request(&mut self, gateway: usize) {
        self.sequences[gateway] += 1;
        let sequence = self.sequences[gateway];
        let mut bill = Bill {
            sequence,
            team: "t".into(),
            service: "s".into(),
            cost_micros: 0,
            steps: Vec::new(),
            awaited: Vec::new(),
        };
        let mut cost = 0;
        let steps = self.rng.random_range(1..=2);
        for step in 0..steps {
            let agent = GATEWAYS + self.rng.random_range(0..AGENTS);
            let used = usage(gateway, sequence, step, agent, &mut self.rng);
            cost += used.cost_micros;
            self.run_step(agent, &used);
            if self.rng.random_bool(0.2) {
                bill.awaited.push(AwaitedStep {
                    step,
                    upstream: upstream(agent),
                });
            } else {
                bill.cost_micros += used.cost_micros;
                bill.steps.push(BillStep::from(&used));
            }
        }
        self.expected.insert((gateway, sequence), cost);
        let wait = Millis(self.rng.random_range(0..3_000));
        self.schedule(wait, gateway, Event::BillDue(Box::new(bill)));
    }

    // Reports the start of the attempt to the agent before its end.
    fn run_step(&mut self, agent: usize, used: &Usage) {
        let started = Usage {
            finished: false,
            cost_micros: 0,
            ..used.clone()
        };
        self.world
            .post(agent, Event::UsageReported(Box::new(started)));
        if self.rng.random_bool(0.5) {
            self.world
                .post(agent, Event::UsageReported(Box::new(used.clone())));
        } else {
            let wait = Millis(self.rng.random_range(0..5_000));
            self.schedule(wait, agent, Event::UsageReported(Box::new(used.clone())));
        }
    }

    fn schedule(&mut self, wait: Millis, node: usize, event: Event) {
        let due = self.world.now + wait;
        self.scheduled.push(ScheduledEvent { due, node, event });
    }

    /// Runs for `span` with requests to `gateways`.
    fn run_with_requests(&mut self, span: Millis, gateways: &[usize]) {
        let end = self.world.now + span;
        while self.world.now < end {
            for gateway in gateways {
                if self.rng.random_bool(0.3) {
                    self.send_request(*gateway);
                }
            }
            self.run(TICK);
        }
    }

    fn run(&mut self, span: Millis) {
        let end = self.world.now + span;
        while self.world.now < end {
            let now = self.world.now;
            let due: Vec<ScheduledEvent> = self
                .scheduled
                .extract_if(.., |item| item.due <= now)
                .collect();
            for item in due {
                self.world.post(item.node, item.event);
            }
            self.world.run(TICK);
        }
    }

    fn suspend(&mut self, gateway: usize) {
        self.world.nodes[gateway].frozen = true;
        self.world.nodes[gateway].disconnected = true;
    }

    fn resume(&mut self, gateway: usize) {
        self.world.nodes[gateway].frozen = false;
        self.world.nodes[gateway].disconnected = false;
    }

    /// Costs in the table by gateway and request; panics if a request is billed
    /// twice.
    fn billed(&self) -> Costs {
        let mut billed = BTreeMap::new();
        for gateway in 0..GATEWAYS {
            let prefix = format!("bill/{}/", identity(gateway, 1).node);
            for (key, row) in &self.world.table.rows {
                if !key.starts_with(&prefix) {
                    continue;
                }
                let bills: Vec<StoredBill> = serde_json::from_str(row.value.get()).unwrap();
                for bill in bills {
                    let id = (gateway, bill.sequence);
                    let before = billed.insert(id, bill.cost_micros);
                    assert_eq!(before, None, "{id:?} is billed twice");
                }
            }
        }
        billed
    }

    fn assert_billed_once(&self) {
        let billed = self.billed();
        let missing: Vec<_> = difference(&self.expected, &billed);
        let wrong: Vec<_> = difference(&billed, &self.expected);
        assert_eq!((missing, wrong), (Vec::new(), Vec::new()));
    }
}

type Costs = BTreeMap<(usize, u64), u64>;

fn difference(of: &Costs, from: &Costs) -> Vec<((usize, u64), u64)> {
    let same = |id: &(usize, u64), cost: &u64| from.get(id) == Some(cost);
    of.iter()
        .filter(|(id, cost)| !same(id, cost))
        .map(|(id, cost)| (*id, *cost))
        .collect()
}

fn usage(gateway: usize, sequence: u64, step: u32, agent: usize, rng: &mut SmallRng) -> Usage {
    Usage {
        request: Some(RequestId {
            gateway: Some((&identity(gateway, 1).node).into()),
            sequence,
        }),
        step,
        team: "t".into(),
        service: "s".into(),
        version: "v".into(),
        upstream: upstream(agent).into(),
        prompt_tokens: 10,
        cached_tokens: 0,
        completion_tokens: 20,
        cost_micros: rng.random_range(1..1_000),
        finished: true,
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn each_request_is_billed_once_when_answers_of_the_store_are_lost(seed: u64) {
    let mut billing = Billing::new(seed);
    for _ in 0..10 {
        billing.world.table.lose_answers += 2;
        billing.run_with_requests(Millis(3_000), &[0, 1, 2]);
    }
    billing.run(Millis(20_000));
    billing.assert_billed_once();
}

#[test_case(4)]
#[test_case(5)]
fn each_request_is_billed_once_after_a_store_outage(seed: u64) {
    let mut billing = Billing::new(seed);
    billing.run_with_requests(Millis(5_000), &[0, 1]);
    billing.world.table.down = true;
    billing.run_with_requests(Millis(40_000), &[0, 1]);
    billing.world.table.down = false;
    billing.run(Millis(20_000));
    billing.assert_billed_once();
}

#[test_case(6, 0.0)]
#[test_case(7, 0.0)]
#[test_case(8, 0.2)]
#[test_case(9, 0.2)]
fn requests_of_a_dead_gateway_are_billed_once_by_another(seed: u64, loss: f64) {
    let mut billing = Billing::new(seed);
    billing.world.loss = loss;
    billing.run_with_requests(Millis(12_000), &[0, 1, 2]);
    billing.suspend(0);
    billing.world.table.lose_answers = 3;
    billing.run_with_requests(Millis(10_000), &[1, 2]);
    billing.run(RECOVERY_TIME);
    billing.assert_billed_once();
}

#[test_case(10, 40_000; "before it is settled")]
#[test_case(11, 40_000; "before it is settled, another order")]
#[test_case(12, 150_000; "after it is settled")]
#[test_case(13, 150_000; "after it is settled, another order")]
fn a_resumed_gateway_writes_no_bills_to_its_sealed_ledger(seed: u64, suspended_ms: u64) {
    let mut billing = Billing::new(seed);
    billing.run_with_requests(Millis(8_000), &[0, 1, 2]);
    billing.suspend(0);
    billing.run_with_requests(Millis(suspended_ms), &[1]);
    billing.resume(0);
    // The resumed gateway takes requests before it learns that it is sealed.
    billing.send_request(0);
    billing.send_request(0);
    billing.run(RECOVERY_TIME);
    billing.assert_billed_once();
    let ledger = billing.world.nodes[0].state.ledger_view();
    assert!(
        ledger.sealed,
        "the resumed gateway does not know it is sealed"
    );
}

#[test]
fn a_gateway_that_reaches_only_the_store_is_not_sealed() {
    let mut billing = Billing::new(14);
    billing.world.loss = 1.0;
    billing.run_with_requests(Millis(120_000), &[0]);
    billing.world.loss = 0.0;
    billing.run(RECOVERY_TIME);
    let sealed = (0..GATEWAYS).filter(|at| billing.world.nodes[*at].state.ledger_view().sealed);
    assert_eq!(sealed.count(), 0);
    billing.assert_billed_once();
}

#[test]
fn admission_closes_before_bills_exceed_the_limit() {
    use crate::control::Admission;
    let mut billing = Billing::new(15);
    billing.world.table.down = true;
    let mut sequence = 0;
    while billing.world.nodes[0].state.ledger_admission() == Admission::Open {
        sequence += 1;
        assert!(sequence < 1_000_000, "admission never closes");
        let bill = bill_of(sequence);
        billing.world.post(0, Event::BillDue(Box::new(bill)));
    }
    billing.world.table.down = false;
    billing.run(Millis(60_000));
    assert_eq!(
        billing.world.nodes[0].state.ledger_admission(),
        Admission::Open
    );
    assert_eq!(billing.billed().len() as u64, sequence);
}

fn bill_of(sequence: u64) -> Bill {
    Bill {
        sequence,
        team: "t".into(),
        service: "s".into(),
        cost_micros: 1,
        steps: vec![BillStep {
            step: 0,
            version: "v".into(),
            upstream: upstream(GATEWAYS),
            prompt_tokens: 1,
            cached_tokens: 0,
            completion_tokens: 1,
            cost_micros: 1,
        }],
        awaited: Vec::new(),
    }
}

#[test]
fn a_cancel_from_its_own_gateway_cancels_a_request_at_the_agent() {
    use crate::control::{Effect, UpstreamAction};
    use crate::peer::RequestId as Id;
    let mut billing = Billing::new(16);
    let id = Id {
        gateway: identity(0, 1).node,
        sequence: 1,
    };
    let envelope = crate::peer::message::Envelope {
        sender: Some((&id.gateway).into()),
        body: Some(crate::peer::message::envelope::Body::Cancel(
            crate::peer::message::Cancel {
                request: Some((&id).into()),
            },
        )),
        ..Default::default()
    };
    let now = billing.world.now;
    let agent = &mut billing.world.nodes[GATEWAYS].state;
    let effects = agent.apply(&Event::MessageReceived(Box::new(envelope)), now);
    let cancels = |effect: &Effect| matches!(effect, Effect::Upstream(UpstreamAction::Cancel(request)) if *request == id);
    assert!(effects.iter().any(cancels));
}
