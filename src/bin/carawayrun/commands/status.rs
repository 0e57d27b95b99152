//! `carawayrun status`.

use bpaf::Bpaf;
use carawayrun::ops::api::StatusBody;

use super::get::json_word;
use crate::failure::Failure;
use crate::format::{Format, form, json_text, yaml_text};
use crate::output::Output;
use crate::remote::{Remote, block_on, call_failure, remote};
use crate::table::Table;

/// Shows what a gateway knows: generation, members, agents and roll-outs
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
    #[bpaf(external(form))]
    output: Format,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), Failure> {
    let client = options.remote.client()?;
    block_on(async {
        let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_failure)?;
        match options.output {
            Format::Json => output.print(&json_text(&status)),
            Format::Yaml => output.print(&yaml_text(&status)),
            Format::Table => tables(&status, output),
        }
        Ok(())
    })
}

fn tables(status: &StatusBody, output: &mut Output) {
    let closed = if status.closed.is_empty() {
        String::new()
    } else {
        format!(", takes no requests: {}", status.closed)
    };
    output.line(&format!(
        "{} at generation {}{closed}",
        status.node, status.generation
    ));
    output.line("");
    output.print(&members(status).render());
    if !status.agents.is_empty() {
        output.line("");
        output.print(&agents(status).render());
    }
    if !status.rollouts.is_empty() {
        output.line("");
        output.print(&rollouts(status).render());
    }
    if !status.suspended.is_empty() {
        output.line("");
        output.line(&format!("suspended: {}", status.suspended.join(", ")));
    }
}

fn members(status: &StatusBody) -> Table {
    let mut table = Table::new(&["NODE", "ROLE", "DATA CENTRE", "STATE", "GENERATION"]);
    for member in &status.members {
        table.row(vec![
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
        table.row(vec![
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
        table.row(vec![
            rollout.name.to_string(),
            rollout.model.to_string(),
            rollout.from.to_string(),
            rollout.to.to_string(),
            json_word(&rollout.status.phase),
            rollout.status.share.to_string(),
        ]);
    }
    table
}
