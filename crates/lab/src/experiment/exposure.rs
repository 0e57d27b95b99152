//! Exposure to bad versions: evaluated roll-outs against fixed steps and a
//! fixed-sample test, and drift of a version without a roll-out.

use std::collections::VecDeque;

use carawayrun::policy::{
    Arms, DriftDetector, DriftVerdict, Evaluation, Progress, Tally, Verdict, evaluate,
};
use carawayrun::resource::Rollout;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::deployment::Deployment;
use super::report::{Report, Row, Sample};
use super::truth::{sample_exponential, sample_normal};

/// Time between two evaluations, in seconds. Also the age of the sums of all
/// gateways when they are evaluated.
const EVALUATION_INTERVAL_SECONDS: f64 = 2.0;
/// Share of the deployment's requests that go to the model of the roll-out.
const MODEL_SHARE: f64 = 0.25;
/// Roll-outs of a bad version per seed.
const BAD_RUNS: u64 = 40;
/// Roll-outs of a good version per seed.
const GOOD_RUNS: u64 = 100;
/// Longest roll-out, in evaluation intervals (four hours).
const MAX_INTERVALS: usize = 7_200;
/// Evaluation intervals after which a rating that has not arrived is dropped.
const MAX_RATING_DELAY_INTERVALS: usize = 64;
/// Share of successful answers that get a rating.
const RATED_ANSWER_SHARE: f64 = 0.7;
/// Mean delay of a rating, in seconds.
const MEAN_RATING_DELAY_SECONDS: f64 = 10.0;
/// Standard deviation of ratings.
const RATING_DEVIATION: f64 = 0.13;
/// Traffic shares of the fixed steps, each kept for `FIXED_STEP_SECONDS`.
const FIXED_SHARES: [f64; 4] = [0.05, 0.2, 0.5, 1.0];
/// Duration of a fixed step, in seconds.
const FIXED_STEP_SECONDS: f64 = 1_800.0;
/// Answers of the new version that a fixed-sample test with the same error
/// rates needs to detect a rise of the slow share from 0.05 to 0.1. The normal
/// quantiles are 2.33 and 1.28, the variances 0.0475 and 0.09.
const FIXED_SAMPLE_ANSWERS: f64 = 13.0 * (0.0475 + 0.09) / (0.05 * 0.05);
/// Most evaluation intervals before a steady version degrades.
const MAX_STEADY_INTERVALS: usize = 1_800;

/// Actual outcome rates and mean rating of a version, hidden from the policy.
#[derive(Debug, Clone, Copy)]
struct TrueOutcomes {
    failure_rate: f64,
    slow_rate: f64,
    mean_rating: f64,
}

const OLD_VERSION: TrueOutcomes = TrueOutcomes {
    failure_rate: 0.01,
    slow_rate: 0.05,
    mean_rating: 0.8,
};

/// Measures the exposure to bad versions and adds the rows to `report`.
pub(crate) fn measure(deployment: Deployment, seeds: u64, report: &mut Report) {
    let rate = (deployment.rate * MODEL_SHARE).min(400.0);
    let mut exposed: [Sample; 3] = Default::default();
    let mut ratios: [Sample; 2] = Default::default();
    let mut missed = 0;
    let mut withdrawn = 0;
    let mut completion_minutes = Sample::default();
    for seed in 1..=seeds {
        let bad = simulate_bad_runs(rate, seed);
        missed += bad.missed;
        let fixed_steps = FIXED_SHARES.iter().sum::<f64>() * FIXED_STEP_SECONDS * rate;
        let fixed_sample =
            FIXED_SAMPLE_ANSWERS + 3.0 * MEAN_RATING_DELAY_SECONDS * rate * FIXED_SHARES[0];
        exposed[0].push(bad.exposed);
        exposed[1].push(fixed_steps);
        exposed[2].push(fixed_sample);
        ratios[0].push(bad.exposed / fixed_steps);
        ratios[1].push(bad.exposed / fixed_sample);
        let good = simulate_good_runs(rate, seed);
        withdrawn += good.withdrawn;
        completion_minutes.push(good.minutes);
    }
    let deployment_name = deployment.name;
    let measure = "requests answered by a bad version";
    for (name, sample) in ["judged", "fixed steps", "fixed sample"]
        .iter()
        .zip(&exposed)
    {
        report.push(Row::new(deployment_name, measure, name, sample, None));
    }
    report.push(Row::new(
        deployment_name,
        "exposure ratio",
        "judged / fixed steps",
        &ratios[0],
        Some(0.1),
    ));
    let max_ratio = Some(1.0 / 3.0);
    report.push(Row::new(
        deployment_name,
        "exposure ratio",
        "judged / fixed sample",
        &ratios[1],
        max_ratio,
    ));
    let share = |count: u64, runs: u64| {
        let mut sample = Sample::default();
        sample.push(count as f64 / (runs * seeds) as f64);
        sample
    };
    let missed = share(missed, BAD_RUNS);
    report.push(Row::new(
        deployment_name,
        "bad versions completed, all seeds",
        "judged",
        &missed,
        Some(0.05),
    ));
    let withdrawn = share(withdrawn, GOOD_RUNS);
    report.push(Row::new(
        deployment_name,
        "good versions withdrawn, all seeds",
        "judged",
        &withdrawn,
        Some(0.01),
    ));
    report.push(Row::new(
        deployment_name,
        "minutes until a good version is on all traffic",
        "judged",
        &completion_minutes,
        None,
    ));
    measure_drift(deployment, rate, seeds, report);
}

