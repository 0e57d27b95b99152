//! `carawayrun check`.

use std::path::PathBuf;

use bpaf::Bpaf;
use carawayrun::resource::{Problem, check_set};

use crate::failure::Failure;
use crate::manifests;
use crate::output::Output;

/// Checks manifests and changes nothing
///
///
/// The manifests must make a whole configuration together.
///
///
/// Example:
///    carawayrun check -f examples/luzcena.yaml
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("check"), generate(cli))]
pub(crate) struct Options {
    /// Manifest, folder of manifests, or - for standard input; may be repeated
    #[bpaf(
        short('f'),
        long("file"),
        argument("FILE"),
        some("give at least one -f FILE")
    )]
    files: Vec<PathBuf>,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), Failure> {
    let resources = manifests::read(&options.files)?;
    check_set(&resources).map_err(|problems| Failure::usage(text(&problems)))?;
    output.status("Checked", format!("{} resources", resources.len()));
    Ok(())
}

fn text(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    format!("{} problems\n{}", problems.len(), lines.join("\n"))
}
