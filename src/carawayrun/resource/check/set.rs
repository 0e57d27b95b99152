//! Checks of what must be unique over all resources.

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

use super::Problem;
use crate::resource::config::Config;
use crate::resource::manifest::Resource;
use crate::resource::spec::{Kind, Spec};

/// Resources that stand in a set twice.
pub(super) fn doubled(resources: &[Resource]) -> Vec<Problem> {
    let mut seen = FxHashSet::default();
    let again = resources.iter().filter(|resource| {
        let id = (resource.kind, resource.metadata.name.clone());
        !seen.insert(id)
    });
    again
        .map(|resource| {
            problem(
                resource,
                "metadata.name",
                "stands in the manifests twice; remove one".to_owned(),
            )
        })
        .collect()
}

pub(super) fn problems(config: &Config) -> Vec<Problem> {
    let mut found = shared_keys(config);
    found.extend(versions_named_as_models(config));
    found.extend(rollouts_of_one_model(config));
    found
}

/// A key belongs to one team, else its calls could be taken for another's.
fn shared_keys(config: &Config) -> Vec<Problem> {
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

/// Callers name a model or a version in the same field.
fn versions_named_as_models(config: &Config) -> Vec<Problem> {
    let models: FxHashSet<&CompactString> = config
        .versions
        .iter()
        .map(|(_, named)| &named.spec.model)
        .collect();
    let clashing =
        of_kind(config, Kind::Version).filter(|resource| models.contains(&resource.metadata.name));
    clashing
        .map(|resource| {
            let message =
                "is the name of a model too; callers could not tell them apart".to_owned();
            problem(resource, "metadata.name", message)
        })
        .collect()
}

/// Two roll-outs of one model would split the same traffic.
fn rollouts_of_one_model(config: &Config) -> Vec<Problem> {
    let mut moving: FxHashMap<&CompactString, &CompactString> = FxHashMap::default();
    let mut found = Vec::new();
    for resource in of_kind(config, Kind::Rollout) {
        let Spec::Rollout(rollout) = &resource.spec else {
            continue;
        };
        let name = &resource.metadata.name;
        let first = *moving.entry(&rollout.model).or_insert(name);
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
