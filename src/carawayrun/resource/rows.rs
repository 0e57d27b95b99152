//! Keys of the configuration's rows in the table service.
//!
//! The first change creates `config/head` and every change writes it once, so
//! the version of that row is the generation.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use super::spec::Kind;

/// Key of the row that holds the generation.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the keys of the rows of changes, which sort by generation.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Prefix of the keys of the rows of resources.
pub const RESOURCE_PREFIX: &str = "config/resource/";

/// Value of the row with the key [`HEAD_KEY`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Head {
    /// Newest generation.
    pub generation: u64,
}

/// Returns the key of a change's row.
pub fn change_key(generation: u64) -> CompactString {
    format_compact!("{CHANGE_PREFIX}{generation:016x}")
}

/// Returns the key of a resource's row.
pub fn resource_key(kind: Kind, name: &str) -> CompactString {
    format_compact!("{RESOURCE_PREFIX}{kind}/{name}")
}
