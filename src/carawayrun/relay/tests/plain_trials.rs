//! Seeded roll-outs of plain services, whose routes fail and last unlike each other,
//! judged by the relay's own code: bad versions within the allowed exposure, good ones
//! completed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::relay::evidence::{Comparison, Evidence, Outcomes, RolloutEvidence, recent_decay};
use crate::relay::reference::Reference;
use crate::relay::rollout::{
    OrderId, Phase, RolloutOrder, Step, StepInput, TrafficOutlook, begin, due_step, traffic_share,
};
use crate::relay::tally::{RouteDigest, RouteEvidence, Tally, TallyPair};

const TICK: Duration = Duration::from_millis(200);

/// Ticks after which an attempt is known to all gateways.
const REPORT_TICKS: usize = 2;

const EXPOSURE_SLACK: f64 = 30.0;

const SEEDS: u64 = 300;

/// Requests of one route.
#[derive(Debug, Clone, Copy)]
struct Route {
    digest: RouteDigest,
    /// Part of the service's requests.
    part: f64,
    /// Share of failures of the old versions.
    failing: f64,
    /// Median time in milliseconds.
    median_ms: f64,
}

const fn route(digest: u32, part: f64, failing: f64, median_ms: f64) -> Route {
    Route {
        digest: RouteDigest(digest),
        part,
        failing,
        median_ms,
    }
}

/// The second one fails often by itself; the third one always, as it tests which
/// configuration is in force.
const ROUTES: [Route; 4] = [
    route(1, 0.62, 0.004, 60.0),
    route(2, 0.28, 0.2, 60.0),
    route(3, 0.04, 1.0, 300.0),
    route(4, 0.06, 0.0, 3.0),
];

/// Fault of a version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A share of the requests fails.
    Errors(f64),
    /// A share of the requests takes a multiple of the time.
    Slow(f64, f64),
    /// A share of the requests of the route with this index fails.
    OneRoute(usize, f64),
}

/// A roll-out of a version with a fault.
#[derive(Debug, Clone, Copy, PartialEq)]
struct World {
    /// Requests per second.
    rate: f64,
    limit: Duration,
    exposure_share: f64,
    fault: Fault,
    /// Time after which the fault shows.
    from: Duration,
    /// Time at which all gateways are restarted, if they are.
    restart: Option<Duration>,
}

#[derive(Debug)]
struct Trial {
    phase: Phase,
    ended_at: Duration,
    exposed: f64,
    requests: f64,
}

impl Trial {
    fn is_exposed(&self, world: &World) -> bool {
        self.exposed > world.exposure_share * self.requests + EXPOSURE_SLACK
    }
}

fn normal(rng: &mut SmallRng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}

fn draw(rng: &mut SmallRng, index: usize, fault: Fault) -> Tally {
    let route = ROUTES[index];
    let mut happens = |chance: f64| rng.random::<f64>() < chance;
    let fails = happens(route.failing)
        || match fault {
            Fault::Errors(share) => happens(share),
            Fault::OneRoute(bad, share) => bad == index && happens(share),
            Fault::None | Fault::Slow(..) => false,
        };
    let mut factor = match fault {
        Fault::Slow(share, factor) if happens(share) => factor,
        _ => 1.0,
    };
    if happens(0.01) {
        factor *= 5.0;
    }
    let ms = route.median_ms * factor * (0.47 * normal(rng)).exp();
    let mut tally = Tally::of_answer(fails);
    if !fails {
        tally.add(&Tally::of_time(Duration::from_secs_f64(ms / 1_000.0)));
    }
    tally
}

type Totals = BTreeMap<RouteDigest, TallyPair>;

// What the gateways know; they forget it when they are restarted.
#[derive(Debug, Default)]
struct Gateways {
    totals: Totals,
    reported: VecDeque<Totals>,
    outcomes: RolloutEvidence,
    routes: RouteEvidence,
}

