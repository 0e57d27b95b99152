//! Collects the problems of one resource.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::Problem;
use crate::resource::manifest::Resource;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Problems found in one resource so far.
pub(super) struct Findings<'a> {
    resource: &'a Resource,
    problems: Vec<Problem>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(resource: &'a Resource) -> Self {
        Self {
            resource,
            problems: Vec::new(),
        }
    }

    pub(super) fn finish(self) -> Vec<Problem> {
        self.problems
    }

    pub(super) fn add(&mut self, field: &str, message: impl Into<String>) {
        self.problems.push(Problem {
            kind: self.resource.kind,
            name: self.resource.metadata.name.clone(),
            field: field.into(),
            message: message.into(),
        });
    }

    /// Adds a problem unless `holds`, with the invalid value and a description
    /// of the accepted values.
    pub(super) fn require(
        &mut self,
        holds: bool,
        field: &str,
        value: impl Display,
        accepted: &str,
    ) {
        if !holds {
            self.add(
                field,
                format!("`{value}` is not accepted; accepted is {accepted}"),
            );
        }
    }

    pub(super) fn require_name(&mut self, field: &str, name: &str) {
        let accepted = "1 to 63 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends";
        self.require(is_name(name), field, name, accepted);
    }

    pub(super) fn require_fraction(&mut self, field: &str, value: f64) {
        let holds = (0.0..=1.0).contains(&value);
        self.require(holds, field, value, "a number from 0 to 1");
    }

    pub(super) fn require_range(&mut self, field: &str, value: u64, range: RangeInclusive<u64>) {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.require(range.contains(&value), field, value, &accepted);
    }

    /// Adds a problem for each value that repeats an earlier one.
    pub(super) fn require_unique<T: PartialEq + Display>(&mut self, field: &str, values: &[T]) {
        for (index, value) in values.iter().enumerate() {
            if values[..index].contains(value) {
                self.add(field, format!("`{value}` stands there twice; remove one"));
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    let alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let bytes = name.as_bytes();
    bytes.len() <= MAX_NAME_BYTES
        && bytes
            .iter()
            .all(|byte| alphanumeric(*byte) || b"-.".contains(byte))
        && bytes.first().copied().is_some_and(alphanumeric)
        && bytes.last().copied().is_some_and(alphanumeric)
}
