//! Cost at the quality target, against baselines and an oracle.

use std::collections::BinaryHeap;

use carawayrun::policy::{Estimates, PlanContext, PlanRequest, Pools, Tally, plan};
use carawayrun::resource::{Config, VersionKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::deployment::Deployment;
use super::report::{Report, Row, Sample};
use super::truth::{ANSWER_DEVIATION, Graded, RATING_NOISE, SHARED, Truth, exponential, normal};

/// Time at the start that is learned from and not counted, in seconds.
const WARM_UP: f64 = 3_600.0;
/// Time that is counted, in seconds.
const COUNTED: f64 = 3_600.0;
/// Most requests a second that are simulated; above it a part of them is.
const MOST_RATE: f64 = 100.0;
/// Cost of one rating, in millionths.
const RATING_MICROS: f64 = 30.0;
/// Share of ratings that come while a gate waits.
const RATED_SHARE: f64 = 0.9;
/// Share of answers that are ever rated.
const EVER_RATED: f64 = 0.7;
/// Mean delay of a rating, in seconds.
const RATING_DELAY: f64 = 10.0;
/// Time between two updates of the estimates, in seconds.
const LEARN_EVERY: f64 = 1.0;

/// What a way to answer costs and gives.
#[derive(Debug, Clone, Default)]
struct Outcome {
    cost: f64,
    quality: Vec<f64>,
    requests: Vec<f64>,
}

impl Outcome {
    fn new(tasks: usize) -> Self {
        Self {
            cost: 0.0,
            quality: vec![0.0; tasks],
            requests: vec![0.0; tasks],
        }
    }

    fn add(&mut self, task: usize, quality: f64, cost: f64) {
        self.cost += cost;
        self.quality[task] += quality;
        self.requests[task] += 1.0;
    }

    // Mean quality less the target, for the task where that is least.
    fn margin(&self, truth: &Truth) -> f64 {
        (0..self.quality.len())
            .map(|task| self.quality[task] / self.requests[task] - truth.target(task))
            .fold(f64::MAX, f64::min)
    }
}

/// A fixed way to answer a task: one version, or two with a gate between.
#[derive(Debug, Clone, Copy)]
struct Fixed {
    first: usize,
    second: Option<(usize, f64)>,
}

pub(crate) fn measure(deployment: Deployment, seeds: u64, report: &mut Report) {
    let mut ways: [Sample; 4] = Default::default();
    let mut margins: [Sample; 5] = Default::default();
    for seed in 1..=seeds {
        let world = World::new(deployment, seed);
        let oracle = world.run_fixed(|task| world.oracle(task));
        let runs = [
            world.run_policy(),
            world.run_fixed(|task| single(world.truth.best(task))),
            world.run_fixed(|_| single(0)),
            world.run_fixed(|task| world.naive_cascade(task)),
        ];
        for (index, run) in runs.iter().enumerate() {
            ways[index].push(run.cost / oracle.cost);
            margins[index].push(run.margin(&world.truth));
        }
        margins[4].push(oracle.margin(&world.truth));
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
            &ways[index],
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

fn single(first: usize) -> Fixed {
    Fixed {
        first,
        second: None,
    }
}

struct World {
    deployment: Deployment,
    truth: Truth,
    config: Config,
    keys: Vec<VersionKey>,
    pools: Pools,
    seed: u64,
}

/// A rating on its way.
#[derive(Debug, PartialEq)]
struct Coming {
    time: f64,
    version: usize,
    task: usize,
    rating: f64,
}

impl Eq for Coming {}

impl PartialOrd for Coming {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Coming {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.time.total_cmp(&self.time)
    }
}

impl World {
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
        self.deployment.rate.min(MOST_RATE)
    }

    fn cost(&self, version: usize, task: usize) -> f64 {
        self.deployment.cost(version, &self.deployment.tasks[task])
    }

    // Every request the same way, for each task.
    fn run_fixed(&self, way: impl Fn(usize) -> Fixed) -> Outcome {
        let tasks = self.deployment.tasks.len();
        let ways: Vec<Fixed> = (0..tasks).map(way).collect();
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0xf1);
        let mut outcome = Outcome::new(tasks);
        for _ in 0..(self.rate() * COUNTED) as usize {
            let task = self.draw_task(&mut rng);
            let difficulty = normal(&mut rng);
            let Fixed { first, second } = ways[task];
            let head = self.truth.answer(first, task, difficulty, &mut rng);
            let mut cost = self.cost(first, task);
            let mut quality = head.quality;
            if let Some((second, score)) = second {
                cost += RATING_MICROS;
                let passed = rng.random_bool(RATED_SHARE) && head.rating >= score;
                if !passed {
                    let tail = self.truth.answer(second, task, difficulty, &mut rng);
                    quality = tail.quality;
                    cost += self.cost(second, task);
                }
            }
            outcome.add(task, quality, cost);
        }
        outcome
    }

    // The cheapest version first, the best where its rating misses the target.
    fn naive_cascade(&self, task: usize) -> Fixed {
        let best = self.truth.best(task);
        let second = self.deployment.tasks[task].cascade && best != 0;
        Fixed {
            first: if second { 0 } else { best },
            second: second.then_some((best, self.truth.target(task))),
        }
    }

    // The cheapest single version or pair with any gate that truly meets the target.
    fn oracle(&self, task: usize) -> Fixed {
        let versions = 0..self.deployment.versions;
        let target = self.truth.target(task);
        let mut best = single(self.truth.best(task));
        let mut least = self.cost(best.first, task);
        for first in versions.clone() {
            if self.truth.mean(first, task) >= target && self.cost(first, task) < least {
                best = single(first);
                least = self.cost(first, task);
            }
        }
        if !self.deployment.tasks[task].cascade {
            return best;
        }
        for first in versions.clone() {
            for second in versions.clone().filter(|&second| second != first) {
                if let Some((score, cost)) = self.true_gate(task, first, second)
                    && cost < least
                {
                    least = cost;
                    best = Fixed {
                        first,
                        second: Some((second, score)),
                    };
                }
            }
        }
        best
    }

    // The lowest gate between a pair that truly meets the target, and its cost.
    fn true_gate(&self, task: usize, first: usize, second: usize) -> Option<(f64, f64)> {
        let spread = ANSWER_DEVIATION.hypot(RATING_NOISE);
        let variance = ANSWER_DEVIATION * ANSWER_DEVIATION;
        let gain = variance * (1.0 - SHARED) / spread;
        let (head, tail) = (self.truth.mean(first, task), self.truth.mean(second, task));
        (-30..=30).find_map(|tenth| {
            let gate = f64::from(tenth) / 10.0;
            let pass = RATED_SHARE * (1.0 - below(gate));
            let density = (-0.5 * gate * gate).exp() / std::f64::consts::TAU.sqrt();
            let quality = pass * head + (1.0 - pass) * tail + RATED_SHARE * density * gain;
            let cost =
                self.cost(first, task) + RATING_MICROS + (1.0 - pass) * self.cost(second, task);
            (quality >= self.truth.target(task)).then_some((head + gate * spread, cost))
        })
    }

    fn run_policy(&self) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0xab);
        let mut outcome = Outcome::new(self.deployment.tasks.len());
        let mut estimates = Estimates::default();
        let mut coming = BinaryHeap::new();
        let mut now = 0.0;
        let mut learned = 0.0;
        while now < WARM_UP + COUNTED {
            now += exponential(1.0 / self.rate(), &mut rng);
            if now - learned >= LEARN_EVERY {
                self.learn(&mut estimates, &mut coming, now);
                learned = now;
            }
            let task = self.draw_task(&mut rng);
            let (quality, cost) = self.policy_answer(task, &estimates, now, &mut coming, &mut rng);
            if now >= WARM_UP {
                outcome.add(task, quality, cost);
            }
        }
        outcome
    }

    fn learn(&self, estimates: &mut Estimates, coming: &mut BinaryHeap<Coming>, now: f64) {
        while coming.peek().is_some_and(|rating| rating.time <= now) {
            let Some(rating) = coming.pop() else { return };
            let mut tally = Tally::default();
            tally.record_rating(rating.rating);
            let task = self.deployment.tasks[rating.task].name;
            estimates.record_outcomes(self.keys[rating.version], task, &tally);
        }
    }

    fn policy_answer(
        &self,
        task: usize,
        estimates: &Estimates,
        now: f64,
        coming: &mut BinaryHeap<Coming>,
        rng: &mut SmallRng,
    ) -> (f64, f64) {
        let kind = &self.deployment.tasks[task];
        let ask = PlanRequest {
            team: self.config.teams.key("team").expect("the team exists"),
            service: self.config.services.key("engine").expect("it exists"),
            task: kind.name,
            model: "",
            quality: None,
            budget_ms: 60_000,
            pinned: None,
            stream: !kind.cascade,
            prompt_tokens: kind.prompt,
            cached_tokens: 0,
        };
        let situation = PlanContext {
            config: &self.config,
            estimates,
            pools: &self.pools,
            splits: &[],
            suspended: &[],
            rating_micros: RATING_MICROS,
            rating_ms: 500.0,
            rated_share: RATED_SHARE,
        };
        let planned = plan(&ask, &situation, rng).expect("every version is usable");
        let difficulty = normal(rng);
        let mut cost = 0.0;
        let mut quality = 0.0;
        for step in &planned.steps {
            let version = self.index(step.version);
            let mut graded = self.truth.answer(version, task, difficulty, rng);
            cost += self.cost(version, task);
            quality = graded.quality;
            graded.rating += step.rating_shift;
            let Some(gate) = step.gate else {
                self.rate_later(version, task, graded, now, coming, rng);
                break;
            };
            cost += RATING_MICROS;
            let rated = rng.random_bool(RATED_SHARE);
            if rated {
                coming.push(self.rating(version, task, graded, now));
            }
            if rated && graded.rating >= gate.score {
                break;
            }
        }
        (quality, cost)
    }

    fn index(&self, key: VersionKey) -> usize {
        let known = self.keys.iter().position(|other| *other == key);
        known.expect("plans hold versions of the deployment")
    }

    fn rate_later(
        &self,
        version: usize,
        task: usize,
        graded: Graded,
        now: f64,
        coming: &mut BinaryHeap<Coming>,
        rng: &mut SmallRng,
    ) {
        if rng.random_bool(EVER_RATED) {
            let time = now + exponential(RATING_DELAY, rng);
            coming.push(self.rating(version, task, graded, time));
        }
    }

    fn rating(&self, version: usize, task: usize, graded: Graded, time: f64) -> Coming {
        debug_assert!(version < self.deployment.versions);
        Coming {
            time,
            version,
            task,
            rating: graded.rating,
        }
    }
}

// Chance that a standard normal value is below `z`, by the error function's
// series of Abramowitz and Stegun (1964), 7.1.26.
fn below(z: f64) -> f64 {
    let x = z.abs() / std::f64::consts::SQRT_2;
    let t = 1.0 / (1.0 + 0.327_591_1 * x);
    let series = t
        * (0.254_829_592
            + t * (-0.284_496_736
                + t * (1.421_413_741 + t * (-1.453_152_027 + t * 1.061_405_429))));
    let erf = 1.0 - series * (-x * x).exp();
    0.5 * (1.0 + erf.copysign(z))
}
