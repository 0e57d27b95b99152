//! Seeded roll-outs of versions with known faults, judged by the relay's own code:
//! gateways count random outcomes, each evaluates what the others reported a moment
//! ago, and the first with enough evidence withdraws the version.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::relay::evidence::{Comparison, Evidence, Outcomes, RolloutEvidence, SlotLoad};
use crate::relay::rollout::{
    OrderId, Phase, RolloutOrder, Step, StepInput, TrafficOutlook, begin, due_step, traffic_share,
};

const TICK: Duration = Duration::from_millis(200);

/// Ticks after which an outcome is known to all gateways: one until it is counted,
/// one until it was reported.
const REPORT_TICKS: usize = 2;

const LIMIT: Duration = Duration::from_secs(15);

const SEEDS: u64 = 300;

/// Answers of a version.
#[derive(Debug, Clone, Copy)]
struct Answers {
    failed: f64,
    slow: f64,
    late: f64,
}

const GOOD: Answers = Answers {
    failed: 0.01,
    slow: 0.06,
    late: 0.3,
};

/// With cold caches, under the load of all traffic.
const GOOD_AT_FIRST: Answers = Answers { late: 0.55, ..GOOD };

const FAILING: Answers = Answers {
    failed: 0.5,
    ..GOOD
};

const SLOW: Answers = Answers {
    slow: 0.1,
    late: 0.95,
    ..GOOD
};

/// Result of one roll-out.
#[derive(Debug)]
struct Trial {
    phase: Phase,
    /// Time at which the last phase began.
    ended_at: Duration,
    /// Requests at the new version.
    exposed: f64,
    requests: f64,
}

fn count(rng: &mut SmallRng, rate: f64) -> u32 {
    let whole = rate.floor();
    whole as u32 + u32::from(rng.random::<f64>() < rate - whole)
}

fn draw(rng: &mut SmallRng, attempts: u32, answers: Answers) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for _ in 0..attempts {
        let mut happens = |chance: f64| f64::from(u8::from(rng.random::<f64>() < chance));
        outcomes.add(&Outcomes {
            answered: 1.0,
            failed: happens(answers.failed),
            slow: happens(answers.slow),
            timed: 1.0,
            late: happens(answers.late),
        });
    }
    outcomes
}

/// When the answers of a version change.
#[derive(Debug, Clone, Copy)]
enum Turn {
    After(Duration),
    /// Once most traffic goes to it.
    UnderLoad,
}

// Plays a roll-out of a version whose answers change from `early` to `late`.
fn play(
    seed: u64,
    rate: f64,
    exposure_share: f64,
    early: Answers,
    late: Answers,
    turn: Turn,
) -> Trial {
    let mut rng = SmallRng::seed_from_u64(seed);
    let order = RolloutOrder {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        limit: LIMIT,
        id: OrderId { era: 0, version: 7 },
    };
    let mut row = begin(&order, None, Duration::ZERO);
    let mut all = Comparison::default();
    let mut reported: VecDeque<Comparison> = VecDeque::new();
    let mut evidence = RolloutEvidence::default();
    let mut now = Duration::ZERO;
    let mut ended_at = LIMIT;
    while now < LIMIT {
        now += TICK;
        let share = traffic_share(&row, exposure_share);
        let requests = count(&mut rng, rate * TICK.as_secs_f64());
        let moved = (0..requests)
            .filter(|_| rng.random::<f64>() < share)
            .count() as u32;
        let has_turned = match turn {
            Turn::After(turn) => now >= turn,
            Turn::UnderLoad => share > 0.5,
        };
        let answers = if has_turned { late } else { early };
        all.new.add(&draw(&mut rng, moved, answers));
        all.old.add(&draw(&mut rng, requests - moved, GOOD));
        reported.push_back(all);
        if reported.len() > REPORT_TICKS {
            evidence.update(reported.pop_front().unwrap(), TICK);
        }
        let load = (share >= 1.0).then_some(SlotLoad {
            usual: 1.0,
            present: 1.0,
        });
        let outlook = TrafficOutlook {
            exposure_share,
            exposure_slack: 30.0,
            rate: evidence.rate(),
            is_complete: true,
        };
        if !row.phase.is_open() {
            continue;
        }
        let step = evidence.regression(load).map(|_| Step::REVERT);
        let step = step.or_else(|| {
            due_step(&StepInput {
                order: &order,
                row: &row,
                evidence: &Evidence::from(evidence),
                outlook: &outlook,
                load,
                now,
            })
        });
        if let Some(step) = step {
            row.enter(step, now);
            ended_at = now;
        }
    }
    Trial {
        phase: row.phase,
        ended_at,
        exposed: all.new.answered,
        requests: all.old.answered + all.new.answered,
    }
}

