//! The commands, a file each: a parser `cli()` and `exec()`.

mod agent;
mod completions;
mod digest;
mod gateway;

use bpaf::Bpaf;

use crate::failure::Failure;
use crate::output::Output;

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    Gateway(#[bpaf(external(gateway::cli))] gateway::Options),
    Agent(#[bpaf(external(agent::cli))] agent::Options),
    Digest(#[bpaf(external(digest::cli))] digest::Options),
    Completions(#[bpaf(external(completions::cli))] completions::Options),
}

/// Runs one command to its end.
pub(crate) fn exec(command: &Command, output: &mut Output) -> Result<(), Failure> {
    match command {
        Command::Gateway(options) => gateway::exec(options),
        Command::Agent(options) => agent::exec(options),
        Command::Digest(options) => digest::exec(options, output),
        Command::Completions(options) => completions::exec(options, output),
    }
}
