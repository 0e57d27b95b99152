//! `carawayrun apply`.

use std::path::PathBuf;
use std::time::Duration;

use awc::http::Method;
use bpaf::Bpaf;
use carawayrun::ops::api::ApplyBody;
use carawayrun::ops::{item_difference, item_verb};
use carawayrun::resource::Resource;

use crate::error::CliError;
use crate::manifests;
use crate::output::Output;
use crate::progress;
use crate::remote::{Remote, block_on, call_error, remote};

/// Applies the resources of manifests in one change
///
///
/// Resources that are not in the manifests remain unchanged. With --dry-run, shows the diff and writes nothing.
///
///
/// Examples:
///    carawayrun apply -f examples/luzcena.yaml --dry-run
///    carawayrun apply -f manifests/ --wait --reason "festival peak"
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("apply"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    /// Manifest, directory of manifests, or - for standard input; repeatable
    #[bpaf(
        short('f'),
        long("file"),
        argument("FILE"),
        some("give at least one -f FILE")
    )]
    files: Vec<PathBuf>,
    /// Shows the changes without writing them
    dry_run: bool,
    /// Waits until the change is in force on all live nodes
    wait: bool,
    /// Maximum time to wait, in seconds
    #[bpaf(argument("SECONDS"), fallback(60), display_fallback)]
    timeout_s: u64,
    /// Reason, recorded in the audit trail
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    reason: String,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let resources = manifests::read(&options.files)?;
    let client = options.remote.client()?.with_reason(&options.reason);
    block_on(async {
        let path = if options.dry_run {
            "/apis/v1/apply?dryRun=true"
        } else {
            "/apis/v1/apply"
        };
        let applied: Result<ApplyBody, _> = client.send(Method::POST, path, &resources).await;
        let applied = applied.map_err(call_error)?;
        print_changes(&applied, &resources, output);
        if options.wait && !options.dry_run {
            let timeout = Duration::from_secs(options.timeout_s);
            progress::wait_until_in_force(&client, applied.generation, timeout, output).await?;
        }
        Ok(())
    })
}

fn print_changes(applied: &ApplyBody, resources: &[Resource], output: &mut Output) {
    for item in &applied.items {
        let object = format!("{}/{}", item.kind, item.name);
        if applied.dry_run {
            for line in item_difference(item).lines() {
                output.print_diff_line(line);
            }
        } else {
            output.status(&capitalized(item_verb(item)), object);
        }
    }
    let unchanged = resources.len() - applied.items.len().min(resources.len());
    let verb = if applied.dry_run {
        "Would apply"
    } else {
        "Applied"
    };
    let summary = format!(
        "{} changed, {unchanged} unchanged, generation {}",
        applied.items.len(),
        applied.generation
    );
    output.status(verb, summary);
}

fn capitalized(word: &str) -> String {
    let mut letters = word.chars();
    letters.next().map_or_else(String::new, |first| {
        first.to_uppercase().chain(letters).collect()
    })
}
