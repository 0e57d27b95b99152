//! Checks of a resource's references to others.

use super::Problem;
use super::findings::Findings;
use crate::resource::config::Config;
use crate::resource::manifest::Resource;
use crate::resource::spec::{
    Backend, Kind, Objective, Rollout, Service, Spec, Team, Upstream, Version,
};

pub(super) fn check(config: &Config, resource: &Resource) -> Vec<Problem> {
    let mut found = References {
        config,
        findings: Findings::new(resource),
    };
    match &resource.spec {
        Spec::Team(team) => found.check_team(team),
        Spec::Service(_) => {}
        Spec::Version(version) => found.check_version(version),
        Spec::Upstream(upstream) => found.check_upstream(upstream),
        Spec::Rollout(rollout) => found.check_rollout(rollout),
        Spec::Objective(objective) => found.check_objective(objective),
    }
    found.findings.finish()
}

struct References<'a> {
    config: &'a Config,
    findings: Findings<'a>,
}

impl<'a> References<'a> {
    fn check_team(&mut self, team: &Team) {
        for name in &team.versions {
            self.find_version("spec.versions", name);
        }
        for name in &team.services {
            self.find_service_with_backend("spec.services", name, Backend::Plain);
        }
    }

    fn check_version(&mut self, version: &Version) {
        let service =
            self.find_service_with_backend("spec.service", &version.service, Backend::Engine);
        let Some(service) = service else {
            return;
        };
        for task in version.quality.keys() {
            if service.tasks.iter().all(|known| known.name != *task) {
                let field = format!("spec.quality.{task}");
                let names: Vec<&str> = service
                    .tasks
                    .iter()
                    .map(|known| known.name.as_str())
                    .collect();
                self.findings
                    .require(false, &field, task, &accepted_names(&names));
            }
        }
    }

    fn check_upstream(&mut self, upstream: &Upstream) {
        self.find_service("spec.service", &upstream.service);
        for name in &upstream.versions {
            let service = self
                .find_version("spec.versions", name)
                .map(|version| &version.service);
            if service.is_some_and(|service| *service != upstream.service) {
                let accepted = format!("a version of the service `{}`", upstream.service);
                self.findings
                    .require(false, "spec.versions", name, &accepted);
            }
        }
    }

    fn check_rollout(&mut self, rollout: &Rollout) {
        for (field, name) in [("spec.from", &rollout.from), ("spec.to", &rollout.to)] {
            let model = self.find_version(field, name).map(|version| &version.model);
            if model.is_some_and(|model| *model != rollout.model) {
                let accepted = format!("a version of the model `{}`", rollout.model);
                self.findings.require(false, field, name, &accepted);
            }
        }
    }

    fn check_objective(&mut self, objective: &Objective) {
        let service = self.find_service("spec.service", &objective.service);
        if let (Some(service), Some(task)) = (service, &objective.task) {
            let names = task_names(service);
            let known = names.iter().any(|name| name == task);
            self.findings
                .require(known, "spec.task", task, &accepted_names(&names));
        }
        if let Some(team) = &objective.team
            && self.config.teams.key(team).is_none()
        {
            self.add_missing("spec.team", Kind::Team, team);
        }
    }

    fn find_version(&mut self, field: &str, name: &str) -> Option<&'a Version> {
        let found = self.config.versions.by_name(name);
        if found.is_none() {
            self.add_missing(field, Kind::Version, name);
        }
        found.map(|named| &named.spec)
    }

    fn find_service(&mut self, field: &str, name: &str) -> Option<&'a Service> {
        let found = self.config.services.by_name(name);
        if found.is_none() {
            self.add_missing(field, Kind::Service, name);
        }
        found.map(|named| &named.spec)
    }

    fn find_service_with_backend(
        &mut self,
        field: &str,
        name: &str,
        backend: Backend,
    ) -> Option<&'a Service> {
        let service = self.find_service(field, name)?;
        let accepted = match backend {
            Backend::Engine => "a service with the backend engine",
            Backend::Plain => "a service with the backend plain; engines are used by spec.versions",
        };
        self.findings
            .require(service.backend == backend, field, name, accepted);
        Some(service)
    }

    fn add_missing(&mut self, field: &str, kind: Kind, name: &str) {
        self.findings.add(
            field,
            format!(
                "there is no {kind} `{name}`; create it in the same apply, or take the name out"
            ),
        );
    }
}

/// Returns the tasks of a service as named in request outcomes: `METHOD path`
/// for plain services.
fn task_names(service: &Service) -> Vec<String> {
    match service.backend {
        Backend::Engine => service
            .tasks
            .iter()
            .map(|task| task.name.to_string())
            .collect(),
        Backend::Plain => {
            let routes = service.routes.iter();
            routes
                .map(|route| format!("{} {}", route.method, route.path))
                .collect()
        }
    }
}

fn accepted_names<T: AsRef<str>>(names: &[T]) -> String {
    let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
    format!("one of: {}", names.join(", "))
}
