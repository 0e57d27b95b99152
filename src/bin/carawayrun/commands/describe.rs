//! `carawayrun describe`.

use bpaf::Bpaf;
use carawayrun::ops::api::{AuditBody, ResourceView};
use carawayrun::ops::item_verb;
use carawayrun::resource::{Change, Kind};

use crate::error::CliError;
use crate::format::yaml_text;
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};
use crate::table::Table;

/// Number of newest generations that are searched for changes of the resource.
const SEARCHED_GENERATIONS: u64 = 1000;

/// Maximum number of changes shown.
const MAX_HISTORY_ROWS: usize = 10;

/// Shows a resource: desired state, conditions and latest changes
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

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?;
    let Options { kind, name, .. } = options;
    block_on(async {
        let path = format!("/apis/v1/{kind}/{name}");
        let found: ResourceView = client.get(&path).await.map_err(call_error)?;
        output.print_line(&format!(
            "{kind}/{name}, changed in generation {}",
            found.resource.metadata.resource_version
        ));
        output.print(&yaml_text(&found.resource.spec));
        output.print_line("");
        output.print(&conditions(&found).render());
        output.print_line("");
        let after = found.status.generation.saturating_sub(SEARCHED_GENERATIONS);
        let path = format!("/apis/v1/audit?after={after}");
        match client.get::<AuditBody>(&path).await {
            Ok(audit) => output.print(&history(&audit.changes, options).render()),
            Err(error) => output.print_line(&format!("audit trail not available: {error}")),
        }
        Ok(())
    })
}

fn conditions(found: &ResourceView) -> Table {
    let mut table = Table::new(&["CONDITION", "HOLDS", "REASON", "SINCE", "MESSAGE"]);
    for condition in &found.status.conditions {
        table.add_row(vec![
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
    let matching = changes.iter().rev().filter_map(|change| {
        let mut items = change.items.iter();
        let item = items.find(|item| item.kind == options.kind && item.name == options.name)?;
        Some((change, item_verb(item)))
    });
    for (change, verb) in matching.take(MAX_HISTORY_ROWS) {
        table.add_row(vec![
            change.generation.to_string(),
            change.time.to_string(),
            change.author.to_string(),
            verb.to_owned(),
            change.reason.to_string(),
        ]);
    }
    table
}
