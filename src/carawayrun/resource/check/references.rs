//! Checks of the names that one resource has of others.

use super::Problem;
use super::findings::Findings;
use crate::resource::config::Config;
use crate::resource::manifest::Resource;
use crate::resource::spec::{
    Backend, Kind, Objective, Rollout, Service, Spec, Team, Upstream, Version,
};

pub(super) fn problems(config: &Config, resource: &Resource) -> Vec<Problem> {
    let mut found = References {
        config,
        findings: Findings::new(resource),
    };
    match &resource.spec {
        Spec::Team(team) => found.team(team),
        Spec::Service(_) => {}
        Spec::Version(version) => found.version(version),
        Spec::Upstream(upstream) => found.upstream(upstream),
        Spec::Rollout(rollout) => found.rollout(rollout),
        Spec::Objective(objective) => found.objective(objective),
    }
    found.findings.finish()
}

struct References<'a> {
    config: &'a Config,
    findings: Findings<'a>,
}

impl<'a> References<'a> {
    fn team(&mut self, team: &Team) {
        for name in &team.versions {
            self.find_version("spec.versions", name);
        }
        for name in &team.services {
            self.find_backend("spec.services", name, Backend::Plain);
        }
    }

    fn version(&mut self, version: &Version) {
        let service = self.find_backend("spec.service", &version.service, Backend::Engine);
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
                self.findings.expect(false, &field, task, &one_of(&names));
            }
        }
    }

    fn upstream(&mut self, upstream: &Upstream) {
        self.find_service("spec.service", &upstream.service);
        for name in &upstream.versions {
            let service = self
                .find_version("spec.versions", name)
                .map(|version| &version.service);
            if service.is_some_and(|service| *service != upstream.service) {
                let accepted = format!("a version of the service `{}`", upstream.service);
                self.findings
                    .expect(false, "spec.versions", name, &accepted);
            }
        }
    }

    fn rollout(&mut self, rollout: &Rollout) {
        for (field, name) in [("spec.from", &rollout.from), ("spec.to", &rollout.to)] {
            let model = self.find_version(field, name).map(|version| &version.model);
            if model.is_some_and(|model| *model != rollout.model) {
                let accepted = format!("a version of the model `{}`", rollout.model);
                self.findings.expect(false, field, name, &accepted);
            }
        }
    }

    fn objective(&mut self, objective: &Objective) {
        let service = self.find_service("spec.service", &objective.service);
        if let (Some(service), Some(task)) = (service, &objective.task) {
            let names = task_names(service);
            let known = names.iter().any(|name| name == task);
            self.findings
                .expect(known, "spec.task", task, &one_of(&names));
        }
        if let Some(team) = &objective.team
            && self.config.teams.key(team).is_none()
        {
            self.missing("spec.team", Kind::Team, team);
        }
    }

    fn find_version(&mut self, field: &str, name: &str) -> Option<&'a Version> {
        let found = self.config.versions.by_name(name);
        if found.is_none() {
            self.missing(field, Kind::Version, name);
        }
        found.map(|named| &named.spec)
    }

    fn find_service(&mut self, field: &str, name: &str) -> Option<&'a Service> {
        let found = self.config.services.by_name(name);
        if found.is_none() {
            self.missing(field, Kind::Service, name);
        }
        found.map(|named| &named.spec)
    }

    fn find_backend(&mut self, field: &str, name: &str, backend: Backend) -> Option<&'a Service> {
        let service = self.find_service(field, name)?;
        let accepted = match backend {
            Backend::Engine => "a service with the backend engine",
            Backend::Plain => "a service with the backend plain; engines are used by spec.versions",
        };
        self.findings
            .expect(service.backend == backend, field, name, accepted);
        Some(service)
    }

    fn missing(&mut self, field: &str, kind: Kind, name: &str) {
        self.findings.add(
            field,
            format!(
                "there is no {kind} `{name}`; create it in the same apply, or take the name out"
            ),
        );
    }
}

/// Tasks of a service as outcomes name them: for plain services `METHOD path`.
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

fn one_of<T: AsRef<str>>(names: &[T]) -> String {
    let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
    format!("one of: {}", names.join(", "))
}
