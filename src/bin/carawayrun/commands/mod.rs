//! The commands. Each module has a parser `cli()` and a function `exec()`.

mod agent;
mod apply;
mod check;
mod completions;
mod delete;
mod describe;
mod digest;
mod evacuations;
mod gateway;
mod get;
mod quarantine;
mod relay;
mod report;
mod rollout;
mod settings;
mod status;
mod watch;
mod why;

use bpaf::Bpaf;

use crate::error::CliError;
use crate::output::Output;

/// Commands:
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) enum Command {
    Gateway(#[bpaf(external(gateway::cli), map(Box::new))] Box<gateway::Options>),
    Agent(#[bpaf(external(agent::cli), map(Box::new))] Box<agent::Options>),
    Relay(#[bpaf(external(relay::cli))] relay::Options),
    Apply(#[bpaf(external(apply::cli))] apply::Options),
    Get(#[bpaf(external(get::cli))] get::Options),
    Describe(#[bpaf(external(describe::cli))] describe::Options),
    Watch(#[bpaf(external(watch::cli))] watch::Options),
    Delete(#[bpaf(external(delete::cli))] delete::Options),
    Rollout(#[bpaf(external(rollout::cli))] rollout::Options),
    Status(#[bpaf(external(status::cli))] status::Options),
    Report(#[bpaf(external(report::cli))] report::Options),
    Why(#[bpaf(external(why::cli))] why::Options),
    Quarantine(#[bpaf(external(quarantine::cli))] quarantine::Options),
    Evacuations(#[bpaf(external(evacuations::cli))] evacuations::Options),
    Check(#[bpaf(external(check::cli))] check::Options),
    Digest(#[bpaf(external(digest::cli))] digest::Options),
    Settings(#[bpaf(external(settings::cli))] settings::Options),
    Completions(#[bpaf(external(completions::cli))] completions::Options),
}

/// Runs one command to completion.
pub(crate) fn exec(command: &Command, output: &mut Output) -> Result<(), CliError> {
    match command {
        Command::Gateway(options) => gateway::exec(options),
        Command::Agent(options) => agent::exec(options),
        Command::Relay(options) => relay::exec(options),
        Command::Apply(options) => apply::exec(options, output),
        Command::Get(options) => get::exec(options, output),
        Command::Describe(options) => describe::exec(options, output),
        Command::Watch(options) => watch::exec(options, output),
        Command::Delete(options) => delete::exec(options, output),
        Command::Rollout(options) => rollout::exec(options, output),
        Command::Status(options) => status::exec(options, output),
        Command::Report(options) => report::exec(options, output),
        Command::Why(options) => why::exec(options, output),
        Command::Quarantine(options) => quarantine::exec(options, output),
        Command::Evacuations(options) => evacuations::exec(options, output),
        Command::Check(options) => check::exec(options, output),
        Command::Digest(options) => digest::exec(options, output),
        Command::Settings(_) => {
            settings::exec(output);
            Ok(())
        }
        Command::Completions(options) => completions::exec(options, output),
    }
}
