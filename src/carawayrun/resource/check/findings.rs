//! Collecting the problems of one resource.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::Problem;
use crate::resource::manifest::Resource;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// The problems of one resource so far.
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

    /// Where `holds` is false, `value` is wrong and `accepted` is what it may be.
    pub(super) fn expect(&mut self, holds: bool, field: &str, value: impl Display, accepted: &str) {
        if !holds {
            self.add(
                field,
                format!("`{value}` is not accepted; accepted is {accepted}"),
            );
        }
    }

    pub(super) fn name(&mut self, field: &str, name: &str) {
        let accepted = "1 to 63 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends";
        self.expect(is_name(name), field, name, accepted);
    }

    pub(super) fn share(&mut self, field: &str, value: f64) {
        let holds = (0.0..=1.0).contains(&value);
        self.expect(holds, field, value, "a number from 0 to 1");
    }

    pub(super) fn whole(&mut self, field: &str, value: u64, range: RangeInclusive<u64>) {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.expect(range.contains(&value), field, value, &accepted);
    }

    /// Each value may stand in a list once.
    pub(super) fn unique<T: PartialEq + Display>(&mut self, field: &str, values: &[T]) {
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
