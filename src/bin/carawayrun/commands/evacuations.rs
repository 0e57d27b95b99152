//! `carawayrun evacuations`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use carawayrun::relay::EVACUATIONS_PATH;
use carawayrun::relay::evacuation::EvacuatedDataCentre;

use super::quarantine::fetch;
use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::block_on;
use crate::table::Table;

/// Lists the data centres that are out of service, as a relay knows them
///
///
/// SHARE is what this relay still sends there of the usual requests, RUNNING the requests
/// of all relays that still run there, RELAYS those that hold the same orders.
///
///
/// Example:
///    carawayrun evacuations 10.1.0.40:9464
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("evacuations"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external(output_format))]
    output: Format,
    /// Address of the relay's metrics
    #[bpaf(positional("IP:PORT"))]
    metrics: SocketAddr,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let listed = block_on(fetch(options.metrics, EVACUATIONS_PATH))?;
    match options.output {
        Format::Json => output.print(&json_text(&listed)),
        Format::Yaml => output.print(&yaml_text(&listed)),
        Format::Table => output.print(&table(&listed).render()),
    }
    Ok(())
}

fn table(listed: &[EvacuatedDataCentre]) -> Table {
    let mut table = Table::new(&[
        "DATA CENTRE",
        "SINCE S",
        "ROW VERSION",
        "CONFIRMED S",
        "RELAYS",
        "SHARE",
        "UPSTREAMS",
        "RUNNING",
    ]);
    let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1_000.0);
    for one in listed {
        table.add_row(vec![
            one.data_centre.to_string(),
            seconds(one.since_ms),
            one.row_version.to_string(),
            seconds(one.confirmed_ms),
            format!("{} of {}", one.gateways, one.known_gateways),
            format!("{:.2}", one.share),
            one.upstreams.to_string(),
            one.running.to_string(),
        ]);
    }
    table
}
