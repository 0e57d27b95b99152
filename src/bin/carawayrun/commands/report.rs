//! `carawayrun report`.

use std::str::FromStr;

use bpaf::Bpaf;
use carawayrun::report::{BurnReport, burn_html, burn_text};

use crate::error::CliError;
use crate::format::json_text;
use crate::output::Output;
use crate::remote::{Remote, block_on, call_error, remote};

/// Format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportFormat {
    /// Text for a terminal.
    Text,
    /// JSON.
    Json,
    /// An HTML page with plots.
    Html,
}

impl FromStr for ReportFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err(format!("`{text}` is not accepted; give text, json or html")),
        }
    }
}

/// Available reports.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
enum Subject {
    /// Burn rate and remaining error budget of each service-level objective
    ///
    ///
    /// Rates are shown for 5 minutes, 30 minutes, 1 hour and 6 hours, the budget for the objective's
    /// window, by team and version.
    ///
    ///
    /// Examples:
    ///    carawayrun report burn
    ///    carawayrun report burn --output html > burn.html
    #[bpaf(command("burn"))]
    Burn {
        /// Output format: text, json or html
        #[bpaf(
            long("output"),
            short('o'),
            argument("FORM"),
            fallback(ReportFormat::Text)
        )]
        output: ReportFormat,
    },
}

/// Prints a report, such as the burn of error budgets
///
///
/// Example:
///    carawayrun report burn --output html > burn.html
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("report"), generate(cli))]
pub(crate) struct Options {
    #[bpaf(external)]
    remote: Remote,
    #[bpaf(external)]
    subject: Subject,
}

pub(crate) fn exec(options: &Options, output: &mut Output) -> Result<(), CliError> {
    let client = options.remote.client()?;
    let Subject::Burn { output: format } = &options.subject;
    block_on(async {
        let report: BurnReport = client.get("/apis/v1/burn").await.map_err(call_error)?;
        match format {
            ReportFormat::Text => output.print(&burn_text(&report)),
            ReportFormat::Json => output.print(&json_text(&report)),
            ReportFormat::Html => output.print(&burn_html(&report).map_err(CliError::failed)?),
        }
        Ok(())
    })
}
