//! `carawayrun quarantine`.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use carawayrun::relay::QUARANTINE_PATH;
use carawayrun::relay::quarantine::{QuarantinedSubject, SubjectKind};
use serde::de::DeserializeOwned;

use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::block_on;
use crate::table::Table;

/// Time limit for the answer of a relay.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Lists what a relay does not send, since upstreams crash under it
///
///
/// A request has its fingerprint as id, and its route where this relay saw one. All
/// relays that hear each other list the same requests and prompt parts.
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
    let subjects = block_on(fetch(options.metrics, QUARANTINE_PATH))?;
    match options.output {
        Format::Json => output.print(&json_text(&subjects)),
        Format::Yaml => output.print(&yaml_text(&subjects)),
        Format::Table => output.print(&table(&subjects).render()),
    }
    Ok(())
}

/// Reads a list of a relay, whose metrics are served at `metrics`.
pub(super) async fn fetch<T: DeserializeOwned>(
    metrics: SocketAddr,
    path: &str,
) -> Result<Vec<T>, CliError> {
    let url = format!("http://{metrics}{path}");
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
    let subjects = answer.json().await;
    subjects.map_err(|error| failed(&error))
}

fn table(subjects: &[QuarantinedSubject]) -> Table {
    let mut table = Table::new(&[
        "KIND",
        "ID",
        "SINCE S",
        "TRIALS",
        "CRASHES",
        "LAST CRASH S",
        "LOST REQUESTS",
        "ROUTE",
    ]);
    let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1_000.0);
    for subject in subjects {
        let last = subject.crashes_ms.last().copied();
        let kind = match subject.kind {
            SubjectKind::Part => "part",
            SubjectKind::Request => "request",
        };
        table.add_row(vec![
            kind.to_owned(),
            subject.id.to_string(),
            seconds(subject.since_ms),
            subject.trials.to_string(),
            subject.crashes_ms.len().to_string(),
            last.map_or_else(String::new, seconds),
            subject.losses.to_string(),
            subject.label.to_string(),
        ]);
    }
    table
}
