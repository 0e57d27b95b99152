//! Sizes and configurations of the deployments that the users' pages describe.

use std::collections::BTreeMap;

use carawayrun::policy::{Pool, Pools, UpstreamCandidate};
use carawayrun::resource::{
    API_VERSION, Backend, Config, Limits, Metadata, Phase, Price, Resource, Service, Spec, Task,
    TaskClass, Team, Upstream, Version, Weights,
};
use compact_str::{CompactString, format_compact};

use super::truth::Truth;

/// Price of the cheapest version, in millionths per 1,000 tokens.
const MIN_PRICE: f64 = 150.0;
/// Price of the most expensive version as a multiple of the cheapest.
const MAX_PRICE_RATIO: f64 = 30.0;
/// Price of a cached prompt token as a share of the price of an uncached one.
const CACHED_PRICE_RATIO: f64 = 0.1;

/// Size, traffic and weights of one deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) versions: usize,
    pub(crate) upstreams: usize,
    pub(crate) data_centres: usize,
    pub(crate) slots: u32,
    /// Engine requests per second at an ordinary peak.
    pub(crate) rate: f64,
    pub(crate) weights: Weights,
    pub(crate) tasks: &'static [TaskKind],
}

/// Kind of request that a deployment serves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskKind {
    pub(crate) name: &'static str,
    pub(crate) class: TaskClass,
    /// Share of the requests.
    pub(crate) share: f64,
    /// True if a cheaper version may be tried first.
    pub(crate) cascade: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    /// Offset of each version's mean quality; positive for easy tasks.
    pub(crate) ease: f64,
}

const fn task(
    name: &'static str,
    class: TaskClass,
    share: f64,
    prompt_tokens: u64,
    completion_tokens: u64,
    ease: f64,
) -> TaskKind {
    TaskKind {
        name,
        class,
        share,
        cascade: !matches!(class, TaskClass::Interactive),
        prompt_tokens,
        completion_tokens,
        ease,
    }
}

const LUZCENA_TASKS: &[TaskKind] = &[
    task("room-plan", TaskClass::Interactive, 0.3, 3_000, 800, -0.05),
    task("scene-tweak", TaskClass::Normal, 0.4, 600, 150, 0.0),
    task("fixture-tag", TaskClass::Batch, 0.3, 200, 20, 0.05),
];

const ASSOCIATION_TASKS: &[TaskKind] = &[
    task("re-profiling", TaskClass::Normal, 0.3, 4_000, 1_000, -0.05),
    task("lathe-answer", TaskClass::Interactive, 0.4, 500, 150, 0.0),
    task("note-summary", TaskClass::Batch, 0.3, 1_500, 200, 0.05),
];

const TARGET_SIZE_TASKS: &[TaskKind] = &[
    task("room-plan", TaskClass::Interactive, 0.15, 3_000, 800, -0.05),
    task("scene-tweak", TaskClass::Normal, 0.2, 600, 150, 0.0),
    task("fixture-tag", TaskClass::Batch, 0.15, 200, 20, 0.05),
    task("re-profiling", TaskClass::Normal, 0.15, 4_000, 1_000, -0.05),
    task("lathe-answer", TaskClass::Interactive, 0.2, 500, 150, 0.0),
    task("note-summary", TaskClass::Batch, 0.15, 1_500, 200, 0.05),
];

impl Deployment {
    pub(crate) const ALL: [Self; 3] = [Self::LUZCENA, Self::ASSOCIATION, Self::TARGET_SIZE];

    const LUZCENA: Self = Self {
        name: "Luzcena today",
        versions: 4,
        upstreams: 20,
        data_centres: 3,
        slots: 8,
        rate: 40.0,
        weights: Weights {
            latency: 3.0,
            cost: 1.0,
            exposure: 1.0,
        },
        tasks: LUZCENA_TASKS,
    };

    const ASSOCIATION: Self = Self {
        name: "Association today",
        versions: 4,
        upstreams: 10,
        data_centres: 3,
        slots: 8,
        rate: 15.0,
        weights: Weights {
            latency: 0.5,
            cost: 2.0,
            exposure: 3.0,
        },
        tasks: ASSOCIATION_TASKS,
    };

