//! Roll-outs over several gateways: evaluation, withdrawal, takeover.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::world::World;
use crate::control::{Event, Millis, Rating, RequestOutcome, RolloutPhase, TICK};
use crate::peer::{NodeId, RequestId};
use crate::resource::Phase;

const SEED: u64 = 21;
/// Requests at each gateway per tick.
const REQUESTS: u32 = 4;

const MANIFESTS: &str = "
apiVersion: carawayrun/v1
kind: Service
metadata: {name: advisor}
spec:
  backend: engine
  tasks: [{name: note, class: normal, quality: 0.7, latencyMs: 1000}]
---
apiVersion: carawayrun/v1
kind: Version
metadata: {name: old}
spec: {model: lathe, service: advisor, price: {prompt: 1, completion: 1}}
---
apiVersion: carawayrun/v1
kind: Version
metadata: {name: new}
spec: {model: lathe, service: advisor, phase: candidate, price: {prompt: 1, completion: 1}}
---
apiVersion: carawayrun/v1
kind: Team
metadata: {name: estate}
spec: {keyDigests: [], versions: [old, new]}
";

const ROLLOUT: &str = "
apiVersion: carawayrun/v1
kind: Rollout
metadata: {name: lathe}
spec:
  model: lathe
  from: old
  to: new
  steps: [0.1, 0.5]
  maxExposure: 4000
  tolerance: 0.1
  errorRate: 0.01
";

/// Simulated behavior of a version.
#[derive(Debug, Clone, Copy)]
struct VersionBehavior {
    failures: f64,
    score: f64,
}

const GOOD: VersionBehavior = VersionBehavior {
    failures: 0.01,
    score: 0.8,
};

const BAD: VersionBehavior = VersionBehavior {
    failures: 0.4,
    score: 0.8,
};

/// Gateways that split their requests by their views.
struct Fleet {
    world: World,
    new: VersionBehavior,
    old: VersionBehavior,
    rng: SmallRng,
    /// Requests that the new version answered.
    exposed: u64,
    sequence: u64,
}

impl Fleet {
    fn new(gateways: usize, new: VersionBehavior) -> Self {
        let mut world = World::new(gateways, SEED);
        world.run(Millis(2_000));
        world.apply(0, &format!("{MANIFESTS}---{ROLLOUT}"));
        Self {
            world,
            new,
            old: GOOD,
            rng: SmallRng::seed_from_u64(SEED),
            exposed: 0,
            sequence: 0,
        }
    }

    fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        const MAX_TICKS: u32 = 6_000;
        for _ in 0..MAX_TICKS {
            if holds(self) {
                return;
            }
            self.tick();
        }
        panic!("not within ten minutes: {what}");
    }

    fn run(&mut self, span: Millis) {
        for _ in 0..span.0 / TICK.0 {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.world.run(TICK);
        for index in 0..self.world.nodes.len() {
            if self.world.nodes[index].frozen {
                continue;
            }
            for _ in 0..REQUESTS {
                self.request(index);
            }
        }
    }

    fn request(&mut self, index: usize) {
        let share = self.share(index);
        let is_new = share > 0.0 && self.rng.random_bool(share);
        let behavior = if is_new { self.new } else { self.old };
        let version = if is_new { "new" } else { "old" };
        self.exposed += u64::from(is_new);
        self.sequence += 1;
        let failed = self.rng.random_bool(behavior.failures);
        self.world
            .post(index, answered(self.sequence, version, failed));
        if !failed && self.rng.random_bool(0.7) {
            let score = (behavior.score + self.rng.random_range(-0.2..0.2)).clamp(0.0, 1.0);
            self.world.post(index, rated(version, score));
        }
    }

    /// Share of a gateway's requests that goes to the new version.
    fn share(&self, index: usize) -> f64 {
        let view = self.world.view(index);
        let suspended = view.config.versions.key("new");
        if suspended.is_none_or(|key| view.suspended.contains(&key)) {
            return 0.0;
        }
        view.rollouts.first().map_or(0.0, |rollout| rollout.share)
    }

    fn phase(&self, index: usize) -> Option<RolloutPhase> {
        let rollout = self.world.view(index).rollouts.first()?;
        Some(rollout.phase)
    }

    fn version_phase(&self, index: usize, name: &str) -> Option<Phase> {
        let view = self.world.view(index);
        let version = view.config.versions.by_name(name)?;
        Some(version.spec.phase)
    }

    fn all(&self, holds: impl Fn(usize) -> bool) -> bool {
        let mut nodes = (0..self.world.nodes.len()).filter(|at| !self.world.nodes[*at].frozen);
        nodes.all(holds)
    }

    fn is_withdrawn_everywhere(&self, name: &str) -> bool {
        self.all(|index| self.version_phase(index, name) == Some(Phase::Withdrawn))
    }

    fn has_no_new_share(&self) -> bool {
        self.all(|index| self.share(index) == 0.0)
    }
}

