//! Configuration at one generation, with names resolved to keys.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use super::change::{Change, ChangeAction};
use super::check::Problem;
use super::manifest::Resource;
use super::spec::{Kind, Objective, Rollout, Service, Spec, Team, Upstream, Version};

new_key_type! {
    /// Key of a team.
    pub struct TeamKey;
    /// Key of a service.
    pub struct ServiceKey;
    /// Key of a version.
    pub struct VersionKey;
    /// Key of an upstream.
    pub struct UpstreamKey;
    /// Key of a roll-out.
    pub struct RolloutKey;
    /// Key of an objective.
    pub struct ObjectiveKey;
}

/// A named entry of an arena.
#[derive(Debug, Clone, PartialEq)]
pub struct Named<T> {
    /// Name of the resource.
    pub name: CompactString,
    /// Desired state of the resource.
    pub spec: T,
}

/// Entries of one kind, by key and by name.
#[derive(Debug, Clone)]
pub struct Arena<K: slotmap::Key, T> {
    entries: SlotMap<K, Named<T>>,
    names: FxHashMap<CompactString, K>,
}

impl<K: slotmap::Key, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            names: FxHashMap::default(),
        }
    }
}

impl<K: slotmap::Key, T> Arena<K, T> {
    /// Returns the entry with this key, if it still exists.
    pub fn get(&self, key: K) -> Option<&Named<T>> {
        self.entries.get(key)
    }

    /// Returns the key of the entry with this name.
    pub fn key(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Returns the entry with this name.
    pub fn by_name(&self, name: &str) -> Option<&Named<T>> {
        self.key(name).and_then(|key| self.get(key))
    }

    /// Iterates over all entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &Named<T>)> {
        self.entries.iter()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the arena has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn put(&mut self, name: CompactString, spec: T) {
        if let Some(entry) = self.key(&name).and_then(|key| self.entries.get_mut(key)) {
            entry.spec = spec;
            return;
        }
        let key = self.entries.insert(Named {
            name: name.clone(),
            spec,
        });
        self.names.insert(name, key);
    }

    fn remove(&mut self, name: &str) {
        if let Some(key) = self.names.remove(name) {
            self.entries.remove(key);
        }
    }
}

/// All resources at one generation, which were checked when they were written.
///
/// Within a process, a resource keeps its key over all generations as long as
/// it exists.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Generation; zero before the first change.
    pub generation: u64,
    /// All teams.
    pub teams: Arena<TeamKey, Team>,
    /// All services.
    pub services: Arena<ServiceKey, Service>,
    /// All versions.
    pub versions: Arena<VersionKey, Version>,
    /// All upstreams.
    pub upstreams: Arena<UpstreamKey, Upstream>,
    /// All roll-outs.
    pub rollouts: Arena<RolloutKey, Rollout>,
    /// All objectives.
    pub objectives: Arena<ObjectiveKey, Objective>,
    resources: BTreeMap<ResourceId, Resource>,
    teams_by_digest: FxHashMap<CompactString, TeamKey>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ResourceId {
    kind: Kind,
    name: CompactString,
}

impl ResourceId {
    fn of(resource: &Resource) -> Self {
        Self {
            kind: resource.kind,
            name: resource.metadata.name.clone(),
        }
    }
}

impl Config {
    /// Returns the configuration before the first change.
    pub fn empty() -> Self {
        Self::default()
    }

    /// Iterates over all resources, ordered by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// Returns the resource with this kind and name.
    pub fn resource(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(&ResourceId {
            kind,
            name: name.into(),
        })
    }

    /// Returns the team that has a key with this SHA-256 digest, in lower-case
    /// hexadecimal.
    pub fn team_by_digest(&self, digest: &str) -> Option<TeamKey> {
        self.teams_by_digest.get(digest).copied()
    }

    /// Returns the configuration after `change`, which is not checked again.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.generation = change.generation;
        for item in &change.items {
            match (item.action, &item.after) {
                (ChangeAction::Put, Some(resource)) => next.put(resource.clone()),
                _ => next.remove(item.kind, &item.name),
            }
        }
        next.index_key_digests();
        next
    }

    /// Returns the configuration of exactly `resources`, with the keys of
    /// `self`.
    ///
    /// # Errors
    ///
    /// Returns all problems found: those of single resources, ordered by kind
    /// and name, then those of the whole set.
    pub fn with_resources(
        &self,
        generation: u64,
        resources: &[Resource],
    ) -> Result<Self, Vec<Problem>> {
        let next = self.with_unchecked_resources(generation, resources);
        let problems = next.problems();
        if problems.is_empty() {
            Ok(next)
        } else {
            Err(problems)
        }
    }

    /// Does the same as [`Config::with_resources`] for resources that were
    /// accepted before, without checks: stricter checks of a later release must
    /// not keep a node from following the configuration.
    #[must_use]
    pub fn with_unchecked_resources(&self, generation: u64, resources: &[Resource]) -> Self {
        let mut next = self.clone();
        next.generation = generation;
        let listed: Vec<ResourceId> = resources.iter().map(ResourceId::of).collect();
        let removed: Vec<ResourceId> = next
            .resources
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in removed {
            next.remove(id.kind, &id.name);
        }
        for resource in resources {
            next.put(resource.clone());
        }
        next.index_key_digests();
        next
    }

    fn put(&mut self, resource: Resource) {
        let name = resource.metadata.name.clone();
        match resource.spec.clone() {
            Spec::Team(spec) => self.teams.put(name, spec),
            Spec::Service(spec) => self.services.put(name, spec),
            Spec::Version(spec) => self.versions.put(name, spec),
            Spec::Upstream(spec) => self.upstreams.put(name, spec),
            Spec::Rollout(spec) => self.rollouts.put(name, spec),
            Spec::Objective(spec) => self.objectives.put(name, spec),
        }
        self.resources.insert(ResourceId::of(&resource), resource);
    }

    fn remove(&mut self, kind: Kind, name: &CompactString) {
        match kind {
            Kind::Team => self.teams.remove(name),
            Kind::Service => self.services.remove(name),
            Kind::Version => self.versions.remove(name),
            Kind::Upstream => self.upstreams.remove(name),
            Kind::Rollout => self.rollouts.remove(name),
            Kind::Objective => self.objectives.remove(name),
        }
        self.resources.remove(&ResourceId {
            kind,
            name: name.clone(),
        });
    }

    fn index_key_digests(&mut self) {
        self.teams_by_digest.clear();
        for (key, team) in self.teams.iter() {
            for digest in &team.spec.key_digests {
                self.teams_by_digest
                    .insert(digest.to_ascii_lowercase(), key);
            }
        }
    }

    /// Checks this set of resources and returns all problems found.
    pub fn problems(&self) -> Vec<Problem> {
        super::check::problems(self)
    }
}
