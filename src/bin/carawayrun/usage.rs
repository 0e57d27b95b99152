//! Usage errors as one line that names the invalid flag or environment variable.
//!
//! bpaf reports an invalid value but not its flag, so the value is looked up
//! among the arguments. For an invalid environment variable it does not report
//! the value either: each `CARAWAYRUN_` variable is then parsed as its flag, such
//! as `--peer-addr` for `CARAWAYRUN_PEER_ADDR`.

use std::env;

use bpaf::{Args, ParseFailure};

use crate::cli;

/// Prefix of the environment variables of this program.
const VARIABLE_PREFIX: &str = "CARAWAYRUN_";

/// Converts an error message of the parser to one line that names the flag or
/// variable.
pub(crate) fn usage_line(message: &str) -> String {
    let args: Vec<String> = env::args().skip(1).collect();
    let line = one_line(message);
    if let Some(flag) = invalid_value(&line).and_then(|value| flag_of_value(&args, value)) {
        return with_location(flag, &line);
    }
    if line.starts_with("check failed") || line.starts_with("couldn't parse") {
        return invalid_variable_error(&args).unwrap_or(line);
    }
    line
}

/// Joins the lines that the parser wraps for a terminal.
fn one_line(message: &str) -> String {
    message.replace('\n', " ")
}

fn with_location(location: &str, line: &str) -> String {
    let has_hint = ["accepted", "give ", "names are"]
        .iter()
        .any(|word| line.contains(word));
    let hint = if has_hint {
        ""
    } else {
        "; see `--help` for accepted values"
    };
    format!("{location}: {line}{hint}")
}

/// Returns the value in messages of the forms "couldn't parse `VALUE`: .." and
/// "`VALUE`: ..".
fn invalid_value(line: &str) -> Option<&str> {
    let rest = line.strip_prefix("couldn't parse ").unwrap_or(line);
    let (value, rest) = rest.strip_prefix('`')?.split_once('`')?;
    rest.starts_with(':').then_some(value)
}

/// Returns the flag with the given value.
fn flag_of_value<'a>(args: &'a [String], value: &str) -> Option<&'a str> {
    let joined = args.iter().filter_map(|arg| arg.split_once('='));
    let mut joined = joined.filter(|(flag, found)| flag.starts_with('-') && *found == value);
    if let Some((flag, _)) = joined.next() {
        return Some(flag);
    }
    let mut pairs = args
        .windows(2)
        .filter(|pair| pair[0].starts_with('-') && pair[1] == value);
    pairs.next().map(|pair| pair[0].as_str())
}

/// Returns the message for the first environment variable with an invalid value.
fn invalid_variable_error(args: &[String]) -> Option<String> {
    let mut variables = env::vars().filter(|(name, _)| name.starts_with(VARIABLE_PREFIX));
    variables.find_map(|(name, value)| {
        let line = variable_error(args, &name, &value)?;
        Some(with_location(&name, &line))
    })
}

fn variable_error(args: &[String], name: &str, value: &str) -> Option<String> {
    let flag = name
        .strip_prefix(VARIABLE_PREFIX)?
        .to_ascii_lowercase()
        .replace('_', "-");
    let mut with_flag: Vec<&str> = args.iter().map(String::as_str).collect();
    let flag_arg = format!("--{flag}={value}");
    with_flag.push(&flag_arg);
    let parsed = cli::cli().run_inner(Args::from(with_flag.as_slice()));
    let Err(ParseFailure::Stderr(message)) = parsed else {
        return None;
    };
    let line = one_line(&message.monochrome(true));
    (invalid_value(&line) == Some(value)).then_some(line)
}
