//! The judgement of roll-outs: chances of wrong verdicts over many seeds.

use carawayrun::policy::{
    Arms, DriftDetector, DriftVerdict, Evaluation, Progress, Tally, Verdict, evaluate,
};
use carawayrun::resource::Rollout;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const SEED: u64 = 14;

/// True outcomes of a version.
#[derive(Debug, Clone, Copy)]
struct Truth {
    failures: f64,
    slow: f64,
    quality: f64,
}

const GOOD: Truth = Truth {
    failures: 0.01,
    slow: 0.05,
    quality: 0.8,
};

fn rollout() -> Rollout {
    Rollout {
        model: "lathe".into(),
        from: "old".into(),
        to: "new".into(),
        steps: vec![0.05, 0.2, 0.5],
        max_exposure: 20_000,
        tolerance: 0.05,
        error_rate: 0.01,
        paused: false,
    }
}

fn answer(tally: &mut Tally, truth: Truth, rng: &mut SmallRng) {
    tally.record_answer(rng.random_bool(truth.failures), rng.random_bool(truth.slow));
    if rng.random_bool(0.7) {
        let noise: f64 = (0..4).map(|_| rng.random_range(-0.2..0.2)).sum();
        tally.record_rating(truth.quality + noise);
    }
}

/// Runs a roll-out that is judged after every 20 requests.
fn run(new: Truth, seed: u64) -> Evaluation {
    const LOOK_EVERY: u32 = 20;
    const MOST_REQUESTS: u32 = 60_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let rollout = rollout();
    let mut arms = Arms::default();
    let mut progress = Progress::default();
    let mut judgement = evaluate(&arms, &rollout, &progress);
    for request in 1..=MOST_REQUESTS {
        if rng.random_bool(rollout.steps[progress.step]) {
            answer(&mut arms.new, new, &mut rng);
        } else {
            answer(&mut arms.old, GOOD, &mut rng);
        }
        if request % LOOK_EVERY != 0 {
            continue;
        }
        judgement = evaluate(&arms, &rollout, &progress);
        match judgement.verdict {
            Verdict::Hold | Verdict::Wait => {}
            Verdict::Advance { step } => {
                progress = judgement.progress(step);
                arms = Arms::default();
            }
            Verdict::Complete | Verdict::Withdraw => return judgement,
        }
    }
    judgement
}

#[test]
fn good_versions_are_seldom_withdrawn() {
    const RUNS: u64 = 300;
    let withdrawn = (0..RUNS)
        .filter(|run_number| run(GOOD, SEED + run_number).verdict == Verdict::Withdraw)
        .count();
    assert!(
        withdrawn as f64 <= RUNS as f64 * rollout().error_rate,
        "{withdrawn} of {RUNS}"
    );
}

#[test]
fn good_versions_complete() {
    const RUNS: u64 = 50;
    let complete = (0..RUNS)
        .filter(|run_number| run(GOOD, SEED + run_number).verdict == Verdict::Complete)
        .count();
    assert!(complete as u64 >= RUNS * 9 / 10, "{complete} of {RUNS}");
}

#[test_case(Truth { failures: 0.3, ..GOOD }; "failures")]
#[test_case(Truth { slow: 0.5, ..GOOD }; "slow answers")]
#[test_case(Truth { quality: 0.6, ..GOOD }; "bad answers")]
fn bad_versions_are_withdrawn_within_the_limit(new: Truth) {
    const RUNS: u64 = 50;
    for seed in 0..RUNS {
        let judgement = run(new, SEED + seed);
        assert_eq!(judgement.verdict, Verdict::Withdraw);
        assert!(judgement.exposed <= rollout().max_exposure as f64);
    }
}

#[test]
fn new_work_waits_for_late_ratings() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut arms = Arms::default();
    (0..40_000).for_each(|_| answer(&mut arms.old, GOOD, &mut rng));
    (0..4_000).for_each(|_| arms.new.record_answer(false, false));
    let judgement = evaluate(&arms, &rollout(), &Progress::default());
    assert_eq!(judgement.verdict, Verdict::Wait);
}

#[test]
fn a_version_that_turns_bad_is_found_against_its_own_past() {
    const PERIOD: u32 = 50;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut detector = DriftDetector::default();
    let mut observe = |truth: Truth| {
        let mut tally = Tally::default();
        (0..PERIOD).for_each(|_| answer(&mut tally, truth, &mut rng));
        detector.observe(&tally)
    };
    let alarms = (0..2_000)
        .filter(|_| observe(GOOD) == DriftVerdict::Worse)
        .count();
    assert_eq!(alarms, 0);
    let bad = Truth {
        quality: 0.65,
        ..GOOD
    };
    let periods = (0..100)
        .take_while(|_| observe(bad) == DriftVerdict::Steady)
        .count();
    assert!(periods < 10, "{periods} periods of {PERIOD} requests");
}
