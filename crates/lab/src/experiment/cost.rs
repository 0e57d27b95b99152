//! Cost of the policy at the quality target, against baselines and an oracle.

use std::collections::BinaryHeap;

use carawayrun::policy::{Estimates, PlanContext, PlanRequest, Pools, Tally, plan};
use carawayrun::resource::{Config, VersionKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::deployment::Deployment;
use super::report::{Report, Row, Sample};
use super::truth::{
    ANSWER_DEVIATION, RATING_NOISE, RatedAnswer, SHARED_VARIANCE, Truth, sample_exponential,
    sample_normal,
};

/// Time at the start of a run that trains the estimates and is not measured, in
/// seconds.
const WARM_UP_SECONDS: f64 = 3_600.0;
/// Measured time after the warm-up, in seconds.
const MEASURED_SECONDS: f64 = 3_600.0;
/// Most simulated requests per second; of a higher rate only a part is simulated.
const MAX_REQUEST_RATE: f64 = 100.0;
/// Cost of one rating, in millionths.
const RATING_COST_MICROS: f64 = 30.0;
/// Share of ratings that arrive while a gate waits for them.
const GATE_RATING_SHARE: f64 = 0.9;
/// Share of the answers without a gate that get a rating.
const RATED_ANSWER_SHARE: f64 = 0.7;
/// Mean delay of a rating, in seconds.
const MEAN_RATING_DELAY_SECONDS: f64 = 10.0;
/// Time between two updates of the estimates, in seconds.
const UPDATE_INTERVAL_SECONDS: f64 = 1.0;

/// Total cost, and quality and requests by task, of a run.
#[derive(Debug, Clone, Default)]
struct RunTotals {
    cost: f64,
    quality: Vec<f64>,
    requests: Vec<f64>,
}

impl RunTotals {
    fn new(tasks: usize) -> Self {
        Self {
            cost: 0.0,
            quality: vec![0.0; tasks],
            requests: vec![0.0; tasks],
        }
    }

    fn record_answer(&mut self, task: usize, quality: f64, cost: f64) {
        self.cost += cost;
        self.quality[task] += quality;
        self.requests[task] += 1.0;
    }

    // Smallest difference over the tasks between mean quality and target.
    fn worst_margin(&self, truth: &Truth) -> f64 {
        (0..self.quality.len())
            .map(|task| self.quality[task] / self.requests[task] - truth.target(task))
            .fold(f64::MAX, f64::min)
    }
}

/// Fixed plan for a task: one version, or two with a gate between them. The
/// second answers if the first one's rating is below the score or missing.
#[derive(Debug, Clone, Copy)]
struct FixedStrategy {
    first: usize,
    second: Option<(usize, f64)>,
}

/// Measures costs and quality margins and adds the rows to `report`.
pub(crate) fn measure(deployment: Deployment, seeds: u64, report: &mut Report) {
    let mut methods: [Sample; 4] = Default::default();
    let mut margins: [Sample; 5] = Default::default();
    for seed in 1..=seeds {
        let simulation = Simulation::new(deployment, seed);
        let oracle_run = simulation.run_strategy(|task| simulation.oracle_strategy(task));
        let runs = [
            simulation.run_policy(),
            simulation.run_strategy(|task| single_version(simulation.truth.best_version(task))),
            simulation.run_strategy(|_| single_version(0)),
            simulation.run_strategy(|task| simulation.naive_cascade(task)),
        ];
        for (index, run) in runs.iter().enumerate() {
            methods[index].push(run.cost / oracle_run.cost);
            margins[index].push(run.worst_margin(&simulation.truth));
        }
        margins[4].push(oracle_run.worst_margin(&simulation.truth));
    }
    let names = [
        "policy",
        "best version always",
        "cheapest alone",
        "fixed cascade",
    ];
    for (index, name) in names.iter().enumerate() {
        let target = (index == 0).then_some(1.1);
        report.push(Row::new(
            deployment.name,
            "cost / oracle",
            name,
            &methods[index],
            target,
        ));
    }
    let names = [
        "policy",
        "best version always",
        "cheapest alone",
        "fixed cascade",
        "oracle",
    ];
    for (index, name) in names.iter().enumerate() {
        let row = Row::new(
            deployment.name,
            "quality - target, worst task",
            name,
            &margins[index],
            None,
        );
        report.push(if index == 0 { row.at_least(0.0) } else { row });
    }
}

fn single_version(first: usize) -> FixedStrategy {
    FixedStrategy {
        first,
        second: None,
    }
}

struct Simulation {
    deployment: Deployment,
    truth: Truth,
    config: Config,
    keys: Vec<VersionKey>,
    pools: Pools,
    seed: u64,
}

/// A rating that arrives at `time`. The order is reversed, so that a heap yields
/// the earliest.
#[derive(Debug, PartialEq)]
struct PendingRating {
    time: f64,
    version: usize,
    task: usize,
    rating: f64,
}

impl Eq for PendingRating {}

impl PartialOrd for PendingRating {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingRating {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.time.total_cmp(&self.time)
    }
}

impl Simulation {
    fn new(deployment: Deployment, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let truth = Truth::draw(&deployment, &mut rng);
        let config = deployment.config(&truth);
        let keys = (0..deployment.versions)
            .filter_map(|index| config.versions.key(&Deployment::version_name(index)))
            .collect();
        let pools = Deployment::pools(&config);
        Self {
            deployment,
            truth,
            config,
            keys,
            pools,
            seed,
        }
    }

    fn draw_task(&self, rng: &mut SmallRng) -> usize {
        let mut left = rng.random::<f64>();
        for (index, task) in self.deployment.tasks.iter().enumerate() {
            left -= task.share;
            if left <= 0.0 {
                return index;
            }
        }
        self.deployment.tasks.len() - 1
    }

    fn rate(&self) -> f64 {
        self.deployment.rate.min(MAX_REQUEST_RATE)
    }

    fn cost(&self, version: usize, task: usize) -> f64 {
        self.deployment.cost(version, &self.deployment.tasks[task])
    }

    // Answers every request by its task's fixed strategy.
    fn run_strategy(&self, strategy: impl Fn(usize) -> FixedStrategy) -> RunTotals {
        let tasks = self.deployment.tasks.len();
        let strategies: Vec<FixedStrategy> = (0..tasks).map(strategy).collect();
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0xf1);
        let mut totals = RunTotals::new(tasks);
        for _ in 0..(self.rate() * MEASURED_SECONDS) as usize {
            let task = self.draw_task(&mut rng);
            let difficulty = sample_normal(&mut rng);
            let FixedStrategy { first, second } = strategies[task];
            let first_answer = self.truth.answer(first, task, difficulty, &mut rng);
            let mut cost = self.cost(first, task);
            let mut quality = first_answer.quality;
            if let Some((second, score)) = second {
                cost += RATING_COST_MICROS;
                let passed = rng.random_bool(GATE_RATING_SHARE) && first_answer.rating >= score;
                if !passed {
                    let second_answer = self.truth.answer(second, task, difficulty, &mut rng);
                    quality = second_answer.quality;
                    cost += self.cost(second, task);
                }
            }
            totals.record_answer(task, quality, cost);
        }
        totals
    }

    // The cheapest version first, then the best one if the rating is below the
    // target.
    fn naive_cascade(&self, task: usize) -> FixedStrategy {
        let best = self.truth.best_version(task);
        let second = self.deployment.tasks[task].cascade && best != 0;
        FixedStrategy {
            first: if second { 0 } else { best },
            second: second.then_some((best, self.truth.target(task))),
        }
    }

    // The cheapest single version, or pair with a gate, whose true mean quality
    // meets the target.
    fn oracle_strategy(&self, task: usize) -> FixedStrategy {
        let versions = 0..self.deployment.versions;
        let target = self.truth.target(task);
        let mut best = single_version(self.truth.best_version(task));
        let mut least_cost = self.cost(best.first, task);
        for first in versions.clone() {
            if self.truth.mean(first, task) >= target && self.cost(first, task) < least_cost {
                best = single_version(first);
                least_cost = self.cost(first, task);
            }
        }
        if !self.deployment.tasks[task].cascade {
            return best;
        }
        for first in versions.clone() {
            for second in versions.clone().filter(|&second| second != first) {
                if let Some((score, cost)) = self.lowest_sufficient_gate(task, first, second)
                    && cost < least_cost
                {
                    least_cost = cost;
                    best = FixedStrategy {
                        first,
                        second: Some((second, score)),
                    };
                }
            }
        }
        best
    }

    // The lowest gate score at which the pair's true mean quality meets the target,
    // and the cost of the pair.
    fn lowest_sufficient_gate(
        &self,
        task: usize,
        first: usize,
        second: usize,
    ) -> Option<(f64, f64)> {
        let spread = ANSWER_DEVIATION.hypot(RATING_NOISE);
        let variance = ANSWER_DEVIATION * ANSWER_DEVIATION;
        let gain = variance * (1.0 - SHARED_VARIANCE) / spread;
        let (first_mean, second_mean) =
            (self.truth.mean(first, task), self.truth.mean(second, task));
        (-30..=30).find_map(|tenth| {
            let gate = f64::from(tenth) / 10.0;
            let pass = GATE_RATING_SHARE * (1.0 - normal_cdf(gate));
            let density = (-0.5 * gate * gate).exp() / std::f64::consts::TAU.sqrt();
            let quality =
                pass * first_mean + (1.0 - pass) * second_mean + GATE_RATING_SHARE * density * gain;
            let cost = self.cost(first, task)
                + RATING_COST_MICROS
                + (1.0 - pass) * self.cost(second, task);
            (quality >= self.truth.target(task)).then_some((first_mean + gate * spread, cost))
        })
    }

    fn run_policy(&self) -> RunTotals {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0xab);
        let mut totals = RunTotals::new(self.deployment.tasks.len());
        let mut estimates = Estimates::default();
        let mut pending = BinaryHeap::new();
        let mut now = 0.0;
        let mut last_update = 0.0;
        while now < WARM_UP_SECONDS + MEASURED_SECONDS {
            now += sample_exponential(1.0 / self.rate(), &mut rng);
            if now - last_update >= UPDATE_INTERVAL_SECONDS {
                self.apply_due_ratings(&mut estimates, &mut pending, now);
                last_update = now;
            }
            let task = self.draw_task(&mut rng);
            let (quality, cost) =
                self.answer_with_policy(task, &estimates, now, &mut pending, &mut rng);
            if now >= WARM_UP_SECONDS {
                totals.record_answer(task, quality, cost);
            }
        }
        totals
    }

    // Adds the ratings that have arrived by `now` to the estimates.
    fn apply_due_ratings(
        &self,
        estimates: &mut Estimates,
        pending: &mut BinaryHeap<PendingRating>,
        now: f64,
    ) {
        while pending.peek().is_some_and(|rating| rating.time <= now) {
            let Some(rating) = pending.pop() else { return };
            let mut tally = Tally::default();
            tally.record_rating(rating.rating);
            let task = self.deployment.tasks[rating.task].name;
            estimates.record_outcomes(self.keys[rating.version], task, &tally);
        }
    }

    // Answers a request by the policy's plan and returns its quality and cost.
    fn answer_with_policy(
        &self,
        task: usize,
        estimates: &Estimates,
        now: f64,
        pending: &mut BinaryHeap<PendingRating>,
        rng: &mut SmallRng,
    ) -> (f64, f64) {
        let kind = &self.deployment.tasks[task];
        let request = PlanRequest {
            team: self.config.teams.key("team").expect("the team exists"),
            service: self.config.services.key("engine").expect("it exists"),
            task: kind.name,
            model: "",
            quality: None,
            budget_ms: 60_000,
            pinned: None,
            stream: !kind.cascade,
            prompt_tokens: kind.prompt_tokens,
            cached_tokens: 0,
        };
        let context = PlanContext {
            config: &self.config,
            estimates,
            pools: &self.pools,
            splits: &[],
            suspended: &[],
            rating_micros: RATING_COST_MICROS,
            rating_ms: 500.0,
            rated_share: GATE_RATING_SHARE,
        };
        let planned = plan(&request, &context, rng).expect("every version is usable");
        let difficulty = sample_normal(rng);
        let mut cost = 0.0;
        let mut quality = 0.0;
        for step in &planned.steps {
            let version = self.version_index(step.version);
            let mut answer = self.truth.answer(version, task, difficulty, rng);
            cost += self.cost(version, task);
            quality = answer.quality;
            answer.rating += step.rating_shift;
            let Some(gate) = step.gate else {
                self.schedule_rating(version, task, answer, now, pending, rng);
                break;
            };
            cost += RATING_COST_MICROS;
            let rated = rng.random_bool(GATE_RATING_SHARE);
            if rated {
                pending.push(self.pending_rating(version, task, answer, now));
            }
            if rated && answer.rating >= gate.score {
                break;
            }
        }
        (quality, cost)
    }

    fn version_index(&self, key: VersionKey) -> usize {
        let known = self.keys.iter().position(|other| *other == key);
        known.expect("plans hold versions of the deployment")
    }

    fn schedule_rating(
        &self,
        version: usize,
        task: usize,
        answer: RatedAnswer,
        now: f64,
        pending: &mut BinaryHeap<PendingRating>,
        rng: &mut SmallRng,
    ) {
        if rng.random_bool(RATED_ANSWER_SHARE) {
            let time = now + sample_exponential(MEAN_RATING_DELAY_SECONDS, rng);
            pending.push(self.pending_rating(version, task, answer, time));
        }
    }

    fn pending_rating(
        &self,
        version: usize,
        task: usize,
        answer: RatedAnswer,
        time: f64,
    ) -> PendingRating {
        debug_assert!(version < self.deployment.versions);
        PendingRating {
            time,
            version,
            task,
            rating: answer.rating,
        }
    }
}

// Probability that a standard normal value is below `z`, by the approximation of
// the error function in Abramowitz and Stegun (1964), 7.1.26.
fn normal_cdf(z: f64) -> f64 {
    let x = z.abs() / std::f64::consts::SQRT_2;
    let t = 1.0 / (1.0 + 0.327_591_1 * x);
    let series = t
        * (0.254_829_592
            + t * (-0.284_496_736
                + t * (1.421_413_741 + t * (-1.453_152_027 + t * 1.061_405_429))));
    let erf = 1.0 - series * (-x * x).exp();
    0.5 * (1.0 + erf.copysign(z))
}
