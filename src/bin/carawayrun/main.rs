//! The program: parses the command line, sets up logging and runs one command.
//!
//! Exit codes: 0 done, 1 failed, 2 wrong usage, settings or manifests.

mod cli;
mod commands;
mod error;
mod format;
mod logging;
mod manifests;
mod output;
mod progress;
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

/// Columns of help texts.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let cli = match cli::cli().run_inner(Args::current_args()) {
        Ok(cli) => cli,
        Err(failure) => return report_parse_failure(&failure),
    };
    let mut output = Output::open();
    // Lines that wait are written when the guard is dropped.
    let _guard = match logging::start(&cli.logging) {
        Ok(guard) => guard,
        Err(error) => return report_error(&mut output, &error),
    };
    match commands::exec(&cli.command, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&mut output, &error),
    }
}

/// Prints what the parser wants printed: help, completions or a usage error.
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
