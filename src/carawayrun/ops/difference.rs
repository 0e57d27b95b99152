//! Differences between resources, for people.

use serde::Serialize;
use similar::TextDiff;

use crate::resource::{Change, ChangeItem, Resource};

/// Lines around a difference that are shown.
const CONTEXT_LINES: usize = 3;

/// Most items of a change that its summary names.
const MAX_ITEMS_SHOWN: usize = 4;

/// The difference an item makes, as a unified diff of YAML.
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

/// One line that says what a change did.
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

/// What an item does to its resource: `created`, `configured` or `deleted`.
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
