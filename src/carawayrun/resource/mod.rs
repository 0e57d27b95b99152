//! Resources that operators write: their types, their checks and the
//! configuration built from them.
//!
//! The API transfers a [`Resource`]. A [`Config`] holds all resources at one
//! generation, with names resolved to small keys; the policy and the traffic
//! threads read only the [`Config`].

mod change;
mod check;
mod config;
mod digest;
mod manifest;
mod rows;
mod spec;
mod write;

pub use self::change::{Change, ChangeAction, ChangeItem, WriteId};
pub use self::check::{Problem, check_set};
pub use self::config::{
    Arena, Config, Named, ObjectiveKey, RolloutKey, ServiceKey, TeamKey, UpstreamKey, VersionKey,
};
pub use self::digest::{DIGEST_DIGITS, key_digest};
pub use self::manifest::{
    API_VERSION, Metadata, ParseManifestError, Resource, parse_manifests, parse_resource,
};
pub use self::rows::{CHANGE_PREFIX, HEAD_KEY, Head, RESOURCE_PREFIX, change_key, resource_key};
pub use self::spec::{
    Backend, Indicator, Kind, Limits, Objective, Phase, Price, Rollout, Route, Service, Spec, Task,
    TaskClass, Team, Upstream, Version, Weights,
};
pub use self::write::{ConfigWrite, Edit, EditError, Origin};
