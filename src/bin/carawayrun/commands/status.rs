//! `carawayrun status`.

use bpaf::Bpaf;
use carawayrun::ops::api::StatusBody;

use super::get::variant_name;
use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};
use crate::table::Table;

/// Shows the state of a gateway: generation, members, agents and roll-outs
///
///
/// Example:
///    carawayrun status --output json
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("status"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    #[bpaf(external(output_format))]
    output: Format,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?;
    block_on(async {
        let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_error)?;
        match options.output {
            Format::Json => output.print(&json_text(&status)),
            Format::Yaml => output.print(&yaml_text(&status)),
            Format::Table => print_tables(&status, output),
        }
        Ok(())
    })
}

fn print_tables(status: &StatusBody, output: &mut Output) {
    let closed = if status.closed.is_empty() {
        String::new()
    } else {
        format!(", accepts no requests: {}", status.closed)
    };
    output.print_line(&format!(
        "{} at generation {}{closed}",
        status.node, status.generation
    ));
    output.print_line("");
    output.print(&members(status).render());
    if !status.agents.is_empty() {
        output.print_line("");
        output.print(&agents(status).render());
    }
    if !status.rollouts.is_empty() {
        output.print_line("");
        output.print(&rollouts(status).render());
    }
    if !status.suspended.is_empty() {
        output.print_line("");
        output.print_line(&format!("suspended: {}", status.suspended.join(", ")));
    }
}

fn members(status: &StatusBody) -> Table {
    let mut table = Table::new(&["NODE", "ROLE", "DATA CENTRE", "STATE", "GENERATION"]);
    for member in &status.members {
        table.add_row(vec![
            member.node.to_string(),
            member.role.to_string(),
            member.data_centre.to_string(),
            member.state.to_string(),
            member.generation.to_string(),
        ]);
    }
    table
}

fn agents(status: &StatusBody) -> Table {
    let mut table = Table::new(&[
        "UPSTREAM",
        "DATA CENTRE",
        "OPEN",
        "RUNNING",
        "QUEUED",
        "SLOTS",
        "WARM",
    ]);
    for agent in &status.agents {
        table.add_row(vec![
            agent.upstream.to_string(),
            agent.data_centre.to_string(),
            agent.open.to_string(),
            agent.running.to_string(),
            agent.queued.to_string(),
            agent.slots.to_string(),
            agent.warm.join(","),
        ]);
    }
    table
}

fn rollouts(status: &StatusBody) -> Table {
    let mut table = Table::new(&["ROLLOUT", "MODEL", "FROM", "TO", "PHASE", "SHARE"]);
    for rollout in &status.rollouts {
        table.add_row(vec![
            rollout.name.to_string(),
            rollout.model.to_string(),
            rollout.from.to_string(),
            rollout.to.to_string(),
            variant_name(&rollout.status.phase),
            rollout.status.share.to_string(),
        ]);
    }
    table
}
