//! Authentication of operators by key.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use snafu::Snafu;
use subtle::ConstantTimeEq;

use crate::resource::{DIGEST_DIGITS, key_digest};

/// An operator's name and the SHA-256 digest of the operator's key.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey {
    name: CompactString,
    digest: CompactString,
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorKey")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// A text that is not an operator's name and key digest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "`{text}` is not NAME=DIGEST with a digest of {DIGEST_DIGITS} hexadecimal digits; \
     `carawayrun digest` makes one from a key"
))]
pub struct ParseOperatorKeyError {
    text: CompactString,
}

impl FromStr for OperatorKey {
    type Err = ParseOperatorKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseOperatorKeyError { text: text.into() };
        let (name, digest) = text.split_once('=').ok_or_else(invalid)?;
        let hexadecimal = digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        if name.is_empty() || digest.len() != DIGEST_DIGITS || !hexadecimal {
            return Err(invalid());
        }
        Ok(Self {
            name: name.into(),
            digest: digest.to_ascii_lowercase().into(),
        })
    }
}

/// All operators that may use the resource API.
#[derive(Debug, Clone, Default)]
pub struct Operators {
    keys: Vec<OperatorKey>,
}

impl Operators {
    /// Creates the set of operators with these keys.
    ///
    /// A name may have several keys, so that keys can be rotated.
    pub fn new(keys: Vec<OperatorKey>) -> Self {
        Self { keys }
    }

    /// Returns the name of the operator with this key.
    ///
    /// Compares all digests in constant time, so the response time leaks
    /// nothing about them.
    pub fn name_for_key(&self, key: &str) -> Option<&CompactString> {
        let digest = key_digest(key);
        let mut found = None;
        for operator in &self.keys {
            let equal = operator.digest.as_bytes().ct_eq(digest.as_bytes());
            if bool::from(equal) {
                found = Some(&operator.name);
            }
        }
        found
    }
}
