//! Parses the command line, initializes logging and runs one command.
//!
//! Exit codes: 0 success, 1 failure, 2 invalid usage, settings or manifests.

mod cli;
mod commands;
mod error;
mod format;
mod logging;
mod manifests;
mod output;
mod progress;
mod relay_list;
mod remote;
mod settings;
mod table;
mod usage;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::error::CliError;
use crate::output::Output;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let cli = match cli::cli().run_inner(Args::current_args()) {
        Ok(cli) => cli,
        Err(failure) => return report_parse_failure(&failure),
    };
    let mut output = Output::open();
    // Dropping the guard writes the queued log lines.
    let _guard = match logging::start(&cli.logging) {
        Ok(guard) => guard,
        Err(error) => return report_error(&mut output, &error),
    };
    match commands::exec(&cli.command, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&mut output, &error),
    }
}

/// Prints help, completions or a usage error, as returned by the parser.
fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    let ParseFailure::Stderr(message) = failure else {
        failure.print_message(HELP_WIDTH);
        return ExitCode::SUCCESS;
    };
    let line = usage::usage_line(&message.monochrome(true));
    report_error(&mut Output::open(), &CliError::usage(line))
}

fn report_error(output: &mut Output, error: &CliError) -> ExitCode {
    output.error(error);
    ExitCode::from(error.exit_code())
}