/// Results of the roll-outs of bad versions of one seed.
#[derive(Debug, Default)]
struct BadRuns {
    /// Mean number of requests per roll-out that the bad version answered.
    exposed: f64,
    /// Roll-outs that completed.
    missed: u64,
}

fn simulate_bad_runs(rate: f64, seed: u64) -> BadRuns {
    let mut total = BadRuns::default();
    for number in 0..BAD_RUNS {
        let mut rng = SmallRng::seed_from_u64(seed * 10_000 + number);
        let new = draw_bad_version(&mut rng);
        let (evaluation, _) = simulate_rollout(rate, new, &mut rng);
        total.exposed += evaluation.exposed / BAD_RUNS as f64;
        total.missed += u64::from(evaluation.verdict == Verdict::Complete);
    }
    total
}

/// Results of the roll-outs of good versions of one seed.
#[derive(Debug, Default)]
struct GoodRuns {
    withdrawn: u64,
    /// Median time until a roll-out ended, in minutes.
    minutes: f64,
}

fn simulate_good_runs(rate: f64, seed: u64) -> GoodRuns {
    let mut total = GoodRuns::default();
    let mut minutes = Sample::default();
    for number in 0..GOOD_RUNS {
        let mut rng = SmallRng::seed_from_u64(seed * 10_000 + 5_000 + number);
        let new = TrueOutcomes {
            mean_rating: OLD_VERSION.mean_rating + rng.random_range(-0.01..0.03),
            ..OLD_VERSION
        };
        let (evaluation, intervals) = simulate_rollout(rate, new, &mut rng);
        total.withdrawn += u64::from(evaluation.verdict == Verdict::Withdraw);
        minutes.push(intervals as f64 * EVALUATION_INTERVAL_SECONDS / 60.0);
    }
    total.minutes = minutes.median();
    total
}

