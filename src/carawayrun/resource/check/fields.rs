//! Checks of the fields of one resource.

use super::Problem;
use super::findings::Findings;
use crate::resource::digest::DIGEST_DIGITS;
use crate::resource::manifest::Resource;
use crate::resource::spec::{
    Backend, Indicator, Objective, Rollout, Route, Service, Spec, Task, Team, Upstream, Version,
};

/// Maximum number of requests that an upstream may run concurrently.
const MAX_SLOTS: u64 = 65_536;

/// Maximum promised latency, in milliseconds (one hour).
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Maximum length of an objective's budget window, in days.
const MAX_WINDOW_DAYS: u64 = 90;

/// Maximum accepted probability of withdrawing a good version.
const MAX_ERROR_RATE: f64 = 0.5;

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

pub(super) fn check(resource: &Resource) -> Vec<Problem> {
    let mut found = Findings::new(resource);
    found.require_name("metadata.name", &resource.metadata.name);
    match &resource.spec {
        Spec::Team(team) => check_team(&mut found, team),
        Spec::Service(service) => check_service(&mut found, service),
        Spec::Version(version) => check_version(&mut found, version),
        Spec::Upstream(upstream) => check_upstream(&mut found, upstream),
        Spec::Rollout(rollout) => check_rollout(&mut found, rollout),
        Spec::Objective(objective) => check_objective(&mut found, objective),
    }
    found.finish()
}

fn check_team(found: &mut Findings<'_>, team: &Team) {
    for digest in &team.key_digests {
        let hexadecimal = digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        found.require(
            digest.len() == DIGEST_DIGITS && hexadecimal,
            "spec.keyDigests",
            digest,
            "64 hexadecimal digits, as `carawayrun digest` prints them",
        );
    }
    found.require_unique("spec.keyDigests", &team.key_digests);
    found.require_unique("spec.versions", &team.versions);
    found.require_unique("spec.services", &team.services);
    check_limits(found, team);
    let weights = team.weights;
    for (field, value) in [
        ("spec.weights.latency", weights.latency),
        ("spec.weights.cost", weights.cost),
        ("spec.weights.exposure", weights.exposure),
    ] {
        let holds = value.is_finite() && value >= 0.0;
        found.require(holds, field, value, "a number from 0 on");
    }
}

fn check_limits(found: &mut Findings<'_>, team: &Team) {
    let limits = team.limits;
    let rate = limits.rate.is_finite() && limits.rate > 0.0;
    found.require(rate, "spec.limits.rate", limits.rate, "a number above 0");
    let burst = limits.burst.is_finite() && limits.burst >= 1.0;
    found.require(
        burst,
        "spec.limits.burst",
        limits.burst,
        "a number from 1 on",
    );
    let concurrency = u64::from(limits.concurrency);
    found.require_range(
        "spec.limits.concurrency",
        concurrency,
        1..=u64::from(u32::MAX),
    );
}

fn check_service(found: &mut Findings<'_>, service: &Service) {
    match service.backend {
        Backend::Engine => {
            found.require(
                !service.tasks.is_empty(),
                "spec.tasks",
                "[]",
                "at least one task for an engine service",
            );
            found.require(
                service.routes.is_empty(),
                "spec.routes",
                "[..]",
                "none for an engine service",
            );
        }
        Backend::Plain => {
            found.require(
                !service.routes.is_empty(),
                "spec.routes",
                "[]",
                "at least one route for a plain service",
            );
            found.require(
                service.tasks.is_empty(),
                "spec.tasks",
                "[..]",
                "none for a plain service",
            );
        }
    }
    let tasks: Vec<&str> = service
        .tasks
        .iter()
        .map(|task| task.name.as_str())
        .collect();
    found.require_unique("spec.tasks", &tasks);
    service
        .tasks
        .iter()
        .for_each(|task| check_task(found, task));
    let routes: Vec<String> = service.routes.iter().map(route_name).collect();
    found.require_unique("spec.routes", &routes);
    service
        .routes
        .iter()
        .for_each(|route| check_route(found, route));
}

