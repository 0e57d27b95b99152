//! Forms of output.

use std::fmt;
use std::str::FromStr;

use bpaf::{Parser, long};
use serde::Serialize;

/// How results are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table for people.
    Table,
    /// JSON.
    Json,
    /// YAML, which `apply` takes.
    Yaml,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            _ => Err(format!(
                "`{text}` is not accepted; give table, json or yaml"
            )),
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Table => "table",
            Self::Json => "json",
            Self::Yaml => "yaml",
        })
    }
}

/// The flag by which a command is told its form of output.
pub(crate) fn output_format() -> impl Parser<Format> {
    long("output")
        .short('o')
        .help("Form: table, json or yaml")
        .argument("FORM")
        .fallback(Format::Table)
        .display_fallback()
}

/// `value` as JSON for people, with a line end.
pub(crate) fn json_text(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("bodies can be written as JSON");
    text.push('\n');
    text
}

/// `value` as YAML.
pub(crate) fn yaml_text(value: &impl Serialize) -> String {
    serde_yaml_ng::to_string(value).expect("bodies can be written as YAML")
}
