//! Planning: which versions answer a request for a model.

use compact_str::{CompactString, format_compact};
use rand::rngs::SmallRng;

use super::ratings::RatingStats;
use super::refusal::Refusal;
use super::snapshot::RoutingSnapshot;
use crate::policy::{Plan, PlanContext, PlanError, PlanRequest};
use crate::resource::{Config, Named, Service, ServiceKey, Task, VersionKey};
use crate::traffic::Code;

/// Retry delay suggested to callers if no better one is known, such as when no
/// upstream is ready, in milliseconds.
pub(super) const DEFAULT_RETRY_MS: u64 = 1_000;

/// Bytes of text per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the engine service that runs a model or version.
pub(super) fn find_service<'a>(
    config: &'a Config,
    model: &str,
) -> Result<(ServiceKey, &'a Named<Service>), Refusal> {
    config
        .versions
        .iter()
        .find(|(_, version)| version.name == model || version.spec.model == model)
        .and_then(|(_, version)| config.services.key(&version.spec.service))
        .and_then(|key| config.services.get(key).map(|service| (key, service)))
        .ok_or_else(|| {
            let message = format_compact!("there is no model or version `{model}`");
            Refusal::new(Code::UnknownModel, message)
        })
}

/// Returns the task of a request: the service's first one if the caller names
/// none.
pub(super) fn find_task<'a>(
    service: &'a Named<Service>,
    name: Option<&CompactString>,
) -> Result<&'a Task, Refusal> {
    let tasks = &service.spec.tasks;
    let found = match name {
        None => tasks.first(),
        Some(name) => tasks.iter().find(|task| task.name == *name),
    };
    found.ok_or_else(|| {
        let name = name.map_or("", CompactString::as_str);
        let message = format_compact!("service `{}` has no task `{name}`", service.name);
        Refusal::new(Code::UnknownTask, message)
    })
}

/// Returns the version that a session is pinned to, if it belongs to the
/// requested model.
pub(super) fn pinned_version(config: &Config, model: &str, version: &str) -> Option<VersionKey> {
    let key = config.versions.key(version)?;
    let entry = config.versions.get(key)?;
    (entry.name == model || entry.spec.model == model).then_some(key)
}

/// Estimates the number of tokens in a prompt of `bytes` bytes.
pub(super) fn estimate_prompt_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Chooses the versions that answer a request.
///
/// # Errors
///
/// Returns a [`Refusal`] that says why no version may answer.
pub(super) fn plan(
    snapshot: &RoutingSnapshot,
    request: &PlanRequest<'_>,
    stats: Option<RatingStats>,
    rng: &mut SmallRng,
) -> Result<Plan, Refusal> {
    let context = PlanContext {
        config: &snapshot.view.config,
        estimates: &snapshot.view.estimates,
        pools: &snapshot.pools,
        splits: &snapshot.splits,
        suspended: &snapshot.view.suspended,
        rating_micros: 0.0,
        rating_ms: stats.map_or(0.0, |stats| stats.wait_ms),
        rated_share: stats.map_or(0.0, |stats| stats.share),
    };
    crate::policy::plan(request, &context, rng).map_err(|error| plan_refusal(error, request))
}

fn plan_refusal(error: PlanError, request: &PlanRequest<'_>) -> Refusal {
    let code = match error {
        PlanError::NotConfigured => Code::StaleConfiguration,
        PlanError::UnknownTask => Code::UnknownTask,
        PlanError::UnknownModel => Code::UnknownModel,
        PlanError::ForbiddenVersion => Code::ForbiddenVersion,
        PlanError::Withdrawn => Code::Withdrawn,
        PlanError::NoUpstream => Code::NoUpstream,
    };
    let refusal = Refusal::new(code, format_compact!("model `{}`: {error}", request.model));
    if code == Code::NoUpstream {
        refusal.retry_after(DEFAULT_RETRY_MS)
    } else {
        refusal
    }
}