impl Gateways {
    fn report(&mut self) {
        self.reported.push_back(self.totals.clone());
        if self.reported.len() <= REPORT_TICKS {
            return;
        }
        let totals = self.reported.pop_front().unwrap();
        let mut all = Comparison::default();
        for pair in totals.values() {
            let outcomes = |tally: &Tally| Outcomes {
                answered: tally.answered,
                failed: tally.failed,
                ..Outcomes::default()
            };
            all.old.add(&outcomes(&pair.old));
            all.new.add(&outcomes(&pair.new));
        }
        self.outcomes.update(all, TICK);
        self.routes.update(totals, recent_decay(TICK));
    }

    fn evidence(&self, reference: Option<&Reference>) -> Evidence {
        let mut evidence = Evidence {
            outcomes: self.outcomes,
            routes: self.routes.clone(),
        };
        if let Some(reference) = reference {
            reference.complete(&mut evidence);
        }
        evidence
    }
}

fn play(seed: u64, world: &World) -> Trial {
    let mut rng = SmallRng::seed_from_u64(seed);
    let order = RolloutOrder {
        service: CompactString::from("bookings"),
        to: CompactString::from("v2"),
        limit: world.limit,
        id: OrderId { era: 0, version: 7 },
    };
    let mut row = begin(&order, None, Duration::ZERO);
    let mut gateways = Gateways::default();
    let mut now = Duration::ZERO;
    let mut trial = Trial {
        phase: row.phase,
        ended_at: world.limit,
        exposed: 0.0,
        requests: 0.0,
    };
    while now < world.limit {
        now += TICK;
        if world.restart.is_some_and(|at| now >= at && now < at + TICK) {
            gateways = Gateways::default();
        }
        let share = traffic_share(&row, world.exposure_share);
        let expected = world.rate * TICK.as_secs_f64();
        let requests =
            expected.floor() + f64::from(u8::from(rng.random::<f64>() < expected.fract()));
        for _ in 0..requests as u32 {
            let mut point = rng.random::<f64>();
            let index = ROUTES.iter().position(|route| {
                point -= route.part;
                point < 0.0
            });
            let index = index.unwrap_or(0);
            let is_new = rng.random::<f64>() < share;
            let fault = if is_new && now >= world.from {
                world.fault
            } else {
                Fault::None
            };
            let tally = draw(&mut rng, index, fault);
            let pair = gateways.totals.entry(ROUTES[index].digest).or_default();
            trial.requests += 1.0;
            if is_new {
                trial.exposed += 1.0;
                pair.new.add(&tally);
            } else {
                pair.old.add(&tally);
            }
        }
        gateways.report();
        if !row.phase.is_open() {
            continue;
        }
        let evidence = gateways.evidence(row.reference.as_ref());
        let outlook = TrafficOutlook {
            exposure_share: world.exposure_share,
            exposure_slack: EXPOSURE_SLACK,
            rate: evidence.outcomes.rate(),
            is_complete: true,
        };
        let step = evidence.regression(None).map(|_| Step::REVERT);
        let step = step.or_else(|| {
            due_step(&StepInput {
                order: &order,
                row: &row,
                evidence: &evidence,
                outlook: &outlook,
                load: None,
                now,
            })
        });
        if let Some(step) = step {
            row.enter(step, now);
            row.reference = Reference::of(&evidence).or(row.reference);
            trial.ended_at = now;
        }
    }
    trial.phase = row.phase;
    trial
}

fn world(rate: f64, fault: Fault) -> World {
    World {
        rate,
        limit: Duration::from_secs(15),
        exposure_share: 0.15,
        fault,
        from: Duration::ZERO,
        restart: None,
    }
}

// Numbers of trials over the allowed exposure, and of those that did not end as they
// should.
fn errors(world: &World) -> (usize, usize) {
    let expected = if world.fault == Fault::None {
        Phase::Complete
    } else {
        Phase::Reverted
    };
    let trials: Vec<Trial> = (0..SEEDS).map(|seed| play(seed, world)).collect();
    let exposed = trials.iter().filter(|trial| trial.is_exposed(world));
    let missed = trials.iter().filter(|trial| trial.phase != expected);
    (exposed.count(), missed.count())
}

