//! `carawayrun quarantine`.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use carawayrun::relay::QUARANTINE_PATH;
use carawayrun::relay::quarantine::QuarantinedPart;

use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::block_on;
use crate::table::Table;

/// Time limit for the answer of a relay.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Lists the prompt parts that a relay does not send, since upstreams crash under them
///
///
/// All relays that hear each other list the same parts.
///
///
/// Example:
///    carawayrun quarantine 10.1.0.40:9464
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("quarantine"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external(output_format))]
    output: Format,
    /// Address of the relay's metrics
    #[bpaf(positional("IP:PORT"))]
    metrics: SocketAddr,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let parts = block_on(fetch(options.metrics))?;
    match options.output {
        Format::Json => output.print(&json_text(&parts)),
        Format::Yaml => output.print(&yaml_text(&parts)),
        Format::Table => output.print(&table(&parts).render()),
    }
    Ok(())
}

async fn fetch(metrics: SocketAddr) -> Result<Vec<QuarantinedPart>, CliError> {
    let url = format!("http://{metrics}{QUARANTINE_PATH}");
    let failed = |error: &dyn std::fmt::Display| {
        CliError::failed(format!(
            "no list from {metrics}: {error}; give the address of a relay's metrics"
        ))
    };
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let mut answer = client
        .get(url)
        .send()
        .await
        .map_err(|error| failed(&error))?;
    let parts = answer.json().await;
    parts.map_err(|error| failed(&error))
}

fn table(parts: &[QuarantinedPart]) -> Table {
    let mut table = Table::new(&[
        "PART",
        "SINCE S",
        "CRASHES",
        "LAST CRASH S",
        "LOST REQUESTS",
    ]);
    let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1_000.0);
    for part in parts {
        let last = part.crashes_ms.last().copied();
        table.add_row(vec![
            part.id.to_string(),
            seconds(part.since_ms),
            part.crashes_ms.len().to_string(),
            last.map_or_else(String::new, seconds),
            part.losses.to_string(),
        ]);
    }
    table
}
