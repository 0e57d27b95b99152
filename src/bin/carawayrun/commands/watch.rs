//! `carawayrun watch`.

use bpaf::Bpaf;
use carawayrun::ops::api::{StatusBody, WatchLine};
use carawayrun::ops::{Client, change_summary};

use crate::failure::Failure;
use crate::output::Output;
use crate::remote::{Remote, block_on, call_failure, remote};

/// Shows each change of the configuration as it comes
///
///
/// Goes on at another server where a connection ends, and loses no change.
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
    /// Generation after which to begin; the current one where absent
    #[bpaf(argument("GENERATION"), optional)]
    from: Option<u64>,
    /// Ends after the change to this generation
    #[bpaf(argument("GENERATION"), optional)]
    until: Option<u64>,
    /// Writes each line as JSON, heartbeats included
    json: bool,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), Failure> {
    let client = options.remote.client()?;
    block_on(async {
        let from = start(options, &client).await?;
        let mut gone = None;
        let watched = client.watch(from, |line| {
            show(options, &line, output);
            match line {
                WatchLine::Change { change } => {
                    options.until.is_none_or(|until| change.generation < until)
                }
                WatchLine::Heartbeat { .. } => true,
                WatchLine::Gone { oldest } => {
                    gone = Some(oldest);
                    false
                }
            }
        });
        watched.await.map_err(call_failure)?;
        gone.map_or(Ok(()), |oldest| {
            Err(Failure::failed(format!(
                "the changes after generation {from} are gone; list again and watch from {oldest} or later"
            )))
        })
    })
}

async fn start(options: &Options, client: &Client) -> Result<u64, Failure> {
    if let Some(from) = options.from {
        return Ok(from);
    }
    let status: StatusBody = client.get("/apis/v1/status").await.map_err(call_failure)?;
    Ok(status.generation)
}

fn show(options: &Options, line: &WatchLine, output: &mut Output) {
    if options.json {
        let text = serde_json::to_string(line).expect("lines can be written as JSON");
        output.line(&text);
    } else if let WatchLine::Change { change } = line {
        output.line(&change_summary(change));
    }
}
