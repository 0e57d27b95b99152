//! `carawayrun why`.

use bpaf::Bpaf;
use carawayrun::ops::why::Decision;
use carawayrun::peer::RequestId;

use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};
use crate::table::Table;

/// Shows how a request was routed and how it ended
///
///
/// Queries each server in turn, since only the gateway that accepted the request stores its decision.
///
///
/// Example:
///    carawayrun why gw-1.651f0a3b2c1d4.42
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("why"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    #[bpaf(external(output_format))]
    output: Format,
    /// Id of the request, from the x-request-id header of its answer
    #[bpaf(positional("REQUEST"))]
    request: RequestId,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?;
    block_on(async {
        let path = format!("/apis/v1/why/{}", options.request);
        let decision: Decision = client.get_from_any(&path).await.map_err(call_error)?;
        match options.output {
            Format::Json => output.print(&json_text(&decision)),
            Format::Yaml => output.print(&yaml_text(&decision)),
            Format::Table => print_decision(&decision, output),
        }
        Ok(())
    })
}

fn print_decision(decision: &Decision, output: &mut Output) {
    output.print_line(&format!(
        "{} at {}, team {}, {}/{}, generation {}",
        decision.request,
        decision.time,
        decision.team,
        decision.service,
        decision.task,
        decision.generation
    ));
    let result = if decision.code.is_empty() && decision.version.is_empty() {
        "answered".to_owned()
    } else if decision.code.is_empty() {
        format!("answered by {}", decision.version)
    } else {
        format!("{}, ran: {}", decision.code, decision.ran)
    };
    output.print_line(&format!(
        "{result}, {} ms, cost {} millionths",
        decision.total_ms, decision.cost_micros
    ));
    for line in &decision.explanation {
        output.print_line(&format!("  {line}"));
    }
    if !decision.attempts.is_empty() {
        output.print(&attempts(decision).render());
    }
}

fn attempts(decision: &Decision) -> Table {
    let mut table = Table::new(&[
        "STEP", "ATTEMPT", "VERSION", "UPSTREAM", "RESULT", "START MS", "TOOK MS", "MESSAGE",
    ]);
    for attempt in &decision.attempts {
        table.add_row(vec![
            attempt.step.to_string(),
            attempt.attempt.to_string(),
            attempt.version.to_string(),
            attempt.upstream.to_string(),
            attempt.result.to_string(),
            attempt.start_ms.to_string(),
            attempt.took_ms.to_string(),
            attempt.message.to_string(),
        ]);
    }
    table
}
