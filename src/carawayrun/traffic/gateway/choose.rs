//! The permitted versions of a request, in the order to try them.

use compact_str::{CompactString, format_compact};

use super::refusal::Refusal;
use crate::control::View;
use crate::resource::{Named, Phase, Service, Task, Team, Version, VersionKey};
use crate::traffic::Code;

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish<'a> {
    pub(super) view: &'a View,
    pub(super) team: &'a Named<Team>,
    /// Name of a model or of a version.
    pub(super) model: &'a str,
}

/// The versions that may answer a request.
#[derive(Debug, Clone)]
pub(super) struct Permitted {
    /// Name of the engine service that runs them.
    pub(super) service: CompactString,
    pub(super) versions: Vec<VersionKey>,
}

impl Wish<'_> {
    /// The versions that the team may use and that take work.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that tells an unknown name from a forbidden or a
    /// withdrawn one.
    pub(super) fn permitted(self) -> Result<Permitted, Refusal> {
        let named: Vec<_> = self
            .view
            .config
            .versions
            .iter()
            .filter(|(_, version)| self.names(version))
            .collect();
        if named.is_empty() {
            return Err(self.refusal(Code::UnknownModel, "there is no such model or version"));
        }
        let allowed: Vec<_> = named
            .into_iter()
            .filter(|(_, version)| self.team.spec.versions.contains(&version.name))
            .collect();
        if allowed.is_empty() {
            return Err(self.refusal(Code::ForbiddenVersion, "the team may not use it"));
        }
        let open: Vec<_> = allowed
            .into_iter()
            .filter(|(key, version)| self.is_open(*key, version))
            .collect();
        match open.first() {
            Some((_, first)) => Ok(Permitted {
                service: first.spec.service.clone(),
                versions: open.iter().map(|(key, _)| *key).collect(),
            }),
            None => Err(self.refusal(Code::Withdrawn, "it is withdrawn")),
        }
    }

    fn names(self, version: &Named<Version>) -> bool {
        version.name == self.model || version.spec.model == self.model
    }

    fn is_open(self, key: VersionKey, version: &Named<Version>) -> bool {
        version.spec.phase != Phase::Withdrawn && !self.view.suspended.contains(&key)
    }

    fn refusal(self, code: Code, why: &str) -> Refusal {
        Refusal::new(code, format_compact!("model `{}`: {why}", self.model))
    }
}

/// The task of a request: the service's first one where the caller names none.
pub(super) fn task<'a>(
    service: &'a Named<Service>,
    name: Option<&str>,
) -> Result<&'a Task, Refusal> {
    let found = match name {
        None => service.spec.tasks.first(),
        Some(name) => service.spec.tasks.iter().find(|task| task.name == name),
    };
    found.ok_or_else(|| {
        let message = format_compact!(
            "service `{}` has no task `{}`",
            service.name,
            name.unwrap_or_default()
        );
        Refusal::new(Code::UnknownTask, message)
    })
}
