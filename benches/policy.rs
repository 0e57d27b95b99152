//! Benchmarks of planning a request, picking an upstream and building pools.

use std::fmt::Write;
use std::hint::black_box;

use carawayrun::policy::{
    Ejection, Estimates, InFlightCounts, PickRequest, PlanContext, PlanRequest, Pool, Pools, Tally,
    UpstreamCandidate, plan,
};
use carawayrun::resource::{Config, Resource, parse_manifests};
use criterion::{BenchmarkId, Criterion, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const VERSIONS: usize = 13;
const DATA_CENTRES: [&str; 5] = ["recife", "natal", "olinda", "vacoas", "curepipe"];

mod group {

    criterion::criterion_group!(benches, super::decide_request, super::build_pools);
}

criterion_main!(group::benches);

fn decide_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for upstreams in [10, 100, 600] {
        let world = World::new(upstreams);
        for task in ["plan", "note"] {
            let id = BenchmarkId::new(task, upstreams);
            group.bench_function(id, |bencher| {
                let mut rng = SmallRng::seed_from_u64(7);
                bencher.iter(|| black_box(world.decide(black_box(task), &mut rng)));
            });
        }
    }
    group.finish();
}

// Cost that a new view causes on each traffic thread.
fn build_pools(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pools");
    for upstreams in [10, 100, 600] {
        let world = World::new(upstreams);
        let candidates = candidates(&world.config);
        group.bench_function(BenchmarkId::new("build", upstreams), |bencher| {
            bencher.iter(|| Pools::build(black_box(candidates.iter().cloned())));
        });
    }
    group.finish();
}

struct World {
    config: Config,
    estimates: Estimates,
    pools: Pools,
    in_flight: InFlightCounts,
    ejection: Ejection,
}

impl World {
    fn new(upstreams: usize) -> Self {
        let text = manifests(upstreams);
        let resources: Vec<Resource> = parse_manifests(&text).expect("manifests are well-formed");
        let config = Config::empty()
            .with_resources(1, &resources)
            .expect("manifests refer to each other");
        let pools = Pools::build(candidates(&config));
        let estimates = recorded_estimates(&config);
        let mut in_flight = InFlightCounts::default();
        in_flight.update_upstreams(&pools, 0);
        Self {
            config,
            estimates,
            pools,
            in_flight,
            ejection: Ejection::default(),
        }
    }

    fn decide(&self, task: &str, rng: &mut SmallRng) -> usize {
        let request = PlanRequest {
            team: self.config.teams.key("estate").expect("team exists"),
            service: self.config.services.key("advisor").expect("service exists"),
            task,
            model: "",
            quality: None,
            budget_ms: 20_000,
            pinned: None,
            stream: task == "plan",
            prompt_tokens: 1_500,
            cached_tokens: 800,
        };
        let context = PlanContext {
            config: &self.config,
            estimates: &self.estimates,
            pools: &self.pools,
            splits: &[],
            suspended: &[],
            rating_micros: 5.0,
            rating_ms: 500.0,
            rated_share: 0.9,
        };
        let plan = plan(&request, &context, rng).expect("a version is usable");
        let pick_request = PickRequest {
            pool: Pool::Version(plan.steps[0].version),
            data_centre: DATA_CENTRES[0],
            prefix: 77,
            budget_ms: 2_000,
            now_ms: 60_000,
            urgent: true,
            tried: &[],
        };
        let pick = self
            .pools
            .pick(&pick_request, &self.in_flight, &self.ejection, rng)
            .expect("the pool has upstreams");
        pick.agent
    }
}

fn recorded_estimates(config: &Config) -> Estimates {
    let mut estimates = Estimates::default();
    for (key, _) in config.versions.iter() {
        for task in ["plan", "note"] {
            let mut tally = Tally::default();
            for number in 0..200 {
                tally.record_answer(false, false);
                tally.record_measurements(300, 4_000, 350);
                tally.record_rating(0.6 + 0.002 * f64::from(number % 100));
            }
            estimates.record_outcomes(key, task, &tally);
        }
    }
    estimates
}

fn candidates(config: &Config) -> Vec<UpstreamCandidate> {
    let versions: Vec<Pool> = config
        .versions
        .iter()
        .map(|(key, _)| Pool::Version(key))
        .collect();
    config
        .upstreams
        .iter()
        .enumerate()
        .map(|(agent, (key, upstream))| UpstreamCandidate {
            agent,
            upstream: key,
            data_centre: upstream.spec.data_centre.clone(),
            slots: upstream.spec.slots,
            running: (agent % 7) as u32,
            queued: 0,
            wait_ms: 0,
            report_ms: 59_000,
            pools: versions.clone(),
        })
        .collect()
}

fn manifests(upstreams: usize) -> String {
    let names: Vec<String> = (0..VERSIONS).map(|number| format!("v{number}")).collect();
    let versions = names.join(", ");
    let mut text = String::from(
        "apiVersion: carawayrun/v1\nkind: Service\nmetadata: {name: advisor}\nspec:\n  \
         backend: engine\n  tasks:\n  \
         - {name: plan, class: interactive, quality: 0.8, latencyMs: 2000}\n  \
         - {name: note, class: batch, quality: 0.8, latencyMs: 20000, cascade: true}\n",
    );
    for (number, name) in names.iter().enumerate() {
        let price = 10 + 15 * number;
        let quality = 0.5 + 0.035 * number as f64;
        write!(
            text,
            "---\napiVersion: carawayrun/v1\nkind: Version\nmetadata: {{name: {name}}}\nspec: \
             {{model: lathe, service: advisor, price: {{prompt: {price}, cached: 1, completion: \
             {price}}}, quality: {{plan: {quality}, note: {quality}}}, latencyMs: 300}}\n"
        )
        .expect("a String takes all text");
    }
    for number in 0..upstreams {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        write!(
            text,
            "---\napiVersion: carawayrun/v1\nkind: Upstream\nmetadata: {{name: u{number}}}\nspec: \
             {{service: advisor, dataCentre: {data_centre}, slots: 8, versions: [{versions}]}}\n"
        )
        .expect("a String takes all text");
    }
    write!(
        text,
        "---\napiVersion: carawayrun/v1\nkind: Team\nmetadata: {{name: estate}}\nspec: \
         {{keyDigests: [], versions: [{versions}]}}\n"
    )
    .expect("a String takes all text");
    text
}
