//! Exposure to bad versions: judged roll-outs against fixed steps and a
//! fixed-sample test, and versions that turn bad with no roll-out.

use std::collections::VecDeque;

use carawayrun::policy::{
    Arms, DriftDetector, DriftVerdict, Evaluation, Progress, Tally, Verdict, evaluate,
};
use carawayrun::resource::Rollout;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::deployment::Deployment;
use super::report::{Report, Row, Sample};
use super::truth::{exponential, normal};

/// Time between two looks, in seconds: the sums of all gateways are that old.
const LOOK_EVERY: f64 = 2.0;
/// Share of the deployment's requests that the model of a roll-out answers.
const MODEL_SHARE: f64 = 0.25;
/// Bad versions of each seed.
const BAD_RUNS: u64 = 40;
/// Good versions of each seed.
const GOOD_RUNS: u64 = 100;
/// Longest roll-out, in looks: four hours.
const MOST_LOOKS: usize = 7_200;
/// Looks in which a rating may come.
const RATING_LOOKS: usize = 64;
/// Share of answers that are ever rated.
const EVER_RATED: f64 = 0.7;
/// Mean delay of a rating, in seconds.
const RATING_DELAY: f64 = 10.0;
/// Standard deviation of a rating.
const RATING_DEVIATION: f64 = 0.13;
/// Shares of the fixed steps, each held for half an hour.
const FIXED_SHARES: [f64; 4] = [0.05, 0.2, 0.5, 1.0];
/// Length of a fixed step, in seconds.
const FIXED_STEP: f64 = 1_800.0;
/// Answers of the new version that a test with fixed size and the same error
/// rates needs, for a rise of the slow share from 0.05 to 0.1: normal
/// quantiles 2.33 and 1.28, variances 0.0475 and 0.09.
const FIXED_SAMPLE: f64 = 13.0 * (0.0475 + 0.09) / (0.05 * 0.05);
/// Looks at a steady version before it turns bad, at most.
const STEADY_LOOKS: usize = 1_800;

/// True outcomes of a version.
#[derive(Debug, Clone, Copy)]
struct Truth {
    failures: f64,
    slow: f64,
    rating: f64,
}

const OLD: Truth = Truth {
    failures: 0.01,
    slow: 0.05,
    rating: 0.8,
};

pub(crate) fn measure(deployment: Deployment, seeds: u64, report: &mut Report) {
    let rate = (deployment.rate * MODEL_SHARE).min(400.0);
    let mut exposed: [Sample; 3] = Default::default();
    let mut ratios: [Sample; 2] = Default::default();
    let mut missed = 0;
    let mut withdrawn = 0;
    let mut complete = Sample::default();
    for seed in 1..=seeds {
        let bad = bad_runs(rate, seed);
        missed += bad.missed;
        let fixed_steps = FIXED_SHARES.iter().sum::<f64>() * FIXED_STEP * rate;
        let fixed_sample = FIXED_SAMPLE + 3.0 * RATING_DELAY * rate * FIXED_SHARES[0];
        exposed[0].push(bad.exposed);
        exposed[1].push(fixed_steps);
        exposed[2].push(fixed_sample);
        ratios[0].push(bad.exposed / fixed_steps);
        ratios[1].push(bad.exposed / fixed_sample);
        let good = good_runs(rate, seed);
        withdrawn += good.withdrawn;
        complete.push(good.minutes);
    }
    let place = deployment.name;
    let measure = "requests answered by a bad version";
    for (name, sample) in ["judged", "fixed steps", "fixed sample"]
        .iter()
        .zip(&exposed)
    {
        report.push(Row::new(place, measure, name, sample, None));
    }
    report.push(Row::new(
        place,
        "exposure ratio",
        "judged / fixed steps",
        &ratios[0],
        Some(0.1),
    ));
    let third = Some(1.0 / 3.0);
    report.push(Row::new(
        place,
        "exposure ratio",
        "judged / fixed sample",
        &ratios[1],
        third,
    ));
    let share = |count: u64, runs: u64| {
        let mut sample = Sample::default();
        sample.push(count as f64 / (runs * seeds) as f64);
        sample
    };
    let missed = share(missed, BAD_RUNS);
    report.push(Row::new(
        place,
        "bad versions completed, all seeds",
        "judged",
        &missed,
        Some(0.05),
    ));
    let withdrawn = share(withdrawn, GOOD_RUNS);
    report.push(Row::new(
        place,
        "good versions withdrawn, all seeds",
        "judged",
        &withdrawn,
        Some(0.01),
    ));
    report.push(Row::new(
        place,
        "minutes until a good version is on all traffic",
        "judged",
        &complete,
        None,
    ));
    measure_drift(deployment, rate, seeds, report);
}

