//! One accepted change of the configuration.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::manifest::Resource;
use super::spec::Kind;

/// Identifies one attempt to write, so that a writer whose answer was lost can
/// find out whether its write took effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WriteId(pub CompactString);

/// What a change did to one resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ChangeAction {
    /// Created or replaced it.
    Put,
    /// Removed it.
    Delete,
}

/// The part of a change that touches one resource.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ChangeItem {
    /// What was done.
    pub action: ChangeAction,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: CompactString,
    /// The resource before; absent where it did not exist.
    pub before: Option<Resource>,
    /// The resource after; absent where it was removed.
    pub after: Option<Resource>,
}

/// One accepted change: the step from `generation - 1` to `generation`.
///
/// The rows of all changes are the audit trail.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Change {
    /// Generation this change leads to.
    pub generation: u64,
    /// The write that made it.
    pub write_id: WriteId,
    /// Who made it: an operator's name, or the control work of a node.
    pub author: CompactString,
    /// Why, for people.
    pub reason: CompactString,
    /// When it was written, RFC 3339; for people only.
    pub time: CompactString,
    /// What was changed.
    pub items: Vec<ChangeItem>,
}
