//! Distribution of team limits over gateways.

use super::world::World;
use crate::control::{Event, Millis, RequestOutcome, TICK};
use crate::peer::{NodeId, RequestId};
use crate::policy::TokenBucket;

const SEED: u64 = 31;
const GATEWAYS: usize = 4;
const RATE: f64 = 40.0;

const MANIFESTS: &str = "
apiVersion: carawayrun/v1
kind: Team
metadata: {name: shops}
spec: {keyDigests: [], limits: {rate: 40, burst: 40, concurrency: 400}}
";

/// Gateways that admit requests through token buckets sized by their shares.
struct Fleet {
    world: World,
    buckets: Vec<TokenBucket>,
    admitted: u32,
}

impl Fleet {
    fn new() -> Self {
        let mut world = World::new(GATEWAYS, SEED);
        world.run(Millis(3_000));
        world.apply(0, MANIFESTS);
        world.run(Millis(3_000));
        let now = world.now.0;
        let bucket = || TokenBucket::new(0.0, 1.0, 400.0, now);
        Self {
            world,
            buckets: (0..GATEWAYS).map(|_| bucket()).collect(),
            admitted: 0,
        }
    }

    /// Offers each gateway the given number of requests per tick, and returns
    /// the admitted requests a second.
    fn run(&mut self, span: Millis, offered: [u32; GATEWAYS]) -> f64 {
        self.admitted = 0;
        for _ in 0..span.0 / TICK.0 {
            self.world.run(TICK);
            for (index, requests) in offered.into_iter().enumerate() {
                (0..requests).for_each(|_| self.request(index));
            }
        }
        f64::from(self.admitted) * 1_000.0 / span.0 as f64
    }

    fn request(&mut self, index: usize) {
        let share = self.share(index);
        let now = self.world.now.0;
        let bucket = &mut self.buckets[index];
        bucket.resize(share, share, 400.0, now);
        if bucket.acquire(now).is_ok() {
            bucket.release();
            self.admitted += 1;
        }
        self.world.post(index, answered());
    }

    /// Requests a second that a gateway may admit.
    fn share(&self, index: usize) -> f64 {
        let view = self.world.view(index);
        let team = view.config.teams.key("shops").unwrap();
        view.shares[&team].rate
    }

    fn total(&self) -> f64 {
        (0..GATEWAYS).map(|index| self.share(index)).sum()
    }
}

fn answered() -> Event {
    let gateway = NodeId {
        name: "any".into(),
        incarnation: 1,
    };
    Event::RequestEnded(Box::new(RequestOutcome {
        id: RequestId {
            gateway,
            sequence: 1,
        },
        team: "shops".into(),
        service: "home-app".into(),
        task: "GET /status".into(),
        version: "".into(),
        compared: false,
        failed: false,
        refused: false,
        first_ms: 1,
        total_ms: 1,
        completion_tokens: 0,
    }))
}

#[test]
fn shares_follow_demand_and_add_up_to_the_limit() {
    let mut fleet = Fleet::new();
    fleet.run(Millis(20_000), [20, 0, 0, 0]);
    assert!(
        fleet.share(0) > 0.7 * RATE,
        "the busy gateway has {}",
        fleet.share(0)
    );
    assert!(fleet.total() < 1.25 * RATE, "all have {}", fleet.total());
}

#[test]
fn the_admitted_rate_stays_near_the_limit_while_demand_moves() {
    let mut fleet = Fleet::new();
    fleet.run(Millis(20_000), [20, 0, 0, 0]);
    // All demand moves to other gateways several times.
    let moves = [
        [0, 20, 0, 0],
        [0, 0, 20, 20],
        [20, 20, 20, 20],
        [0, 0, 0, 20],
    ];
    for offered in moves {
        let rate = fleet.run(Millis(10_000), offered);
        assert!(rate < 1.5 * RATE, "{rate} requests a second were admitted");
        assert!(
            rate > 0.5 * RATE,
            "only {rate} requests a second were admitted"
        );
    }
}

#[test]
fn a_disconnected_gateway_falls_back_to_an_even_share() {
    let mut fleet = Fleet::new();
    fleet.run(Millis(20_000), [20, 0, 0, 0]);
    let disconnected = (0..GATEWAYS)
        .find(|index| fleet.share(*index) < 0.5 * RATE)
        .unwrap();
    fleet.world.nodes[disconnected].disconnected = true;
    fleet.run(Millis(10_000), [0, 0, 0, 0]);
    let others = fleet.total() - fleet.share(disconnected);
    assert!(others < 1.25 * RATE, "the others have {others}");
    // It knows no other live gateway, so its even share is the whole limit.
    assert!(fleet.share(disconnected) <= RATE);
    assert!(fleet.share(disconnected) > 0.0);
}