    const TARGET_SIZE: Self = Self {
        name: "the letter's size",
        versions: 13,
        upstreams: 600,
        data_centres: 5,
        slots: 16,
        rate: 5_300.0,
        weights: Weights {
            latency: 1.0,
            cost: 1.0,
            exposure: 1.0,
        },
        tasks: TARGET_SIZE_TASKS,
    };

    /// Name of a version.
    pub(crate) fn version_name(index: usize) -> CompactString {
        format_compact!("v{index:02}")
    }

    /// Price of a version, in millionths per 1,000 tokens.
    pub(crate) fn price(&self, index: usize) -> Price {
        let rank = index as f64 / (self.versions - 1) as f64;
        let prompt = MIN_PRICE * MAX_PRICE_RATIO.powf(rank);
        Price {
            prompt: prompt as u64,
            cached: (prompt * CACHED_PRICE_RATIO) as u64,
            completion: (prompt * 2.0) as u64,
        }
    }

    /// Cost of one answer, in millionths.
    pub(crate) fn cost(&self, version: usize, task: &TaskKind) -> f64 {
        let price = self.price(version);
        (price.prompt * task.prompt_tokens + price.completion * task.completion_tokens) as f64
            / 1_000.0
    }

    /// The configuration, with initial estimates and targets from `truth`.
    pub(crate) fn config(&self, truth: &Truth) -> Config {
        let mut resources = vec![self.service(truth)];
        resources.extend((0..self.versions).map(|index| self.version(index, truth)));
        resources.extend((0..self.upstreams).map(|index| self.upstream(index)));
        resources.push(self.team());
        Config::empty()
            .with_resources(1, &resources)
            .expect("the resources of a deployment refer to each other")
    }

    /// All upstreams, with every version warm.
    pub(crate) fn pools(config: &Config) -> Pools {
        let versions: Vec<Pool> = config
            .versions
            .iter()
            .map(|(key, _)| Pool::Version(key))
            .collect();
        let upstreams = config.upstreams.iter().enumerate();
        Pools::build(
            upstreams.map(|(agent, (upstream, entry))| UpstreamCandidate {
                agent,
                upstream,
                data_centre: entry.spec.data_centre.clone(),
                slots: entry.spec.slots,
                running: 0,
                queued: 0,
                wait_ms: 0,
                report_ms: 0,
                pools: versions.clone(),
            }),
        )
    }

    fn service(&self, truth: &Truth) -> Resource {
        let tasks = self.tasks.iter().enumerate().map(|(index, kind)| Task {
            name: kind.name.into(),
            class: kind.class,
            quality: truth.target(index),
            latency_ms: 60_000,
            cascade: kind.cascade,
        });
        resource(
            "engine".into(),
            Spec::Service(Service {
                backend: Backend::Engine,
                tasks: tasks.collect(),
                routes: Vec::new(),
            }),
        )
    }

    fn version(&self, index: usize, truth: &Truth) -> Resource {
        let initial_estimate = |(task, kind): (usize, &TaskKind)| {
            let name = CompactString::from(kind.name);
            (name, truth.initial_estimate(index, task))
        };
        let quality: BTreeMap<_, _> = self
            .tasks
            .iter()
            .enumerate()
            .map(initial_estimate)
            .collect();
        resource(
            Self::version_name(index),
            Spec::Version(Version {
                model: "any".into(),
                service: "engine".into(),
                phase: Phase::Active,
                price: self.price(index),
                quality,
                latency_ms: 300,
            }),
        )
    }

    fn upstream(&self, index: usize) -> Resource {
        resource(
            format_compact!("u{index}"),
            Spec::Upstream(Upstream {
                service: "engine".into(),
                data_centre: format_compact!("dc{}", index % self.data_centres),
                slots: self.slots,
                versions: Vec::new(),
                fenced: false,
                drain: false,
            }),
        )
    }

    fn team(&self) -> Resource {
        resource(
            "team".into(),
            Spec::Team(Team {
                key_digests: Vec::new(),
                versions: (0..self.versions).map(Self::version_name).collect(),
                services: Vec::new(),
                limits: Limits::default(),
                weights: self.weights,
            }),
        )
    }
}

fn resource(name: CompactString, spec: Spec) -> Resource {
    Resource {
        api_version: API_VERSION.into(),
        kind: spec.kind(),
        metadata: Metadata {
            name,
            resource_version: 0,
        },
        spec,
    }
}
