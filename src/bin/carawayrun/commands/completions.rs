//! `carawayrun completions`.

use std::str::FromStr;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::cli;
use crate::error::CliError;
use crate::output::Output;

/// Shell for which a completion script can be generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shell {
    Bash,
    Zsh,
    Fish,
    Elvish,
}

impl Shell {
    /// Returns the arguments with which bpaf generates the script.
    fn arguments(self) -> &'static [&'static str] {
        match self {
            Self::Bash => &["--bpaf-complete-style-bash"],
            Self::Zsh => &["--bpaf-complete-style-zsh"],
            Self::Fish => &["--bpaf-complete-style-fish"],
            Self::Elvish => &["--bpaf-complete-style-elvish"],
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Bash => "bash",
            Self::Zsh => "zsh",
            Self::Fish => "fish",
            Self::Elvish => "elvish",
        }
    }
}

impl FromStr for Shell {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Bash, Self::Zsh, Self::Fish, Self::Elvish]
            .into_iter()
            .find(|shell| shell.as_str() == text)
            .ok_or_else(|| {
                format!("unknown shell `{text}`; accepted are bash, zsh, fish and elvish")
            })
    }
}

/// Prints the completion script for a shell
///
///
/// Example:
///    carawayrun completions bash > carawayrun.bash
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("completions"), generate(cli))]
pub(crate) struct Options {
    /// Shell: bash, zsh, fish or elvish
    #[bpaf(positional("SHELL"))]
    shell: Shell,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let arguments = Args::from(options.shell.arguments()).set_name("carawayrun");
    let parsed = cli::cli().run_inner(arguments);
    match parsed {
        Err(ParseFailure::Completion(script)) => {
            output.print(&script);
            Ok(())
        }
        _ => Err(CliError::failed(
            "the completion script could not be generated",
        )),
    }
}
