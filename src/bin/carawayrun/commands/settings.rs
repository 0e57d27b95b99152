//! `carawayrun settings`, which generates docs/SETTINGS.md.

use bpaf::Bpaf;

use crate::cli;
use crate::output::Output;

/// Prints the reference of all commands and flags as Markdown
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("settings"), hide, generate(cli))]
pub(crate) struct Options {}

pub(crate) fn exec(output: &mut Output) {
    output.print("# Settings\n\nWritten by `carawayrun settings`; do not edit.\n\n");
    output.print(&cli::cli().render_markdown("carawayrun"));
}