#[derive(Debug, Default)]
struct BadRuns {
    exposed: f64,
    missed: u64,
}

fn bad_runs(rate: f64, seed: u64) -> BadRuns {
    let mut total = BadRuns::default();
    for number in 0..BAD_RUNS {
        let mut rng = SmallRng::seed_from_u64(seed * 10_000 + number);
        let new = bad_version(&mut rng);
        let (judgement, _) = run(rate, new, &mut rng);
        total.exposed += judgement.exposed / BAD_RUNS as f64;
        total.missed += u64::from(judgement.verdict == Verdict::Complete);
    }
    total
}

#[derive(Debug, Default)]
struct GoodRuns {
    withdrawn: u64,
    minutes: f64,
}

fn good_runs(rate: f64, seed: u64) -> GoodRuns {
    let mut total = GoodRuns::default();
    let mut minutes = Sample::default();
    for number in 0..GOOD_RUNS {
        let mut rng = SmallRng::seed_from_u64(seed * 10_000 + 5_000 + number);
        let new = Truth {
            rating: OLD.rating + rng.random_range(-0.01..0.03),
            ..OLD
        };
        let (judgement, looks) = run(rate, new, &mut rng);
        total.withdrawn += u64::from(judgement.verdict == Verdict::Withdraw);
        minutes.push(looks as f64 * LOOK_EVERY / 60.0);
    }
    total.minutes = minutes.median();
    total
}

fn bad_version(rng: &mut SmallRng) -> Truth {
    match rng.random_range(0..3) {
        0 => Truth {
            failures: OLD.failures + rng.random_range(0.1..0.5),
            ..OLD
        },
        1 => Truth {
            slow: OLD.slow + rng.random_range(0.15..0.5),
            ..OLD
        },
        _ => Truth {
            rating: OLD.rating - rng.random_range(0.1..0.4),
            ..OLD
        },
    }
}

fn rollout() -> Rollout {
    Rollout {
        model: "any".into(),
        from: "old".into(),
        to: "new".into(),
        steps: vec![0.02, 0.1, 0.3],
        max_exposure: 5_000,
        tolerance: 0.05,
        error_rate: 0.01,
        paused: false,
    }
}

// Runs one roll-out; gives the last judgement and the number of looks.
fn run(rate: f64, new: Truth, rng: &mut SmallRng) -> (Evaluation, usize) {
    let rollout = rollout();
    let mut sides = [Side::new(OLD), Side::new(new)];
    let mut progress = Progress::default();
    let mut judgement = evaluate(&Arms::default(), &rollout, &progress);
    let mut share = rollout.steps[0];
    for look in 0..MOST_LOOKS {
        // What is judged now is what all gateways knew one look ago.
        let arms = Arms {
            old: sides[0].tally,
            new: sides[1].tally,
        };
        sides[0].pass(rate * (1.0 - share), rng);
        sides[1].pass(rate * share, rng);
        judgement = evaluate(&arms, &rollout, &progress);
        match judgement.verdict {
            Verdict::Hold => share = rollout.steps[progress.step],
            Verdict::Wait => share = 0.0,
            Verdict::Advance { step } => {
                progress = judgement.progress(step);
                share = rollout.steps[step];
                sides.iter_mut().for_each(Side::restart);
            }
            Verdict::Complete | Verdict::Withdraw => {
                judgement.exposed += sides[1].tally.answered - arms.new.answered;
                return (judgement, look);
            }
        }
    }
    (judgement, MOST_LOOKS)
}

