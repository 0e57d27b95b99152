//! `carawayrun why`.

use bpaf::Bpaf;
use carawayrun::ops::why::Decision;
use carawayrun::peer::RequestId;

use crate::failure::Failure;
use crate::format::{Format, form, json_text, yaml_text};
use crate::output::Output;
use crate::remote::{Remote, block_on, call_failure, remote};
use crate::table::Table;

/// Shows how a request was decided and what became of it
///
///
/// Asks each server in turn, as the gateway that took the request keeps its decisions.
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
    #[bpaf(external(form))]
    output: Format,
    /// The request, as in the x-request-id header of its answer
    #[bpaf(positional("REQUEST"))]
    request: RequestId,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), Failure> {
    let client = options.remote.client()?;
    block_on(async {
        let path = format!("/apis/v1/why/{}", options.request);
        let decision: Decision = client.get_from_any(&path).await.map_err(call_failure)?;
        match options.output {
            Format::Json => output.print(&json_text(&decision)),
            Format::Yaml => output.print(&yaml_text(&decision)),
            Format::Table => show(&decision, output),
        }
        Ok(())
    })
}

fn show(decision: &Decision, output: &mut Output) {
    output.line(&format!(
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
    output.line(&format!(
        "{result}, {} ms, cost {} millionths",
        decision.total_ms, decision.cost_micros
    ));
    for line in &decision.explanation {
        output.line(&format!("  {line}"));
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
        table.row(vec![
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
