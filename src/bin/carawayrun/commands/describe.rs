//! `carawayrun describe`.

use bpaf::Bpaf;
use carawayrun::ops::api::{AuditBody, ResourceView};
use carawayrun::ops::item_verb;
use carawayrun::resource::{Change, Kind};

use crate::failure::Failure;
use crate::format::yaml_text;
use crate::output::Output;
use crate::remote::{Remote, block_on, call_failure, remote};
use crate::table::Table;

/// Newest changes among which those of the resource are looked for.
const LOOKED_AT: u64 = 1000;

/// Most entries of the audit trail that are shown.
const HISTORY: usize = 10;

/// Shows one resource: desired state, conditions and its last changes
///
///
/// Example:
///    carawayrun describe version scene-large-3
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("describe"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    /// Kind of the resource
    #[bpaf(positional("KIND"))]
    kind: Kind,
    /// Name of the resource
    #[bpaf(positional("NAME"))]
    name: String,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), Failure> {
    let client = options.remote.client()?;
    let Options { kind, name, .. } = options;
    block_on(async {
        let path = format!("/apis/v1/{kind}/{name}");
        let found: ResourceView = client.get(&path).await.map_err(call_failure)?;
        output.line(&format!(
            "{kind}/{name}, changed in generation {}",
            found.resource.metadata.resource_version
        ));
        output.print(&yaml_text(&found.resource.spec));
        output.line("");
        output.print(&conditions(&found).render());
        output.line("");
        let after = found.status.generation.saturating_sub(LOOKED_AT);
        let path = format!("/apis/v1/audit?after={after}");
        match client.get::<AuditBody>(&path).await {
            Ok(audit) => output.print(&history(&audit.changes, options).render()),
            Err(error) => output.line(&format!("no audit trail: {error}")),
        }
        Ok(())
    })
}

fn conditions(found: &ResourceView) -> Table {
    let mut table = Table::new(&["CONDITION", "HOLDS", "REASON", "SINCE", "MESSAGE"]);
    for condition in &found.status.conditions {
        table.row(vec![
            condition.name.to_string(),
            condition.holds.to_string(),
            condition.reason.to_string(),
            condition.since.to_string(),
            condition.message.to_string(),
        ]);
    }
    table
}

fn history(changes: &[Change], options: &Options) -> Table {
    let mut table = Table::new(&["GENERATION", "TIME", "AUTHOR", "ACTION", "WHY"]);
    let touching = changes.iter().rev().filter_map(|change| {
        let mut items = change.items.iter();
        let item = items.find(|item| item.kind == options.kind && item.name == options.name)?;
        Some((change, item_verb(item)))
    });
    for (change, verb) in touching.take(HISTORY) {
        table.row(vec![
            change.generation.to_string(),
            change.time.to_string(),
            change.author.to_string(),
            verb.to_owned(),
            change.reason.to_string(),
        ]);
    }
    table
}
