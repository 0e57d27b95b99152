//! Authentication between the system's processes.
//!
//! Every message carries an HMAC-SHA256 over its payload. There are two keys,
//! so that a key can be changed without a stop: give all processes the new key
//! as previous one first, then as current one, then drop the old one.

use std::fmt;

use bytes::{BufMut, Bytes, BytesMut};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;

type HmacSha256 = Hmac<Sha256>;

/// Length of an authentication code, in bytes.
const MAC_BYTES: usize = 32;

/// Fewest bytes of a cluster key.
pub const MIN_KEY_BYTES: usize = 16;

/// The keys that the processes of one cluster share.
#[derive(Clone)]
pub struct Keys {
    current: HmacSha256,
    previous: Option<HmacSha256>,
}

/// A cluster key that can't be used.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the cluster key has {length} bytes; give at least {MIN_KEY_BYTES}"))]
pub struct KeyError {
    length: usize,
}

/// A sealed message that was not made with one of the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum OpenError {
    /// Too short to hold an authentication code.
    #[snafu(display("{length} bytes are too short for an authentication code"))]
    Short {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// The authentication code is wrong.
    #[snafu(display("wrong authentication code; give all processes the same cluster key"))]
    Forged,
}

impl Keys {
    /// Keys made of the current secret and, while it is being changed, the
    /// previous one.
    ///
    /// # Errors
    ///
    /// [`KeyError`] where a secret is too short.
    pub fn new(current: &[u8], previous: Option<&[u8]>) -> Result<Self, KeyError> {
        Ok(Self {
            current: keyed(current)?,
            previous: previous.map(keyed).transpose()?,
        })
    }

    /// The authentication code under the current key, then the payload.
    pub fn seal(&self, payload: &[u8]) -> Bytes {
        let mut sealed = BytesMut::with_capacity(MAC_BYTES + payload.len());
        let mut mac = self.current.clone();
        mac.update(payload);
        sealed.put_slice(&mac.finalize().into_bytes());
        sealed.put_slice(payload);
        sealed.freeze()
    }

    /// The payload, where its code was made with the current or previous key.
    ///
    /// The comparison takes the same time wherever the codes differ.
    ///
    /// # Errors
    ///
    /// [`OpenError`] where the message is too short or the code is wrong.
    pub fn open(&self, sealed: Bytes) -> Result<Bytes, OpenError> {
        let length = sealed.len();
        if length < MAC_BYTES {
            return Err(OpenError::Short { length });
        }
        let mut code = sealed;
        let payload = code.split_off(MAC_BYTES);
        let known = [Some(&self.current), self.previous.as_ref()];
        let right = known
            .into_iter()
            .flatten()
            .any(|key| verifies(key, &code, &payload));
        if right {
            Ok(payload)
        } else {
            Err(OpenError::Forged)
        }
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys(..)")
    }
}

fn keyed(secret: &[u8]) -> Result<HmacSha256, KeyError> {
    let length = secret.len();
    if length < MIN_KEY_BYTES {
        return Err(KeyError { length });
    }
    Ok(HmacSha256::new_from_slice(secret).expect("HMAC takes a key of any length"))
}

fn verifies(key: &HmacSha256, code: &[u8], payload: &[u8]) -> bool {
    let mut mac = key.clone();
    mac.update(payload);
    mac.verify_slice(code).is_ok()
}
