//! `carawayrun quarantine`.

use bpaf::Bpaf;
use carawayrun::relay::QUARANTINE_PATH;
use carawayrun::relay::quarantine::{QuarantinedSubject, SubjectKind};

use crate::error::CliError;
use crate::output::Output;
use crate::relay_list::{RelayList, relay_list, seconds};
use crate::table::Table;

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
    #[bpaf(external(relay_list))]
    list: RelayList,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    options.list.print(QUARANTINE_PATH, table, output)
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
