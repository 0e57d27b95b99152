//! Checks over a whole set of resources.

use std::fmt;

use compact_str::CompactString;

use super::config::Config;
use super::manifest::Resource;
use super::spec::{Kind, Spec};

/// One thing wrong with a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: CompactString,
    /// Path of the field within the resource.
    pub field: CompactString,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}: {}: {}",
            self.kind, self.name, self.field, self.message
        )
    }
}

/// Checks that `resources` together make a configuration.
///
/// # Errors
///
/// All problems found, in the order of the resources.
pub fn check_set(resources: &[Resource]) -> Result<(), Vec<Problem>> {
    Config::empty().replaced(1, resources).map(|_| ())
}

pub(crate) fn problems(config: &Config) -> Vec<Problem> {
    config
        .resources()
        .flat_map(|resource| reference_problems(config, resource))
        .collect()
}

fn reference_problems(config: &Config, resource: &Resource) -> Vec<Problem> {
    let mut found = References {
        config,
        resource,
        problems: Vec::new(),
    };
    match &resource.spec {
        Spec::Team(team) => {
            team.versions
                .iter()
                .for_each(|name| found.version("spec.versions", name));
            team.services
                .iter()
                .for_each(|name| found.service("spec.services", name));
        }
        Spec::Service(_) => {}
        Spec::Version(version) => found.service("spec.service", &version.service),
        Spec::Upstream(upstream) => {
            found.service("spec.service", &upstream.service);
            upstream
                .versions
                .iter()
                .for_each(|name| found.version("spec.versions", name));
        }
        Spec::Rollout(rollout) => {
            found.version("spec.from", &rollout.from);
            found.version("spec.to", &rollout.to);
        }
        Spec::Objective(objective) => found.service("spec.service", &objective.service),
    }
    found.problems
}

struct References<'a> {
    config: &'a Config,
    resource: &'a Resource,
    problems: Vec<Problem>,
}

impl References<'_> {
    fn version(&mut self, field: &str, name: &str) {
        if self.config.versions.key(name).is_none() {
            self.missing(field, Kind::Version, name);
        }
    }

    fn service(&mut self, field: &str, name: &str) {
        if self.config.services.key(name).is_none() {
            self.missing(field, Kind::Service, name);
        }
    }

    fn missing(&mut self, field: &str, kind: Kind, name: &str) {
        self.problems.push(Problem {
            kind: self.resource.kind,
            name: self.resource.metadata.name.clone(),
            field: field.into(),
            message: format!("there is no {kind} `{name}`; create it first or in the same apply"),
        });
    }
}
