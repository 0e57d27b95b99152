//! `carawayrun watch`.

use bpaf::Bpaf;
use carawayrun::ops::api::{StatusBody, WatchLine};
use carawayrun::ops::{Client, change_summary};

use crate::error::CliError;
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};

/// Shows configuration changes as they occur
///
///
/// If a connection ends, continues at another server without missing a change.
///
///
/// Examples:
///    carawayrun watch
///    carawayrun watch --from 0 --json
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("watch"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    /// Generation to start after; default: the current one
    #[bpaf(argument("GENERATION"), optional)]
    from: Option<u64>,
    /// Stops after the change to this generation
    #[bpaf(argument("GENERATION"), optional)]
    until: Option<u64>,
    /// Prints each line as JSON, including heartbeats
    json: bool,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?;
    block_on(async {
        let from = start_generation(options, &client).await?;
        let mut oldest_available = None;
        let watched = client.watch(from, |line| {
            print_watch_line(options, &line, output);
            match line {
                WatchLine::Change { change } => {
                    options.until.is_none_or(|until| change.generation < until)
                }
                WatchLine::Heartbeat { .. } => true,
                WatchLine::Gone { oldest } => {
                    oldest_available = Some(oldest);
                    false
                }
            }
        });
        watched.await.map_err(call_error)?;
        oldest_available.map_or(Ok(()), |oldest| {
            Err(CliError::failed(format!(
                "the changes after generation {from} are no longer stored; list the resources again and watch from {oldest} or later"
            )))
        })
    })
}

async fn start_generation(options: &Options, client: &Client) -> Result<u64, CliError> {
    if let Some(from) = options.from {
        return Ok(from);
    }
    let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_error)?;
    Ok(status.generation)
}

fn print_watch_line(options: &Options, line: &WatchLine, output: &mut Output) {
    if options.json {
        let text = serde_json::to_string(line).expect("lines serialize to JSON");
        output.print_line(&text);
    } else if let WatchLine::Change { change } = line {
        output.print_line(&change_summary(change));
    }
}
