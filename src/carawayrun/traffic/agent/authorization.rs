//! Authorization of runs by the agent's own configuration.
//!
//! The gateway has checked the same against its configuration. The agent checks
//! again, so that a withdrawn version is stopped even if the gateway doesn't
//! know of the withdrawal yet.

use crate::control::{Admission, View};
use crate::peer::message::Run;
use crate::resource::{Backend, Config, Phase, Team, Upstream};
use crate::traffic::Code;

use super::refusal::Refusal;

/// Retry delay when the gateway's and the agent's configurations differ, in
/// milliseconds.
const STALE_RETRY_MS: u32 = 500;

/// Refuses every run while the process takes no new work.
pub(crate) fn check_open(admission: &Admission) -> Result<(), Refusal> {
    match admission {
        Admission::Open => Ok(()),
        Admission::Closed {
            code,
            retry_after_ms,
        } => {
            let code = code.parse().unwrap_or(Code::Draining);
            let refusal = Refusal::new(code, "the agent takes no new work");
            Err(refusal.retry_after(*retry_after_ms as u32))
        }
    }
}

/// Refuses queued runs if the configuration may be out of date.
///
/// A draining process finishes its queue. One that was paused or disconnected
/// doesn't, since its configuration may be stale.
pub(crate) fn check_not_stale(admission: &Admission) -> Result<(), Refusal> {
    match admission {
        Admission::Closed { code, .. } if *code == Code::StaleConfiguration.as_str() => {
            check_open(admission)
        }
        _ => Ok(()),
    }
}

/// Checks that the run is permitted and returns its backend. Called when the
/// run arrives and again directly before it is sent.
pub(crate) fn authorize(view: &View, upstream: &str, run: &Run) -> Result<Backend, Refusal> {
    check_run(view, upstream, run)
        .map_err(|refusal| map_generation_mismatch(refusal, &view.config, run))
}

// If the configurations differ, the refusal may be due to the difference, so
// the gateway has to check its own configuration again and retry.
fn map_generation_mismatch(refusal: Refusal, config: &Config, run: &Run) -> Refusal {
    if refusal.code == Code::Draining || run.generation == config.generation {
        return refusal;
    }
    let message = format!(
        "{} at generation {}, the request is of generation {}",
        refusal.message, config.generation, run.generation
    );
    Refusal::new(Code::StaleConfiguration, message).retry_after(STALE_RETRY_MS)
}

fn check_run(view: &View, upstream: &str, run: &Run) -> Result<Backend, Refusal> {
    let config = &view.config;
    let own = config.upstreams.by_name(upstream).ok_or_else(|| {
        Refusal::new(
            Code::NoUpstream,
            format!("there is no upstream `{upstream}`"),
        )
    })?;
    if own.spec.drain {
        let message = format!("the upstream `{upstream}` is draining");
        return Err(Refusal::new(Code::Draining, message));
    }
    if own.spec.service != run.service.as_str() {
        let message = format!("the upstream `{upstream}` serves `{}`", own.spec.service);
        return Err(Refusal::new(Code::NoUpstream, message));
    }
    let team = config.teams.by_name(&run.team).ok_or_else(|| {
        Refusal::new(Code::UnknownKey, format!("there is no team `{}`", run.team))
    })?;
    let service = config.services.by_name(&run.service).ok_or_else(|| {
        Refusal::new(
            Code::NoUpstream,
            format!("there is no service `{}`", run.service),
        )
    })?;
    match service.spec.backend {
        Backend::Engine => check_version(view, &team.spec, &own.spec, run)?,
        Backend::Plain => check_service(&team.spec, run)?,
    }
    Ok(service.spec.backend)
}

fn check_version(view: &View, team: &Team, upstream: &Upstream, run: &Run) -> Result<(), Refusal> {
    let name = &run.version;
    let versions = &view.config.versions;
    let (key, version) = versions
        .key(name)
        .and_then(|key| Some((key, versions.get(key)?)))
        .ok_or_else(|| Refusal::new(Code::UnknownModel, format!("there is no version `{name}`")))?;
    if version.spec.phase == Phase::Withdrawn || view.suspended.contains(&key) {
        let message = format!("the version `{name}` is withdrawn");
        return Err(Refusal::new(Code::Withdrawn, message));
    }
    if !team.versions.iter().any(|permitted| permitted == name) {
        let message = format!("the team `{}` may not use `{name}`", run.team);
        return Err(Refusal::new(Code::ForbiddenVersion, message));
    }
    if !upstream.versions.iter().any(|served| served == name) {
        let message = format!("the upstream does not run `{name}`");
        return Err(Refusal::new(Code::NoUpstream, message));
    }
    Ok(())
}

fn check_service(team: &Team, run: &Run) -> Result<(), Refusal> {
    if team
        .services
        .iter()
        .any(|permitted| permitted == run.service.as_str())
    {
        return Ok(());
    }
    let message = format!("the team `{}` may not call `{}`", run.team, run.service);
    Err(Refusal::new(Code::ForbiddenService, message))
}