// Traffic of one version with its late ratings.
#[derive(Debug)]
struct Side {
    truth: Truth,
    tally: Tally,
    coming: VecDeque<Tally>,
}

impl Side {
    fn new(truth: Truth) -> Self {
        Self {
            truth,
            tally: Tally::default(),
            coming: VecDeque::from(vec![Tally::default(); RATING_LOOKS]),
        }
    }

    // Sums start again; ratings on their way belong to the new step.
    fn restart(&mut self) {
        self.tally = Tally::default();
    }

    fn pass(&mut self, rate: f64, rng: &mut SmallRng) {
        let due = self.coming.pop_front().unwrap_or_default();
        self.coming.push_back(Tally::default());
        self.tally += &due;
        let expected = rate * LOOK_EVERY;
        let requests = (expected + expected.sqrt() * normal(rng)).max(0.0);
        let whole = requests.floor() as u64 + u64::from(rng.random_bool(requests.fract()));
        for _ in 0..whole {
            self.answer(rng);
        }
    }

    fn answer(&mut self, rng: &mut SmallRng) {
        let failed = rng.random_bool(self.truth.failures);
        self.tally
            .record_answer(failed, rng.random_bool(self.truth.slow));
        if failed || !rng.random_bool(EVER_RATED) {
            return;
        }
        let looks = exponential(RATING_DELAY, rng) / LOOK_EVERY;
        if let Some(due) = self.coming.get_mut(looks as usize) {
            due.record_rating(self.truth.rating + RATING_DEVIATION * normal(rng));
        }
    }
}

fn measure_drift(deployment: Deployment, rate: f64, seeds: u64, report: &mut Report) {
    let mut until_found = Sample::default();
    let mut missed = Sample::default();
    let mut alarms = 0.0;
    for seed in 1..=seeds {
        let mut found = Sample::default();
        let mut unfound = 0.0;
        for number in 0..BAD_RUNS {
            let mut rng = SmallRng::seed_from_u64(seed * 10_000 + 8_000 + number);
            match turn_bad(rate, &mut rng) {
                Turn::Found(requests) => found.push(requests),
                Turn::FalseAlarm => alarms += 1.0,
                Turn::Missed => unfound += 1.0,
            }
        }
        until_found.push(found.mean());
        missed.push(unfound / BAD_RUNS as f64);
    }
    let place = deployment.name;
    let measure = "requests until a version that turned bad is found";
    report.push(Row::new(
        place,
        measure,
        "against its past",
        &until_found,
        None,
    ));
    report.push(Row::new(
        place,
        "turned bad and not found in 10 minutes",
        "against its past",
        &missed,
        None,
    ));
    let mut share = Sample::default();
    share.push(alarms / (BAD_RUNS * seeds) as f64);
    report.push(Row::new(
        place,
        "false alarms before, all seeds",
        "against its past",
        &share,
        Some(0.01),
    ));
}

enum Turn {
    Found(f64),
    FalseAlarm,
    Missed,
}

// A version that is good for a random time and then turns bad.
fn turn_bad(rate: f64, rng: &mut SmallRng) -> Turn {
    const PATIENCE: usize = 300;
    let mut side = Side::new(OLD);
    let mut detector = DriftDetector::default();
    let steady = rng.random_range(STEADY_LOOKS / 4..STEADY_LOOKS);
    let mut requests = 0.0;
    for look in 0..steady + PATIENCE {
        if look == steady {
            let bad = bad_version(rng);
            side.truth = Truth {
                slow: OLD.slow,
                failures: if bad.slow > OLD.slow {
                    OLD.failures + 0.2
                } else {
                    bad.failures
                },
                rating: bad.rating,
            };
        }
        side.restart();
        side.pass(rate, rng);
        if look >= steady {
            requests += side.tally.answered;
        }
        if detector.observe(&side.tally) == DriftVerdict::Worse {
            let lag = rate * LOOK_EVERY;
            return if look < steady {
                Turn::FalseAlarm
            } else {
                Turn::Found(requests + lag)
            };
        }
    }
    Turn::Missed
}
