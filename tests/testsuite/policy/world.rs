//! A small deployment for the tests of `carawayrun::policy`.

use std::fmt::Write;

use carawayrun::policy::{
    Estimates, PlanContext, PlanRequest, Pool, Pools, Split, Tally, UpstreamCandidate,
};
use carawayrun::resource::{Config, Phase, UpstreamKey, VersionKey, parse_manifests};

pub(crate) const DATA_CENTRES: [&str; 3] = ["recife", "natal", "olinda"];

/// A version of the deployment, with its price and true quality.
#[derive(Debug, Clone)]
pub(crate) struct Model {
    pub(crate) name: &'static str,
    pub(crate) price: u64,
    pub(crate) quality: f64,
    pub(crate) phase: Phase,
}

pub(crate) fn model(name: &'static str, price: u64, quality: f64) -> Model {
    Model {
        name,
        price,
        quality,
        phase: Phase::Active,
    }
}

/// A deployment with one team and one service. The service has an interactive task
/// `stream` and a batch task `note` that allows cascades.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) config: Config,
    pub(crate) estimates: Estimates,
    pub(crate) pools: Pools,
    pub(crate) splits: Vec<Split>,
    pub(crate) suspended: Vec<VersionKey>,
}

impl World {
    pub(crate) fn new(models: &[Model], permitted: &[&str], upstreams: usize) -> Self {
        let text = manifests(models, permitted, upstreams);
        let resources = parse_manifests(&text).unwrap();
        let config = Config::empty().with_resources(1, &resources).unwrap();
        let pools = Pools::build(candidates(&config, 0));
        let mut world = Self {
            config,
            estimates: Estimates::default(),
            pools,
            splits: Vec::new(),
            suspended: Vec::new(),
        };
        for model in models {
            world.record_ratings(model.name, model.quality, 2_000);
        }
        world
    }

    pub(crate) fn record_ratings(&mut self, name: &str, quality: f64, ratings: u32) {
        let key = self.version(name);
        for task in ["stream", "note"] {
            let mut tally = Tally::default();
            for number in 0..ratings {
                tally.record_answer(false, false);
                tally.record_measurements(200, 2_000, 300);
                tally.record_rating(quality + if number % 2 == 0 { 0.1 } else { -0.1 });
            }
            self.estimates.record_outcomes(key, task, &tally);
        }
    }

    pub(crate) fn version(&self, name: &str) -> VersionKey {
        self.config.versions.key(name).unwrap()
    }

    pub(crate) fn name(&self, key: VersionKey) -> &str {
        &self.config.versions.get(key).unwrap().name
    }

    pub(crate) fn request<'a>(&self, task: &'a str) -> PlanRequest<'a> {
        PlanRequest {
            team: self.config.teams.key("estate").unwrap(),
            service: self.config.services.key("advisor").unwrap(),
            task,
            model: "",
            quality: None,
            budget_ms: 30_000,
            pinned: None,
            stream: task == "stream",
            prompt_tokens: 1_000,
            cached_tokens: 0,
        }
    }

    pub(crate) fn context(&self) -> PlanContext<'_> {
        PlanContext {
            config: &self.config,
            estimates: &self.estimates,
            pools: &self.pools,
            splits: &self.splits,
            suspended: &self.suspended,
            rating_micros: 1.0,
            rating_ms: 500.0,
            rated_share: 0.9,
        }
    }

    pub(crate) fn upstreams(&self) -> Vec<UpstreamKey> {
        self.config.upstreams.iter().map(|(key, _)| key).collect()
    }
}

/// All upstreams, each with every version and `running` reported requests.
pub(crate) fn candidates(config: &Config, running: u32) -> Vec<UpstreamCandidate> {
    let versions = config.versions.iter();
    let pools: Vec<Pool> = versions.map(|(key, _)| Pool::Version(key)).collect();
    let upstreams = config.upstreams.iter().enumerate();
    upstreams
        .map(|(agent, (upstream, entry))| UpstreamCandidate {
            agent,
            upstream,
            data_centre: entry.spec.data_centre.clone(),
            slots: entry.spec.slots,
            running,
            queued: 0,
            wait_ms: 0,
            report_ms: 0,
            pools: pools.clone(),
        })
        .collect()
}

fn manifests(models: &[Model], permitted: &[&str], upstreams: usize) -> String {
    let mut text = String::from(
        "apiVersion: carawayrun/v1
kind: Service
metadata: {name: advisor}
spec:
  backend: engine
  tasks:
  - {name: stream, class: interactive, quality: 0.8, latencyMs: 2000}
  - {name: note, class: batch, quality: 0.8, latencyMs: 20000, cascade: true}
",
    );
    for model in models {
        let phase = serde_json::to_string(&model.phase).unwrap();
        let spec = format!(
            "{{model: lathe, service: advisor, phase: {phase}, price: {{prompt: {price}, \
             completion: {price}}}, quality: {{stream: {quality}, note: {quality}}}, \
             latencyMs: 200}}",
            price = model.price,
            quality = model.quality,
        );
        push_manifest(&mut text, "Version", model.name, &spec);
    }
    for number in 0..upstreams {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let spec = format!("{{service: advisor, dataCentre: {data_centre}, slots: 4}}");
        push_manifest(&mut text, "Upstream", &format!("u{number}"), &spec);
    }
    let spec = format!("{{keyDigests: [], versions: [{}]}}", permitted.join(", "));
    push_manifest(&mut text, "Team", "estate", &spec);
    text
}

fn push_manifest(text: &mut String, kind: &str, name: &str, spec: &str) {
    writeln!(
        text,
        "---\napiVersion: carawayrun/v1\nkind: {kind}\nmetadata: {{name: {name}}}\nspec: {spec}"
    )
    .unwrap();
}
