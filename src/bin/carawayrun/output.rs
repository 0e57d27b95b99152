//! Terminal output of commands.
//!
//! Results go to standard output, progress and errors to standard error.
//! Colours are used only on a terminal, and only if `NO_COLOR` is not set.

use std::error::Error;
use std::io::{self, IsTerminal, Write};

/// Width of the verb in a status line, in columns.
const VERB_WIDTH: usize = 12;

const GREEN: &str = "\x1b[1;32m";
const RED: &str = "\x1b[1;31m";
const RESET: &str = "\x1b[0m";

/// The command's standard output and standard error.
#[derive(Debug)]
pub(crate) struct Output {
    out: io::Stdout,
    err: io::Stderr,
    color_out: bool,
    color_err: bool,
}

impl Output {
    pub(crate) fn open() -> Self {
        let allowed = std::env::var_os("NO_COLOR").is_none();
        Self {
            out: io::stdout(),
            err: io::stderr(),
            color_out: allowed && io::stdout().is_terminal(),
            color_err: allowed && io::stderr().is_terminal(),
        }
    }

    /// Prints a status line to standard error: a right-aligned verb and its object.
    pub(crate) fn status(&mut self, verb: &str, object: impl std::fmt::Display) {
        let padded = format!("{verb:>VERB_WIDTH$}");
        let verb = paint(self.color_err, GREEN, &padded);
        ignore_closed(writeln!(self.err, "{verb} {object}"));
    }

    /// Prints an error to standard error, with the causes that its message does not
    /// contain.
    pub(crate) fn error(&mut self, error: &dyn Error) {
        let label = paint(self.color_err, RED, "error:");
        let mut shown = error.to_string();
        ignore_closed(writeln!(self.err, "{label} {shown}"));
        let mut cause = error.source();
        while let Some(source) = cause {
            let text = source.to_string();
            if !shown.contains(&text) {
                ignore_closed(writeln!(self.err, "  caused by: {text}"));
                shown = text;
            }
            cause = source.source();
        }
    }

    /// Prints `text` unchanged to standard output.
    pub(crate) fn print(&mut self, text: &str) {
        ignore_closed(self.out.write_all(text.as_bytes()));
        ignore_closed(self.out.flush());
    }

    /// Prints one line to standard output.
    pub(crate) fn print_line(&mut self, text: &str) {
        self.print(text);
        self.print("\n");
    }

    /// Prints a line of a diff, coloured by its first character.
    pub(crate) fn print_diff_line(&mut self, line: &str) {
        let color = match line.chars().next() {
            Some('+') => GREEN,
            Some('-') => RED,
            _ => "",
        };
        let painted = paint(self.color_out && !color.is_empty(), color, line);
        self.print_line(&painted);
    }
}

fn paint(enabled: bool, color: &str, text: &str) -> String {
    if enabled {
        format!("{color}{text}{RESET}")
    } else {
        text.to_owned()
    }
}

/// Ignores write errors: a closed pipe, such as `| head`, does not fail the command.
fn ignore_closed(result: io::Result<()>) {
    drop(result);
}
