//! Checks of resources, one by one and together.
//!
//! A problem names the field, the value and what is accepted. `fields` looks
//! at each spec by itself, `references` at the names in it, and `set` at what
//! must be unique over all resources.

mod fields;
mod findings;
mod references;
mod set;

use std::fmt;

use compact_str::CompactString;

use super::config::Config;
use super::manifest::Resource;
use super::spec::Kind;

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
/// All problems found, in the order of kinds and names.
pub fn check_set(resources: &[Resource]) -> Result<(), Vec<Problem>> {
    let doubled = set::doubled(resources);
    match Config::empty().with_resources(1, resources) {
        Ok(_) if doubled.is_empty() => Ok(()),
        Ok(_) => Err(doubled),
        Err(problems) => Err(doubled.into_iter().chain(problems).collect()),
    }
}

pub(crate) fn problems(config: &Config) -> Vec<Problem> {
    let single = config.resources().flat_map(|resource| {
        let mut found = fields::problems(resource);
        found.extend(references::problems(config, resource));
        found
    });
    single.chain(set::problems(config)).collect()
}
