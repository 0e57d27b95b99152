//! Checks of names and keys that must be unique over all resources.

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

use super::Problem;
use crate::resource::config::Config;
use crate::resource::manifest::Resource;
use crate::resource::spec::{Kind, Spec};

/// Returns a problem for each repeated resource of a set.
pub(super) fn find_duplicates(resources: &[Resource]) -> Vec<Problem> {
    let mut seen = FxHashSet::default();
    let repeated = resources.iter().filter(|resource| {
        let id = (resource.kind, resource.metadata.name.clone());
        !seen.insert(id)
    });
    repeated
        .map(|resource| {
            problem(
                resource,
                "metadata.name",
                "stands in the manifests twice; remove one".to_owned(),
            )
        })
        .collect()
}

pub(super) fn check(config: &Config) -> Vec<Problem> {
    let mut found = find_shared_keys(config);
    found.extend(find_versions_named_as_models(config));
    found.extend(find_rollouts_of_one_model(config));
    found
}

/// Finds keys that several teams have. A shared key could attribute one team's
/// calls to another.
fn find_shared_keys(config: &Config) -> Vec<Problem> {
    let mut owners: FxHashMap<CompactString, &CompactString> = FxHashMap::default();
    let mut found = Vec::new();
    for resource in of_kind(config, Kind::Team) {
        let Spec::Team(team) = &resource.spec else {
            continue;
        };
        let name = &resource.metadata.name;
        for digest in &team.key_digests {
            let owner = *owners.entry(digest.to_ascii_lowercase()).or_insert(name);
            if owner != name {
                let message =
                    format!("`{digest}` is a key of team `{owner}` too; give each team its own");
                found.push(problem(resource, "spec.keyDigests", message));
            }
        }
    }
    found
}

/// Finds versions that have the name of a model. Callers name a model or a
/// version in the same field.
fn find_versions_named_as_models(config: &Config) -> Vec<Problem> {
    let models: FxHashSet<&CompactString> = config
        .versions
        .iter()
        .map(|(_, named)| &named.spec.model)
        .collect();
    let clashes =
        of_kind(config, Kind::Version).filter(|resource| models.contains(&resource.metadata.name));
    clashes
        .map(|resource| {
            let message =
                "is the name of a model too; callers could not tell them apart".to_owned();
            problem(resource, "metadata.name", message)
        })
        .collect()
}

/// Finds several roll-outs of one model, which would split the same traffic.
fn find_rollouts_of_one_model(config: &Config) -> Vec<Problem> {
    let mut rollouts: FxHashMap<&CompactString, &CompactString> = FxHashMap::default();
    let mut found = Vec::new();
    for resource in of_kind(config, Kind::Rollout) {
        let Spec::Rollout(rollout) = &resource.spec else {
            continue;
        };
        let name = &resource.metadata.name;
        let first = *rollouts.entry(&rollout.model).or_insert(name);
        if first != name {
            let message = format!(
                "`{}` has the roll-out `{first}` already; delete one",
                rollout.model
            );
            found.push(problem(resource, "spec.model", message));
        }
    }
    found
}

fn of_kind(config: &Config, kind: Kind) -> impl Iterator<Item = &Resource> {
    config
        .resources()
        .filter(move |resource| resource.kind == kind)
}

fn problem(resource: &Resource, field: &str, message: String) -> Problem {
    Problem {
        kind: resource.kind,
        name: resource.metadata.name.clone(),
        field: field.into(),
        message,
    }
}