// Three of 56 may be held back, as issue 80 asks.
#[test_case(25.0; "25 requests per second")]
#[test_case(50.0; "50 requests per second")]
#[test_case(100.0; "100 requests per second")]
#[test_case(300.0; "300 requests per second")]
fn good_version_is_held_back(rate: f64) {
    let (_, missed) = errors(&world(rate, Fault::None));
    assert!(missed * 56 <= SEEDS as usize * 3, "{missed} of {SEEDS}");
}

// A version that took four times as long for a third of its requests completed in 2 of 3
// roll-outs: its answers were late for half of them, which is between a good and a bad
// engine's.
#[test_case(Fault::Slow(0.3, 4.0), 0; "a third is four times slower")]
#[test_case(Fault::Slow(0.5, 4.0), 0; "half is four times slower")]
#[test_case(Fault::Slow(0.3, 8.0), 0; "a third is eight times slower")]
#[test_case(Fault::Slow(0.5, 8.0), 0; "half is eight times slower")]
#[test_case(Fault::Slow(0.5, 4.0), 3; "half is four times slower, after 3 s")]
#[test_case(Fault::Errors(0.3), 0; "a third fails")]
#[test_case(Fault::Errors(0.5), 0; "half fails")]
#[test_case(Fault::Errors(0.5), 3; "half fails after 3 s")]
#[test_case(Fault::Errors(0.3), 6; "a third fails after 6 s")]
#[test_case(Fault::OneRoute(0, 0.3), 0; "a third of one route fails")]
#[test_case(Fault::OneRoute(1, 0.5), 0; "half of a route that fails by itself")]
#[test_case(Fault::OneRoute(1, 0.8), 0; "most of a route that fails by itself")]
fn slow_or_failing_plain_service_is_spread(fault: Fault, from_s: u64) {
    for rate in [25.0, 100.0, 300.0] {
        let world = World {
            from: Duration::from_secs(from_s),
            ..world(rate, fault)
        };
        let (exposed, missed) = errors(&world);
        assert!(
            exposed.max(missed) * 100 <= SEEDS as usize * 5,
            "{exposed}, {missed} at {rate}"
        );
    }
}

// All gateways were restarted once all traffic had moved. Half of the requests failing
// seemed usual then, as nothing was known of the old version, and the roll-out completed.
#[test]
fn restart_of_all_gateways_leaves_no_reference() {
    let world = World {
        from: Duration::from_secs(11),
        restart: Some(Duration::from_secs(11)),
        ..world(25.0, Fault::Errors(0.5))
    };
    for seed in 0..SEEDS {
        let trial = play(seed, &world);
        assert_eq!(trial.phase, Phase::Reverted, "seed {seed}: {trial:?}");
    }
}

#[test]
#[ignore = "prints both error rates"]
fn table() {
    for rate in [5.0, 12.0, 25.0, 50.0, 100.0, 300.0] {
        for fault in [
            Fault::None,
            Fault::Errors(0.3),
            Fault::Errors(0.5),
            Fault::Slow(0.3, 4.0),
            Fault::Slow(0.5, 4.0),
            Fault::Slow(0.3, 8.0),
            Fault::Slow(0.8, 2.0),
            Fault::OneRoute(0, 0.3),
            Fault::OneRoute(1, 0.3),
            Fault::OneRoute(1, 0.5),
            Fault::OneRoute(1, 0.8),
        ] {
            for from in [0, 3, 6] {
                let world = World {
                    from: Duration::from_secs(from),
                    ..world(rate, fault)
                };
                if from > 0 && matches!(fault, Fault::None | Fault::OneRoute(..)) {
                    continue;
                }
                println!("{rate:>4} {fault:?} from {from}: {:?}", errors(&world));
            }
        }
    }
}
