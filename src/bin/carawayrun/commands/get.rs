//! `carawayrun get`.

use bpaf::Bpaf;
use carawayrun::ops::api::{ListBody, ResourceView};
use carawayrun::resource::{Kind, Spec};
use serde::Serialize;

use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};
use crate::table::Table;

/// Lists resources or shows one
///
///
/// Kinds: team, service, version, upstream, rollout, objective.
///
///
/// Examples:
///    carawayrun get versions
///    carawayrun get team shops-north --output yaml
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("get"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    #[bpaf(external(output_format))]
    output: Format,
    /// Kind of the resources
    #[bpaf(positional("KIND"))]
    kind: Kind,
    /// Name of a resource; all resources of the kind if absent
    #[bpaf(positional("NAME"), optional)]
    name: Option<String>,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?;
    let kind = options.kind;
    block_on(async {
        if let Some(name) = &options.name {
            let path = format!("/apis/v1/{kind}/{name}");
            let found: ResourceView = client.get(&path).await.map_err(call_error)?;
            print_resources(options, &found, std::slice::from_ref(&found), output);
        } else {
            let path = format!("/apis/v1/{kind}");
            let found: ListBody = client.get(&path).await.map_err(call_error)?;
            print_resources(options, &found, &found.items, output);
        }
        Ok(())
    })
}

fn print_resources(
    options: &Options,
    whole: &impl Serialize,
    items: &[ResourceView],
    output: &mut Output,
) {
    match options.output {
        Format::Json => output.print(&json_text(whole)),
        Format::Yaml => output.print(&yaml_documents(items)),
        Format::Table => output.print(&table(options.kind, items).render()),
    }
}

/// Returns one YAML document per resource, as `apply` accepts them.
fn yaml_documents(items: &[ResourceView]) -> String {
    let documents: Vec<String> = items.iter().map(yaml_text).collect();
    documents.join("---\n")
}

fn table(kind: Kind, items: &[ResourceView]) -> Table {
    let mut headers = vec!["NAME", "CHANGED", "IN FORCE"];
    headers.extend(columns(kind));
    let mut table = Table::new(&headers);
    for item in items {
        let mut cells = vec![
            item.resource.metadata.name.to_string(),
            item.resource.metadata.resource_version.to_string(),
            format!("{}/{}", item.status.in_force, item.status.live),
        ];
        cells.extend(spec_cells(item));
        table.add_row(cells);
    }
    table
}

fn columns(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Team => &["KEYS", "RATE", "CONCURRENCY", "VERSIONS", "SERVICES"],
        Kind::Service => &["BACKEND", "TASKS", "ROUTES"],
        Kind::Version => &["MODEL", "SERVICE", "PHASE", "PRICE", "SERVING"],
        Kind::Upstream => &["SERVICE", "DATA CENTRE", "SLOTS", "SERVING", "VERSIONS"],
        Kind::Rollout => &["MODEL", "FROM", "TO", "PHASE", "SHARE"],
        Kind::Objective => &["SERVICE", "TASK", "TEAM", "INDICATOR", "TARGET", "WINDOW"],
    }
}

fn spec_cells(item: &ResourceView) -> Vec<String> {
    match &item.resource.spec {
        Spec::Team(team) => vec![
            team.key_digests.len().to_string(),
            team.limits.rate.to_string(),
            team.limits.concurrency.to_string(),
            team.versions.join(","),
            team.services.join(","),
        ],
        Spec::Service(service) => vec![
            variant_name(&service.backend),
            service.tasks.len().to_string(),
            service.routes.len().to_string(),
        ],
        Spec::Version(version) => vec![
            version.model.to_string(),
            version.service.to_string(),
            variant_name(&version.phase),
            format!(
                "{}/{}/{}",
                version.price.prompt, version.price.cached, version.price.completion
            ),
            serving_reason(item),
        ],
        Spec::Upstream(upstream) => vec![
            upstream.service.to_string(),
            upstream.data_centre.to_string(),
            upstream.slots.to_string(),
            serving_reason(item),
            upstream.versions.join(","),
        ],
        Spec::Rollout(rollout) => vec![
            rollout.model.to_string(),
            rollout.from.to_string(),
            rollout.to.to_string(),
            item.status
                .rollout
                .as_ref()
                .map_or_else(|| "-".to_owned(), |state| variant_name(&state.phase)),
            item.status
                .rollout
                .as_ref()
                .map_or_else(|| "-".to_owned(), |state| state.share.to_string()),
        ],
        Spec::Objective(objective) => vec![
            objective.service.to_string(),
            objective.task.as_deref().unwrap_or("*").to_owned(),
            objective.team.as_deref().unwrap_or("*").to_owned(),
            variant_name(&objective.indicator),
            objective.target.to_string(),
            format!("{}d", objective.window_days),
        ],
    }
}

fn serving_reason(item: &ResourceView) -> String {
    let condition = item
        .status
        .conditions
        .iter()
        .find(|condition| condition.name == "Serving");
    condition.map_or_else(|| "-".to_owned(), |condition| condition.reason.to_string())
}

/// Returns the serialized name of a unit variant.
pub(crate) fn variant_name(value: &impl Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_owned()
}
