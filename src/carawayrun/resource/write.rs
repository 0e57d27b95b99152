//! Builds a change of the configuration, and the transaction that makes it,
//! from edits.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use snafu::Snafu;

use super::change::{Change, ChangeAction, ChangeItem, WriteId};
use super::check::Problem;
use super::config::Config;
use super::manifest::Resource;
use super::rows::{HEAD_KEY, Head, change_key, resource_key};
use super::spec::Kind;
use crate::store::table::{Condition, Put, Transaction};

/// Requested edit of one resource.
#[derive(Debug, Clone, PartialEq)]
pub enum Edit {
    /// Creates or replaces the resource. Its resource version, unless zero,
    /// must be the current one.
    Put(Box<Resource>),
    /// Deletes the resource.
    Delete {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: CompactString,
        /// Required resource version; zero for any.
        resource_version: u64,
    },
}

/// Author, reason and identifier of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Identifier that is unique to the write and the same over its retries.
    pub write_id: WriteId,
    /// Author: an operator's name, or a control task of a node.
    pub author: CompactString,
    /// Reason, for human readers.
    pub reason: CompactString,
    /// Time in RFC 3339, for human readers only.
    pub time: CompactString,
}

/// A change and the transaction that writes it.
///
/// After a lost answer the same transaction may be sent again: the write id in
/// the row of the change shows whether it took effect.
#[derive(Debug, Clone)]
pub struct ConfigWrite {
    /// Change from `config.generation` to the next generation.
    pub change: Change,
    /// Transaction, which takes effect only if `config.generation` is still the
    /// newest.
    pub transaction: Transaction,
}

/// Error of edits that can't be made.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditError {
    /// The resource has changed since the writer read it.
    #[snafu(display(
        "{kind}/{name} is at resource version {current}, not {expected}; read it again and repeat \
         the edit on that"
    ))]
    Conflict {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: CompactString,
        /// Resource version that the writer expects.
        expected: u64,
        /// Current resource version; zero if the resource does not exist.
        current: u64,
    },
    /// The resource to delete does not exist.
    #[snafu(display("there is no {kind} `{name}`"))]
    Missing {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: CompactString,
    },
    /// The resulting set of resources would not be a valid configuration.
    #[snafu(display("{}", join(problems)))]
    Invalid {
        /// All problems found.
        problems: Vec<Problem>,
    },
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl ConfigWrite {
    /// Builds the write of `edits` on top of `config`. Returns `None` if they
    /// change nothing.
    ///
    /// # Errors
    ///
    /// Returns an [`EditError`] if a precondition fails or the result is not a
    /// valid configuration.
    pub fn build(
        config: &Config,
        edits: &[Edit],
        origin: &Origin,
    ) -> Result<Option<Self>, EditError> {
        let generation = config.generation + 1;
        let mut items = Vec::new();
        for edit in edits {
            items.extend(build_item(config, edit, generation)?);
        }
        if items.is_empty() {
            return Ok(None);
        }
        let change = Change {
            generation,
            write_id: origin.write_id.clone(),
            author: origin.author.clone(),
            reason: origin.reason.clone(),
            time: origin.time.clone(),
            items,
        };
        let problems = new_problems(config, &change);
        if !problems.is_empty() {
            return InvalidSnafu { problems }.fail();
        }
        let transaction = build_transaction(config.generation, &change);
        Ok(Some(Self {
            change,
            transaction,
        }))
    }
}

/// Returns the problems that `change` introduces. Problems that existed before,
/// such as after a release with stricter checks, don't block other changes.
fn new_problems(config: &Config, change: &Change) -> Vec<Problem> {
    let before = config.problems();
    let mut after = config.with_change(change).problems();
    after.retain(|problem| !before.contains(problem));
    after
}

fn build_item(
    config: &Config,
    edit: &Edit,
    generation: u64,
) -> Result<Option<ChangeItem>, EditError> {
    match edit {
        Edit::Put(resource) => build_put(config, resource, generation),
        Edit::Delete {
            kind,
            name,
            resource_version,
        } => build_delete(config, *kind, name, *resource_version).map(Some),
    }
}

fn build_put(
    config: &Config,
    resource: &Resource,
    generation: u64,
) -> Result<Option<ChangeItem>, EditError> {
    let kind = resource.kind;
    let name = &resource.metadata.name;
    let before = config.resource(kind, name).cloned();
    check_version(
        kind,
        name,
        resource.metadata.resource_version,
        before.as_ref(),
    )?;
    if before
        .as_ref()
        .is_some_and(|before| before.spec == resource.spec)
    {
        return Ok(None);
    }
    let mut after = resource.clone();
    after.metadata.resource_version = generation;
    Ok(Some(ChangeItem {
        action: ChangeAction::Put,
        kind,
        name: name.clone(),
        before,
        after: Some(after),
    }))
}

fn build_delete(
    config: &Config,
    kind: Kind,
    name: &CompactString,
    version: u64,
) -> Result<ChangeItem, EditError> {
    let before = config.resource(kind, name).cloned();
    check_version(kind, name, version, before.as_ref())?;
    if before.is_none() {
        return MissingSnafu {
            kind,
            name: name.clone(),
        }
        .fail();
    }
    Ok(ChangeItem {
        action: ChangeAction::Delete,
        kind,
        name: name.clone(),
        before,
        after: None,
    })
}

fn check_version(
    kind: Kind,
    name: &CompactString,
    expected: u64,
    before: Option<&Resource>,
) -> Result<(), EditError> {
    let current = before.map_or(0, |resource| resource.metadata.resource_version);
    if expected == 0 || expected == current {
        return Ok(());
    }
    ConflictSnafu {
        kind,
        name: name.clone(),
        expected,
        current,
    }
    .fail()
}

fn build_transaction(generation: u64, change: &Change) -> Transaction {
    let mut transaction = Transaction {
        conditions: vec![
            Condition {
                key: HEAD_KEY.into(),
                version: generation,
            },
            Condition {
                key: change_key(change.generation),
                version: 0,
            },
        ],
        ..Transaction::default()
    };
    let head = Head {
        generation: change.generation,
    };
    transaction.puts.push(put(HEAD_KEY.into(), &head));
    transaction
        .puts
        .push(put(change_key(change.generation), change));
    for item in &change.items {
        let key = resource_key(item.kind, &item.name);
        match &item.after {
            Some(resource) => transaction.puts.push(put(key, resource)),
            None => transaction.deletes.push(key),
        }
    }
    transaction
}

fn put(key: CompactString, value: &impl Serialize) -> Put {
    Put {
        key,
        value: json(value),
    }
}

fn json(value: &impl Serialize) -> Box<RawValue> {
    to_raw_value(value).expect("resources can be written as JSON")
}
