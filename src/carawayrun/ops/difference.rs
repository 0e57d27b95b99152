//! Text that shows changes of resources to operators.

use serde::Serialize;
use similar::TextDiff;

use crate::resource::{Change, ChangeItem, Resource};

/// Number of unchanged lines shown before and after each difference.
const CONTEXT_LINES: usize = 3;

/// Maximum number of items listed in the summary of a change.
const MAX_ITEMS_SHOWN: usize = 4;

/// Returns the unified diff of the YAML specs before and after an item.
pub fn item_difference(item: &ChangeItem) -> String {
    let before = item.before.as_ref().map_or_else(String::new, spec_yaml);
    let after = item.after.as_ref().map_or_else(String::new, spec_yaml);
    let name = format!("{}/{}", item.kind, item.name);
    TextDiff::from_lines(&before, &after)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(&format!("a/{name}"), &format!("b/{name}"))
        .to_string()
}

/// Summarizes a change in one line.
pub fn change_summary(change: &Change) -> String {
    let shown = change.items.iter().take(MAX_ITEMS_SHOWN);
    let mut items: Vec<String> = shown.map(item_summary).collect();
    if change.items.len() > MAX_ITEMS_SHOWN {
        items.push(format!("and {} more", change.items.len() - MAX_ITEMS_SHOWN));
    }
    let mut line = format!(
        "{} {} by {}: {}",
        change.generation,
        change.time,
        change.author,
        items.join(", ")
    );
    if !change.reason.is_empty() {
        line.push_str(" (");
        line.push_str(&change.reason);
        line.push(')');
    }
    line
}

/// Returns the effect of an item: `created`, `configured` or `deleted`.
pub fn item_verb(item: &ChangeItem) -> &'static str {
    match (&item.before, &item.after) {
        (None, Some(_)) => "created",
        (_, None) => "deleted",
        _ => "configured",
    }
}

fn item_summary(item: &ChangeItem) -> String {
    format!("{} {}/{}", item_verb(item), item.kind, item.name)
}

#[derive(Serialize)]
struct SpecDocument<'a> {
    spec: &'a crate::resource::Spec,
}

fn spec_yaml(resource: &Resource) -> String {
    let document = SpecDocument {
        spec: &resource.spec,
    };
    serde_yaml_ng::to_string(&document).expect("specs can be written as YAML")
}
