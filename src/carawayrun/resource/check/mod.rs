//! Checks of single resources and of the whole set.
//!
//! A problem names the field, the value and the accepted values. `fields`
//! checks the fields of each resource, `references` the names of other
//! resources in its spec, and `set` what must be unique over all resources.

mod fields;
mod findings;
mod references;
mod set;

use std::fmt;

use compact_str::CompactString;

use super::config::Config;
use super::manifest::Resource;
use super::spec::Kind;

/// A problem found in a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: CompactString,
    /// Path of the field within the resource.
    pub field: CompactString,
    /// Description of the problem and of the accepted values.
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

/// Checks that `resources` form a valid configuration.
///
/// # Errors
///
/// Returns all problems found: repeated resources first, then problems of single
/// resources, ordered by kind and name, then those of the whole set.
pub fn check_set(resources: &[Resource]) -> Result<(), Vec<Problem>> {
    let duplicates = set::find_duplicates(resources);
    match Config::empty().with_resources(1, resources) {
        Ok(_) if duplicates.is_empty() => Ok(()),
        Ok(_) => Err(duplicates),
        Err(problems) => Err(duplicates.into_iter().chain(problems).collect()),
    }
}

pub(crate) fn problems(config: &Config) -> Vec<Problem> {
    let single = config.resources().flat_map(|resource| {
        let mut found = fields::check(resource);
        found.extend(references::check(config, resource));
        found
    });
    single.chain(set::check(config)).collect()
}