fn check_task(found: &mut Findings<'_>, task: &Task) {
    found.require_name("spec.tasks.name", &task.name);
    found.require_fraction("spec.tasks.quality", task.quality);
    found.require_range("spec.tasks.latencyMs", task.latency_ms, 1..=MAX_LATENCY_MS);
}

fn check_route(found: &mut Findings<'_>, route: &Route) {
    let method = METHODS.contains(&route.method.as_str());
    found.require(
        method,
        "spec.routes.method",
        &route.method,
        "GET, HEAD, POST, PUT, PATCH or DELETE",
    );
    let path = &route.path;
    let normalized = path.split('/').all(|part| part != "..") && !path.contains("//");
    let valid_characters = !path.contains(['?', '#', ' ']);
    found.require(
        path.starts_with('/') && normalized && valid_characters,
        "spec.routes.path",
        path,
        "a path that begins with `/`, without `..`, `//`, `?` and `#`",
    );
}

fn route_name(route: &Route) -> String {
    format!("{} {}", route.method, route.path)
}

fn check_version(found: &mut Findings<'_>, version: &Version) {
    found.require_name("spec.model", &version.model);
    for (task, quality) in &version.quality {
        found.require_fraction(&format!("spec.quality.{task}"), *quality);
    }
    found.require_range("spec.latencyMs", version.latency_ms, 0..=MAX_LATENCY_MS);
    let price = version.price;
    found.require(
        price.cached <= price.prompt,
        "spec.price.cached",
        price.cached,
        "at most the price of a prompt token that is not cached",
    );
}

fn check_upstream(found: &mut Findings<'_>, upstream: &Upstream) {
    found.require_name("spec.dataCentre", &upstream.data_centre);
    found.require_range("spec.slots", u64::from(upstream.slots), 1..=MAX_SLOTS);
    found.require_unique("spec.versions", &upstream.versions);
}

fn check_rollout(found: &mut Findings<'_>, rollout: &Rollout) {
    found.require(
        rollout.from != rollout.to,
        "spec.to",
        &rollout.to,
        "another version than spec.from",
    );
    let in_range = rollout.steps.iter().all(|step| *step > 0.0 && *step <= 1.0);
    let increasing = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
    found.require(
        !rollout.steps.is_empty() && in_range && increasing,
        "spec.steps",
        format!("{:?}", rollout.steps),
        "at least one share above 0 and up to 1, each larger than the one before",
    );
    found.require_range("spec.maxExposure", rollout.max_exposure, 1..=u64::MAX);
    let tolerance = rollout.tolerance > 0.0 && rollout.tolerance <= 1.0;
    found.require(
        tolerance,
        "spec.tolerance",
        rollout.tolerance,
        "a number above 0 and up to 1",
    );
    let error_rate = rollout.error_rate > 0.0 && rollout.error_rate <= MAX_ERROR_RATE;
    found.require(
        error_rate,
        "spec.errorRate",
        rollout.error_rate,
        "a number above 0 and up to 0.5",
    );
}

fn check_objective(found: &mut Findings<'_>, objective: &Objective) {
    let target = objective.target > 0.0 && objective.target < 1.0;
    found.require(
        target,
        "spec.target",
        objective.target,
        "a share above 0 and below 1, such as 0.99",
    );
    found.require_range(
        "spec.windowDays",
        u64::from(objective.window_days),
        1..=MAX_WINDOW_DAYS,
    );
    match objective.indicator {
        Indicator::Availability => found.require(
            objective.threshold_ms == 0,
            "spec.thresholdMs",
            objective.threshold_ms,
            "none for the indicator availability",
        ),
        Indicator::FirstByte | Indicator::Duration => {
            found.require_range(
                "spec.thresholdMs",
                objective.threshold_ms,
                1..=MAX_LATENCY_MS,
            );
        }
    }
}
