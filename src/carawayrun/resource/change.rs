//! Accepted changes of the configuration.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::manifest::Resource;
use super::spec::Kind;

/// Identifier of one write, by which a writer whose answer was lost can find
/// out whether its write took effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WriteId(pub CompactString);

/// Action of a change on one resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ChangeAction {
    /// The resource was created or replaced.
    Put,
    /// The resource was deleted.
    Delete,
}

/// The part of a change that touches one resource.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ChangeItem {
    /// Action on the resource.
    pub action: ChangeAction,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: CompactString,
    /// The resource before the change; absent if it did not exist.
    pub before: Option<Resource>,
    /// The resource after the change; absent if it was deleted.
    pub after: Option<Resource>,
}

/// One accepted change: the step from `generation - 1` to `generation`.
///
/// The rows of all changes are the audit trail.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Change {
    /// Generation that results from this change.
    pub generation: u64,
    /// Identifier of the write that made the change.
    pub write_id: WriteId,
    /// Author: an operator's name, or a control task of a node.
    pub author: CompactString,
    /// Reason, for human readers.
    pub reason: CompactString,
    /// Time of the write in RFC 3339, for human readers only.
    pub time: CompactString,
    /// Changed resources.
    pub items: Vec<ChangeItem>,
}
