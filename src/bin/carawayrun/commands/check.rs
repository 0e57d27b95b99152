//! `carawayrun check`.

use std::path::PathBuf;

use bpaf::{Args, Bpaf, ParseFailure};
use carawayrun::resource::{Problem, check_set};

use super::Command;
use crate::cli;
use crate::error::CliError;
use crate::manifests;
use crate::output::Output;
use crate::usage::usage_line;

/// Validates manifests and settings without changing anything
///
///
/// The manifests must form a complete configuration together. The settings are those of the command
/// after `--`, including environment variables.
///
///
/// Examples:
///    carawayrun check -f examples/luzcena.yaml
///    carawayrun check -- gateway --name gw-1 --data-centre ne-br-a
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("check"), generate(cli))]
pub(crate) struct Options {
    /// Manifest, directory of manifests, or - for standard input; repeatable
    #[bpaf(short('f'), long("file"), argument("FILE"))]
    files: Vec<PathBuf>,
    /// Command with its flags
    #[bpaf(positional("COMMAND"), strict, many)]
    command: Vec<String>,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    if options.files.is_empty() && options.command.is_empty() {
        return Err(CliError::usage(
            "nothing to check; give -f FILE or -- COMMAND FLAGS",
        ));
    }
    if !options.files.is_empty() {
        let resources = manifests::read(&options.files)?;
        check_set(&resources).map_err(|problems| CliError::usage(problem_list(&problems)))?;
        output.status("Checked", format!("{} resources", resources.len()));
    }
    if !options.command.is_empty() {
        check_settings(&options.command)?;
        output.status("Checked", format!("settings of {}", options.command[0]));
    }
    Ok(())
}

fn check_settings(command: &[String]) -> Result<(), CliError> {
    let args: Vec<&str> = command.iter().map(String::as_str).collect();
    let parsed = cli::cli().run_inner(Args::from(args.as_slice()));
    match parsed.map(|cli| cli.command) {
        Ok(Command::Gateway(options)) => options.check(),
        Ok(Command::Agent(options)) => options.check(),
        Ok(_) | Err(ParseFailure::Stdout(..) | ParseFailure::Completion(_)) => Ok(()),
        Err(ParseFailure::Stderr(message)) => {
            Err(CliError::usage(usage_line(&message.monochrome(true))))
        }
    }
}

fn problem_list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    format!("{} problems\n{}", problems.len(), lines.join("\n"))
}