fn play_all(
    rate: f64,
    exposure_share: f64,
    early: Answers,
    late: Answers,
    turn: Turn,
) -> impl Iterator<Item = Trial> {
    (0..SEEDS).map(move |seed| play(seed, rate, exposure_share, early, late, turn))
}

#[test_case(18.0, 0.15; "18 requests per second")]
#[test_case(20.0, 0.0975; "20 requests per second")]
#[test_case(85.0, 0.15; "85 requests per second")]
#[test_case(300.0, 0.0975; "300 requests per second")]
#[test_case(840.0, 0.0975; "840 requests per second")]
fn good_version_completes_in_99_of_100_rollouts(rate: f64, exposure_share: f64) {
    let trials = play_all(rate, exposure_share, GOOD, GOOD_AT_FIRST, Turn::UnderLoad);
    let withdrawn = trials
        .filter(|trial| trial.phase != Phase::Complete)
        .count();
    assert!(withdrawn * 100 <= SEEDS as usize, "{withdrawn} of {SEEDS}");
}

#[test_case(20.0, FAILING, 0; "failing, 20 requests per second")]
#[test_case(85.0, FAILING, 0; "failing, 85 requests per second")]
#[test_case(840.0, FAILING, 0; "failing, 840 requests per second")]
#[test_case(20.0, SLOW, 0; "slow, 20 requests per second")]
#[test_case(85.0, SLOW, 0; "slow, 85 requests per second")]
#[test_case(840.0, SLOW, 0; "slow, 840 requests per second")]
#[test_case(85.0, FAILING, 5; "failing after 5 s, 85 requests per second")]
#[test_case(840.0, FAILING, 5; "failing after 5 s, 840 requests per second")]
#[test_case(85.0, SLOW, 5; "slow after 5 s, 85 requests per second")]
#[test_case(840.0, SLOW, 5; "slow after 5 s, 840 requests per second")]
#[test_case(85.0, FAILING, 8; "failing in the first step, 85 requests per second")]
#[test_case(840.0, FAILING, 8; "failing in the first step, 840 requests per second")]
fn bad_version_stays_within_allowed_exposure(rate: f64, bad: Answers, turn_s: u64) {
    let exposure_share = 0.0975;
    let trials = play_all(
        rate,
        exposure_share,
        GOOD,
        bad,
        Turn::After(Duration::from_secs(turn_s)),
    );
    for (seed, trial) in trials.enumerate() {
        assert_eq!(trial.phase, Phase::Reverted, "seed {seed}: {trial:?}");
        let allowed = exposure_share * trial.requests + 30.0;
        assert!(trial.exposed <= allowed, "seed {seed}: {trial:?}");
    }
}

// All its requests count against the allowed share, also those that it answered well,
// so only the time to the withdrawal can be bounded.
#[test_case(85.0)]
#[test_case(840.0)]
fn version_failing_after_spread_is_withdrawn_within_two_seconds(rate: f64) {
    let turn = Duration::from_secs(10);
    for (seed, trial) in play_all(rate, 0.0975, GOOD, FAILING, Turn::After(turn)).enumerate() {
        assert_eq!(trial.phase, Phase::Reverted, "seed {seed}: {trial:?}");
        let failing = trial.ended_at.saturating_sub(turn);
        assert!(failing <= Duration::from_secs(2), "seed {seed}: {trial:?}");
    }
}