fn answered(sequence: u64, version: &str, failed: bool) -> Event {
    let gateway = NodeId {
        name: "any".into(),
        incarnation: 1,
    };
    Event::RequestEnded(Box::new(RequestOutcome {
        id: RequestId { gateway, sequence },
        team: "estate".into(),
        service: "advisor".into(),
        task: "note".into(),
        version: version.into(),
        compared: true,
        failed,
        refused: false,
        first_ms: 100,
        total_ms: 500,
        completion_tokens: 10,
    }))
}

fn rated(version: &str, score: f64) -> Event {
    Event::AnswerRated(Box::new(Rating {
        version: version.into(),
        task: "note".into(),
        compared: true,
        score,
    }))
}

#[test_case(VersionBehavior { failures: 0.4, ..GOOD }; "that fails")]
#[test_case(VersionBehavior { score: 0.5, ..GOOD }; "that answers badly")]
fn a_bad_version_is_withdrawn_everywhere(new: VersionBehavior) {
    let mut fleet = Fleet::new(3, new);
    fleet.run_until("withdrawn", |fleet| fleet.is_withdrawn_everywhere("new"));
    assert!(fleet.exposed > 0);
    assert!(
        fleet.exposed < 1_000,
        "{} requests were exposed",
        fleet.exposed
    );
    let before = fleet.exposed;
    fleet.run(Millis(30_000));
    assert_eq!(fleet.exposed, before);
}

#[test]
fn a_good_version_gets_all_traffic_and_becomes_active() {
    let mut fleet = Fleet::new(3, GOOD);
    fleet.run_until("complete", |fleet| {
        fleet.all(|index| {
            fleet.phase(index) == Some(RolloutPhase::Complete)
                && fleet.version_phase(index, "new") == Some(Phase::Active)
        })
    });
    fleet.run(Millis(5_000));
    assert!(fleet.all(|index| fleet.share(index) > 0.99));
}

#[test]
fn a_bad_version_is_suspended_while_the_store_is_down() {
    let mut fleet = Fleet::new(3, GOOD);
    fleet.run_until("started", |fleet| fleet.exposed > 20);
    fleet.world.table.down = true;
    fleet.new = BAD;
    fleet.run_until("suspended", Fleet::has_no_new_share);
    let before = fleet.exposed;
    fleet.run(Millis(60_000));
    assert_eq!(
        fleet.exposed, before,
        "the suspended version got requests while the store was down"
    );
    fleet.world.table.down = false;
    fleet.run_until("withdrawn", |fleet| fleet.is_withdrawn_everywhere("new"));
}

#[test]
fn a_new_owner_resumes_the_roll_out_after_the_old_one_freezes() {
    let mut fleet = Fleet::new(3, GOOD);
    fleet.run_until("second step", |fleet| {
        fleet.all(|index| fleet.share(index) > 0.49)
    });
    let holder = fleet.lease_holder();
    fleet.world.nodes[holder].frozen = true;
    fleet.run_until("resumed and complete", |fleet| {
        fleet.all(|index| fleet.phase(index) == Some(RolloutPhase::Complete))
    });
    fleet.world.nodes[holder].frozen = false;
    fleet.run(Millis(20_000));
    assert!(fleet.all(|index| fleet.phase(index) == Some(RolloutPhase::Complete)));
}

#[test]
fn a_lost_answer_does_not_stop_a_withdrawal() {
    let mut fleet = Fleet::new(3, BAD);
    fleet.run_until("started", |fleet| fleet.exposed > 0);
    fleet.world.table.lose_answers = 3;
    fleet.run_until("withdrawn", |fleet| fleet.is_withdrawn_everywhere("new"));
}

#[test]
fn a_version_restored_by_an_operator_stays_active() {
    let mut fleet = Fleet::new(2, BAD);
    fleet.run_until("withdrawn", |fleet| fleet.is_withdrawn_everywhere("new"));
    fleet.run(Millis(5_000));
    let back = MANIFESTS.replace("phase: candidate, ", "");
    fleet.world.apply(0, &back);
    fleet.run(Millis(30_000));
    assert!(fleet.all(|index| fleet.version_phase(index, "new") == Some(Phase::Active)));
}

#[test]
fn a_version_that_degrades_without_a_roll_out_is_withdrawn() {
    let mut fleet = Fleet::new(3, GOOD);
    fleet.run_until("complete", |fleet| {
        fleet.all(|index| fleet.version_phase(index, "new") == Some(Phase::Active))
    });
    fleet.run(Millis(60_000));
    fleet.new = VersionBehavior { score: 0.5, ..GOOD };
    let before = fleet.exposed;
    fleet.run_until("withdrawn", |fleet| fleet.is_withdrawn_everywhere("new"));
    let exposed = fleet.exposed - before;
    assert!(exposed < 2_000, "{exposed} requests were exposed");
}

impl Fleet {
    /// The gateway that holds the lease on the roll-outs.
    fn lease_holder(&self) -> usize {
        let row = &self.world.table.rows["work/rollouts"];
        let holder = |index: usize| row.value.get().contains(&format!("\"n{index}."));
        let mut nodes = 0..self.world.nodes.len();
        nodes.find(|index| holder(*index)).unwrap()
    }
}