fn draw_bad_version(rng: &mut SmallRng) -> TrueOutcomes {
    match rng.random_range(0..3) {
        0 => TrueOutcomes {
            failure_rate: OLD_VERSION.failure_rate + rng.random_range(0.1..0.5),
            ..OLD_VERSION
        },
        1 => TrueOutcomes {
            slow_rate: OLD_VERSION.slow_rate + rng.random_range(0.15..0.5),
            ..OLD_VERSION
        },
        _ => TrueOutcomes {
            mean_rating: OLD_VERSION.mean_rating - rng.random_range(0.1..0.4),
            ..OLD_VERSION
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

// Simulates one roll-out and returns its last evaluation and the number of
// evaluation intervals that it took.
fn simulate_rollout(rate: f64, new: TrueOutcomes, rng: &mut SmallRng) -> (Evaluation, usize) {
    let rollout = rollout();
    let mut traffic = [VersionTraffic::new(OLD_VERSION), VersionTraffic::new(new)];
    let mut progress = Progress::default();
    let mut evaluation = evaluate(&Arms::default(), &rollout, &progress);
    let mut share = rollout.steps[0];
    for interval in 0..MAX_INTERVALS {
        // The evaluation uses the sums of the gateways of one interval ago.
        let arms = Arms {
            old: traffic[0].tally,
            new: traffic[1].tally,
        };
        traffic[0].simulate_interval(rate * (1.0 - share), rng);
        traffic[1].simulate_interval(rate * share, rng);
        evaluation = evaluate(&arms, &rollout, &progress);
        match evaluation.verdict {
            Verdict::Hold => share = rollout.steps[progress.step],
            Verdict::Wait => share = 0.0,
            Verdict::Advance { step } => {
                progress = evaluation.progress(step);
                share = rollout.steps[step];
                traffic.iter_mut().for_each(VersionTraffic::reset_tally);
            }
            Verdict::Complete | Verdict::Withdraw => {
                evaluation.exposed += traffic[1].tally.answered - arms.new.answered;
                return (evaluation, interval);
            }
        }
    }
    (evaluation, MAX_INTERVALS)
}

// Tally of one version and the ratings that have not arrived yet, by the
// interval of their arrival.
#[derive(Debug)]
struct VersionTraffic {
    outcomes: TrueOutcomes,
    tally: Tally,
    pending_ratings: VecDeque<Tally>,
}

impl VersionTraffic {
    fn new(outcomes: TrueOutcomes) -> Self {
        Self {
            outcomes,
            tally: Tally::default(),
            pending_ratings: VecDeque::from(vec![Tally::default(); MAX_RATING_DELAY_INTERVALS]),
        }
    }

    // Resets the sums for a new step. Pending ratings count for the new step.
    fn reset_tally(&mut self) {
        self.tally = Tally::default();
    }

    fn simulate_interval(&mut self, rate: f64, rng: &mut SmallRng) {
        let due_ratings = self.pending_ratings.pop_front().unwrap_or_default();
        self.pending_ratings.push_back(Tally::default());
        self.tally += &due_ratings;
        let expected = rate * EVALUATION_INTERVAL_SECONDS;
        let requests = (expected + expected.sqrt() * sample_normal(rng)).max(0.0);
        let request_count = requests.floor() as u64 + u64::from(rng.random_bool(requests.fract()));
        for _ in 0..request_count {
            self.simulate_answer(rng);
        }
    }

    fn simulate_answer(&mut self, rng: &mut SmallRng) {
        let failed = rng.random_bool(self.outcomes.failure_rate);
        self.tally
            .record_answer(failed, rng.random_bool(self.outcomes.slow_rate));
        if failed || !rng.random_bool(RATED_ANSWER_SHARE) {
            return;
        }
        let intervals =
            sample_exponential(MEAN_RATING_DELAY_SECONDS, rng) / EVALUATION_INTERVAL_SECONDS;
        if let Some(due_ratings) = self.pending_ratings.get_mut(intervals as usize) {
            due_ratings
                .record_rating(self.outcomes.mean_rating + RATING_DEVIATION * sample_normal(rng));
        }
    }
}

// Measures how soon a version that degrades without a roll-out is detected.
fn measure_drift(deployment: Deployment, rate: f64, seeds: u64, report: &mut Report) {
    let mut detection_requests = Sample::default();
    let mut missed = Sample::default();
    let mut false_alarms = 0.0;
    for seed in 1..=seeds {
        let mut detected = Sample::default();
        let mut missed_runs = 0.0;
        for number in 0..BAD_RUNS {
            let mut rng = SmallRng::seed_from_u64(seed * 10_000 + 8_000 + number);
            match simulate_drift(rate, &mut rng) {
                DriftOutcome::Detected(requests) => detected.push(requests),
                DriftOutcome::FalseAlarm => false_alarms += 1.0,
                DriftOutcome::Missed => missed_runs += 1.0,
            }
        }
        detection_requests.push(detected.mean());
        missed.push(missed_runs / BAD_RUNS as f64);
    }
    let deployment_name = deployment.name;
    let measure = "requests until a version that turned bad is found";
    report.push(Row::new(
        deployment_name,
        measure,
        "against its past",
        &detection_requests,
        None,
    ));
    report.push(Row::new(
        deployment_name,
        "turned bad and not found in 10 minutes",
        "against its past",
        &missed,
        None,
    ));
    let mut share = Sample::default();
    share.push(false_alarms / (BAD_RUNS * seeds) as f64);
    report.push(Row::new(
        deployment_name,
        "false alarms before, all seeds",
        "against its past",
        &share,
        Some(0.01),
    ));
}

/// Result of one simulated degradation.
enum DriftOutcome {
    /// Detected after this many requests to the degraded version.
    Detected(f64),
    /// Reported before the version degraded.
    FalseAlarm,
    Missed,
}

// Simulates a version that is good for a random time and then degrades. The
// detector has 300 intervals (10 minutes) to detect it.
fn simulate_drift(rate: f64, rng: &mut SmallRng) -> DriftOutcome {
    const DETECTION_INTERVALS: usize = 300;
    let mut traffic = VersionTraffic::new(OLD_VERSION);
    let mut detector = DriftDetector::default();
    let steady_intervals = rng.random_range(MAX_STEADY_INTERVALS / 4..MAX_STEADY_INTERVALS);
    let mut requests = 0.0;
    for interval in 0..steady_intervals + DETECTION_INTERVALS {
        if interval == steady_intervals {
            let bad = draw_bad_version(rng);
            traffic.outcomes = TrueOutcomes {
                slow_rate: OLD_VERSION.slow_rate,
                failure_rate: if bad.slow_rate > OLD_VERSION.slow_rate {
                    OLD_VERSION.failure_rate + 0.2
                } else {
                    bad.failure_rate
                },
                mean_rating: bad.mean_rating,
            };
        }
        traffic.reset_tally();
        traffic.simulate_interval(rate, rng);
        if interval >= steady_intervals {
            requests += traffic.tally.answered;
        }
        if detector.observe(&traffic.tally) == DriftVerdict::Worse {
            let report_delay_requests = rate * EVALUATION_INTERVAL_SECONDS;
            return if interval < steady_intervals {
                DriftOutcome::FalseAlarm
            } else {
                DriftOutcome::Detected(requests + report_delay_requests)
            };
        }
    }
    DriftOutcome::Missed
}
