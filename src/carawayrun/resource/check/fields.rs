//! Checks of the fields of one resource.

use super::Problem;
use super::findings::Findings;
use crate::resource::digest::DIGEST_DIGITS;
use crate::resource::manifest::Resource;
use crate::resource::spec::{
    Backend, Indicator, Objective, Rollout, Route, Service, Spec, Task, Team, Upstream, Version,
};

/// Most requests an upstream may run at once.
const MAX_SLOTS: u64 = 65_536;

/// Longest promised latency, in milliseconds: an hour.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Longest budget window of an objective, in days.
const MAX_WINDOW_DAYS: u64 = 90;

/// Largest accepted chance of withdrawing a good version.
const MAX_ERROR_RATE: f64 = 0.5;

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

pub(super) fn problems(resource: &Resource) -> Vec<Problem> {
    let mut found = Findings::new(resource);
    found.name("metadata.name", &resource.metadata.name);
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
        found.expect(
            digest.len() == DIGEST_DIGITS && hexadecimal,
            "spec.keyDigests",
            digest,
            "64 hexadecimal digits, as `carawayrun digest` prints them",
        );
    }
    found.unique("spec.keyDigests", &team.key_digests);
    found.unique("spec.versions", &team.versions);
    found.unique("spec.services", &team.services);
    check_limits(found, team);
    let weights = team.weights;
    for (field, value) in [
        ("spec.weights.latency", weights.latency),
        ("spec.weights.cost", weights.cost),
        ("spec.weights.exposure", weights.exposure),
    ] {
        let holds = value.is_finite() && value >= 0.0;
        found.expect(holds, field, value, "a number from 0 on");
    }
}

fn check_limits(found: &mut Findings<'_>, team: &Team) {
    let limits = team.limits;
    let rate = limits.rate.is_finite() && limits.rate > 0.0;
    found.expect(rate, "spec.limits.rate", limits.rate, "a number above 0");
    let burst = limits.burst.is_finite() && limits.burst >= 1.0;
    found.expect(
        burst,
        "spec.limits.burst",
        limits.burst,
        "a number from 1 on",
    );
    let concurrency = u64::from(limits.concurrency);
    found.whole(
        "spec.limits.concurrency",
        concurrency,
        1..=u64::from(u32::MAX),
    );
}

fn check_service(found: &mut Findings<'_>, service: &Service) {
    match service.backend {
        Backend::Engine => {
            found.expect(
                !service.tasks.is_empty(),
                "spec.tasks",
                "[]",
                "at least one task for an engine service",
            );
            found.expect(
                service.routes.is_empty(),
                "spec.routes",
                "[..]",
                "none for an engine service",
            );
        }
        Backend::Plain => {
            found.expect(
                !service.routes.is_empty(),
                "spec.routes",
                "[]",
                "at least one route for a plain service",
            );
            found.expect(
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
    found.unique("spec.tasks", &tasks);
    service
        .tasks
        .iter()
        .for_each(|task| check_task(found, task));
    let routes: Vec<String> = service.routes.iter().map(route_name).collect();
    found.unique("spec.routes", &routes);
    service
        .routes
        .iter()
        .for_each(|route| check_route(found, route));
}

fn check_task(found: &mut Findings<'_>, task: &Task) {
    found.name("spec.tasks.name", &task.name);
    found.share("spec.tasks.quality", task.quality);
    found.whole("spec.tasks.latencyMs", task.latency_ms, 1..=MAX_LATENCY_MS);
}

fn check_route(found: &mut Findings<'_>, route: &Route) {
    let method = METHODS.contains(&route.method.as_str());
    found.expect(
        method,
        "spec.routes.method",
        &route.method,
        "GET, HEAD, POST, PUT, PATCH or DELETE",
    );
    let path = &route.path;
    let clean = path.split('/').all(|part| part != "..") && !path.contains("//");
    let plain = !path.contains(['?', '#', ' ']);
    found.expect(
        path.starts_with('/') && clean && plain,
        "spec.routes.path",
        path,
        "a path that begins with `/`, without `..`, `//`, `?` and `#`",
    );
}

fn route_name(route: &Route) -> String {
    format!("{} {}", route.method, route.path)
}

fn check_version(found: &mut Findings<'_>, version: &Version) {
    found.name("spec.model", &version.model);
    for (task, quality) in &version.quality {
        found.share(&format!("spec.quality.{task}"), *quality);
    }
    found.whole("spec.latencyMs", version.latency_ms, 0..=MAX_LATENCY_MS);
    let price = version.price;
    found.expect(
        price.cached <= price.prompt,
        "spec.price.cached",
        price.cached,
        "at most the price of a prompt token that is not cached",
    );
}

fn check_upstream(found: &mut Findings<'_>, upstream: &Upstream) {
    found.name("spec.dataCentre", &upstream.data_centre);
    found.whole("spec.slots", u64::from(upstream.slots), 1..=MAX_SLOTS);
    found.unique("spec.versions", &upstream.versions);
}

fn check_rollout(found: &mut Findings<'_>, rollout: &Rollout) {
    found.expect(
        rollout.from != rollout.to,
        "spec.to",
        &rollout.to,
        "another version than spec.from",
    );
    let inside = rollout.steps.iter().all(|step| *step > 0.0 && *step <= 1.0);
    let rising = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
    found.expect(
        !rollout.steps.is_empty() && inside && rising,
        "spec.steps",
        format!("{:?}", rollout.steps),
        "at least one share above 0 and up to 1, each larger than the one before",
    );
    found.whole("spec.maxExposure", rollout.max_exposure, 1..=u64::MAX);
    let tolerance = rollout.tolerance > 0.0 && rollout.tolerance <= 1.0;
    found.expect(
        tolerance,
        "spec.tolerance",
        rollout.tolerance,
        "a number above 0 and up to 1",
    );
    let error_rate = rollout.error_rate > 0.0 && rollout.error_rate <= MAX_ERROR_RATE;
    found.expect(
        error_rate,
        "spec.errorRate",
        rollout.error_rate,
        "a number above 0 and up to 0.5",
    );
}

fn check_objective(found: &mut Findings<'_>, objective: &Objective) {
    let target = objective.target > 0.0 && objective.target < 1.0;
    found.expect(
        target,
        "spec.target",
        objective.target,
        "a share above 0 and below 1, such as 0.99",
    );
    found.whole(
        "spec.windowDays",
        u64::from(objective.window_days),
        1..=MAX_WINDOW_DAYS,
    );
    match objective.indicator {
        Indicator::Availability => found.expect(
            objective.threshold_ms == 0,
            "spec.thresholdMs",
            objective.threshold_ms,
            "none for the indicator availability",
        ),
        Indicator::FirstByte | Indicator::Duration => {
            found.whole(
                "spec.thresholdMs",
                objective.threshold_ms,
                1..=MAX_LATENCY_MS,
            );
        }
    }
}
