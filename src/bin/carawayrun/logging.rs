//! Logging as text or JSON.
//!
//! A background thread writes the lines. Lines that it can't keep up with are
//! dropped, so that a slow reader of the log never blocks requests.

use std::io::{self, IsTerminal, Write};
use std::str::FromStr;

use bpaf::Bpaf;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::error::CliError;

/// Includes state changes of this crate, and warnings of its dependencies.
const DEFAULT_FILTER: &str = "warn,carawayrun=info";

/// Maximum number of lines queued for the background thread; further lines are
/// dropped. The default of `tracing-appender` uses megabytes in every process.
const MAX_QUEUED_LINES: usize = 2_048;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is not accepted; give text or json")),
        }
    }
}

/// Stream that log lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

impl FromStr for LogOutput {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "stdout" => Ok(Self::Stdout),
            "stderr" => Ok(Self::Stderr),
            _ => Err(format!("`{text}` is not accepted; give stdout or stderr")),
        }
    }
}

/// Logging options, shared by all commands.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) struct Logging {
    /// Log filter, such as info or carawayrun=debug
    #[bpaf(
        long("log"),
        env("CARAWAYRUN_LOG"),
        argument("FILTER"),
        fallback(String::from(DEFAULT_FILTER)),
        display_fallback
    )]
    filter: String,
    /// Log format: text or json
    #[bpaf(
        long("log-format"),
        env("CARAWAYRUN_LOG_FORMAT"),
        argument("FORMAT"),
        fallback(LogFormat::Text)
    )]
    format: LogFormat,
    /// Log output: stdout or stderr
    #[bpaf(
        long("log-output"),
        env("CARAWAYRUN_LOG_OUTPUT"),
        argument("OUTPUT"),
        fallback(LogOutput::Stderr)
    )]
    output: LogOutput,
}

/// Initializes logging. Dropping the guard writes the queued lines and ends the
/// background thread.
///
/// # Errors
///
/// [`CliError::Usage`] if the filter is invalid.
pub(crate) fn start(settings: &Logging) -> Result<WorkerGuard, CliError> {
    let filter = EnvFilter::try_new(&settings.filter).map_err(|error| {
        let filter = &settings.filter;
        CliError::usage(format!(
            "--log `{filter}`: {error}; give a level or TARGET=LEVEL, several separated by commas"
        ))
    })?;
    let (is_terminal, (writer, guard)) = match settings.output {
        LogOutput::Stdout => (
            io::stdout().is_terminal(),
            non_blocking_writer(io::stdout()),
        ),
        LogOutput::Stderr => (
            io::stderr().is_terminal(),
            non_blocking_writer(io::stderr()),
        ),
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(is_terminal)
        .with_writer(writer);
    match settings.format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    Ok(guard)
}

fn non_blocking_writer(output: impl Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(output)
}
