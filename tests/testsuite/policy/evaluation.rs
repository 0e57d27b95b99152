//! Evaluation of roll-outs: rates of wrong verdicts over many seeds.

use carawayrun::policy::{
    Arms, DriftDetector, DriftVerdict, Evaluation, Progress, Tally, Verdict, evaluate,
};
use carawayrun::resource::Rollout;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const SEED: u64 = 14;

/// True failure rate, rate of slow answers and mean rating of a version.
#[derive(Debug, Clone, Copy)]
struct TrueRates {
    failures: f64,
    slow: f64,
    quality: f64,
}

const GOOD: TrueRates = TrueRates {
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

fn record_outcome(tally: &mut Tally, rates: TrueRates, rng: &mut SmallRng) {
    tally.record_answer(rng.random_bool(rates.failures), rng.random_bool(rates.slow));
    if rng.random_bool(0.7) {
        let noise: f64 = (0..4).map(|_| rng.random_range(-0.2..0.2)).sum();
        tally.record_rating(rates.quality + noise);
    }
}

/// Simulates a roll-out that is evaluated after every 20 requests.
fn simulate_rollout(new: TrueRates, seed: u64) -> Evaluation {
    const EVALUATION_INTERVAL: u32 = 20;
    const MAX_REQUESTS: u32 = 60_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let rollout = rollout();
    let mut arms = Arms::default();
    let mut progress = Progress::default();
    let mut evaluation = evaluate(&arms, &rollout, &progress);
    for request in 1..=MAX_REQUESTS {
        if rng.random_bool(rollout.steps[progress.step]) {
            record_outcome(&mut arms.new, new, &mut rng);
        } else {
            record_outcome(&mut arms.old, GOOD, &mut rng);
        }
        if request % EVALUATION_INTERVAL != 0 {
            continue;
        }
        evaluation = evaluate(&arms, &rollout, &progress);
        match evaluation.verdict {
            Verdict::Hold | Verdict::Wait => {}
            Verdict::Advance { step } => {
                progress = evaluation.progress(step);
                arms = Arms::default();
            }
            Verdict::Complete | Verdict::Withdraw => return evaluation,
        }
    }
    evaluation
}

#[test]
fn good_versions_are_withdrawn_at_most_at_the_error_rate() {
    const RUNS: u64 = 300;
    let withdrawn = (0..RUNS)
        .filter(|run_number| simulate_rollout(GOOD, SEED + run_number).verdict == Verdict::Withdraw)
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
        .filter(|run_number| simulate_rollout(GOOD, SEED + run_number).verdict == Verdict::Complete)
        .count();
    assert!(complete as u64 >= RUNS * 9 / 10, "{complete} of {RUNS}");
}

#[test_case(TrueRates { failures: 0.3, ..GOOD }; "failures")]
#[test_case(TrueRates { slow: 0.5, ..GOOD }; "slow answers")]
#[test_case(TrueRates { quality: 0.6, ..GOOD }; "bad answers")]
fn bad_versions_are_withdrawn_within_the_exposure_limit(new: TrueRates) {
    const RUNS: u64 = 50;
    for seed in 0..RUNS {
        let evaluation = simulate_rollout(new, SEED + seed);
        assert_eq!(evaluation.verdict, Verdict::Withdraw);
        assert!(evaluation.exposed <= rollout().max_exposure as f64);
    }
}

#[test]
fn roll_out_waits_while_ratings_are_pending() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut arms = Arms::default();
    (0..40_000).for_each(|_| record_outcome(&mut arms.old, GOOD, &mut rng));
    (0..4_000).for_each(|_| arms.new.record_answer(false, false));
    let evaluation = evaluate(&arms, &rollout(), &Progress::default());
    assert_eq!(evaluation.verdict, Verdict::Wait);
}

#[test]
fn drift_is_detected_without_false_alarms() {
    const PERIOD: u32 = 50;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut detector = DriftDetector::default();
    let mut observe = |rates: TrueRates| {
        let mut tally = Tally::default();
        (0..PERIOD).for_each(|_| record_outcome(&mut tally, rates, &mut rng));
        detector.observe(&tally)
    };
    let alarms = (0..2_000)
        .filter(|_| observe(GOOD) == DriftVerdict::Worse)
        .count();
    assert_eq!(alarms, 0);
    let bad = TrueRates {
        quality: 0.65,
        ..GOOD
    };
    let periods = (0..100)
        .take_while(|_| observe(bad) == DriftVerdict::Steady)
        .count();
    assert!(periods < 10, "{periods} periods of {PERIOD} requests");
}
