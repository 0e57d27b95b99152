//! Fingerprints of requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Fingerprint of a request: two requests with the same one ask the same of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request. Its id, deadline and resume position don't
    /// count, since they change each time that it is sent.
    pub fn new(method: &str, host: &str, path: &str, team: &str, body: &[u8]) -> Self {
        Self::of_blocks(method, host, path, team, body.len(), [body])
    }

    /// As [`Self::new`], for a body of `length` bytes in blocks.
    pub fn of_blocks<'b>(
        method: &str,
        host: &str,
        path: &str,
        team: &str,
        length: usize,
        blocks: impl IntoIterator<Item = &'b [u8]>,
    ) -> Self {
        let [method, host, path, team] = [method, host, path, team].map(str::as_bytes);
        let mut hasher = Sha256::new();
        for field in [method, host, path, team] {
            // The length keeps fields from running into each other.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update((length as u64).to_be_bytes());
        for block in blocks {
            hasher.update(block);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
