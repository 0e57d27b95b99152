//! `carawayrun evacuations`.

use bpaf::Bpaf;
use carawayrun::relay::EVACUATIONS_PATH;
use carawayrun::relay::evacuation::EvacuatedDataCentre;

use crate::error::CliError;
use crate::output::Output;
use crate::relay_list::{RelayList, relay_list, seconds};
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
    #[bpaf(external(relay_list))]
    list: RelayList,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    options.list.print(EVACUATIONS_PATH, table, output)
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
