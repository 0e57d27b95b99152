//! Numbers of rows, in each form that JSON has for them.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// A number as it is written: of any width, whole or with a fraction. Writers don't agree
/// on a form (`8`, `8.0` and `8e0` are the same number), nor on the width of our types.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Number(CompactString);

impl Number {
    /// The text of the number, as the row holds it.
    pub(super) fn as_written(&self) -> &str {
        &self.0
    }

    /// The nearest value, limited to what is finite.
    pub(super) fn value(&self) -> f64 {
        let value: f64 = self.0.parse().unwrap_or_default();
        value.clamp(f64::MIN, f64::MAX)
    }

    /// The value without its fraction, limited to the type: a negative number is zero.
    pub(super) fn saturated_u32(&self) -> u32 {
        self.value() as u32
    }

    /// As [`Self::saturated_u32`], exact where the type holds the number.
    pub(super) fn saturated_u64(&self) -> u64 {
        self.0.parse().unwrap_or(self.value() as u64)
    }

    /// The exact value; `None` if it is not a whole number of that type.
    pub(super) fn exact_u64(&self) -> Option<u64> {
        const LIMIT: f64 = 18_446_744_073_709_551_616.0;
        if let Ok(number) = self.0.parse() {
            return Some(number);
        }
        let value = self.value();
        // Whole numbers that are written without a fraction and don't fit come here too.
        let is_whole = value.fract() == 0.0 && (0.0..LIMIT).contains(&value);
        is_whole.then_some(value as u64)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = Box::<RawValue>::deserialize(deserializer)?;
        let text = raw.get();
        let is_number = text.starts_with(|first: char| first == '-' || first.is_ascii_digit());
        if !is_number {
            let message = format!("`{}` is not a number", shortened(text));
            return Err(serde::de::Error::custom(message));
        }
        Ok(Self(text.to_compact_string()))
    }
}

// The beginning of `text`, for messages.
fn shortened(text: &str) -> &str {
    const MAX_BYTES: usize = 40;
    let mut ends = (0..=MAX_BYTES.min(text.len())).rev();
    let end = ends.find(|end| text.is_char_boundary(*end));
    &text[..end.unwrap_or_default()]
}
