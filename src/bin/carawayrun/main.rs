//! The program: parses the command line, sets up logging and runs one command.
//!
//! Exit codes: 0 done, 1 failed, 2 wrong usage, settings or manifests.

mod cli;
mod commands;
mod failure;
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

use crate::failure::Failure;
use crate::output::Output;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Columns of help texts.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let cli = match cli::cli().run_inner(Args::current_args()) {
        Ok(cli) => cli,
        Err(failure) => return stopped(&failure),
    };
    let mut output = Output::open();
    // Lines that wait are written when the guard is dropped.
    let _guard = match logging::start(&cli.logging) {
        Ok(guard) => guard,
        Err(failure) => return failed(&mut output, &failure),
    };
    match commands::exec(&cli.command, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failed(&mut output, &failure),
    }
}

/// Prints what the parser wants printed: help, completions or a usage error.
fn stopped(failure: &ParseFailure) -> ExitCode {
    let ParseFailure::Stderr(message) = failure else {
        failure.print_message(HELP_WIDTH);
        return ExitCode::SUCCESS;
    };
    let line = usage::usage_line(&message.monochrome(true));
    failed(&mut Output::open(), &Failure::usage(line))
}

fn failed(output: &mut Output, failure: &Failure) -> ExitCode {
    output.error(failure);
    ExitCode::from(failure.exit_code())
}
