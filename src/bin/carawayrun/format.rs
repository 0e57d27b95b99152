//! Output formats.

use std::fmt;
use std::str::FromStr;

use bpaf::{Parser, long};
use serde::Serialize;

/// Format of a command's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table with aligned columns.
    Table,
    /// JSON.
    Json,
    /// YAML, which `apply` accepts.
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

/// Parses the `--output` flag.
pub(crate) fn output_format() -> impl Parser<Format> {
    long("output")
        .short('o')
        .help("Output format: table, json or yaml")
        .argument("FORM")
        .fallback(Format::Table)
        .display_fallback()
}

/// Returns `value` as indented JSON with a trailing newline.
pub(crate) fn json_text(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("response bodies serialize to JSON");
    text.push('\n');
    text
}

/// Returns `value` as YAML.
pub(crate) fn yaml_text(value: &impl Serialize) -> String {
    serde_yaml_ng::to_string(value).expect("response bodies serialize to YAML")
}
