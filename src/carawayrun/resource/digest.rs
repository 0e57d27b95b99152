//! Digests of keys, so that no key is stored in plain text.

use std::fmt::Write;

use compact_str::CompactString;
use sha2::{Digest, Sha256};

/// Length of a digest, in hexadecimal digits.
pub const DIGEST_DIGITS: usize = 64;

/// Returns the SHA-256 digest of a key, in lower-case hexadecimal.
pub fn key_digest(key: &str) -> CompactString {
    let mut digits = CompactString::with_capacity(DIGEST_DIGITS);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(digits, "{byte:02x}").expect("writing to a string does not fail");
    }
    digits
}
