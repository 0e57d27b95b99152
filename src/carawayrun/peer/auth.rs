//! Authentication between the system's processes.
//!
//! Every message carries an HMAC-SHA256 over its payload, which is not
//! encrypted: to seal a message is to prepend this code, and to open it is to
//! verify and remove the code.
//!
//! Messages are sealed with the current key. A second key, which the settings
//! call the previous key, is only accepted, so that the key can be rotated
//! without downtime: give all processes the new key as the second one, then
//! make it the current key and the old key the second one, and then remove the
//! old key.

use std::fmt;

use bytes::{BufMut, Bytes, BytesMut};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;

type HmacSha256 = Hmac<Sha256>;

/// Length of an authentication code, in bytes.
const MAC_BYTES: usize = 32;

/// Minimum length of a cluster key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Keys shared by the processes of a cluster.
#[derive(Clone)]
pub struct Keys {
    current: HmacSha256,
    // The second accepted key; the new one at the start of a rotation.
    previous: Option<HmacSha256>,
}

/// Error for a cluster key that is too short.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the cluster key has {length} bytes; give at least {MIN_KEY_BYTES}"))]
pub struct KeyError {
    length: usize,
}

/// Error of opening a sealed message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum OpenError {
    /// The message is too short to hold an authentication code.
    #[snafu(display("{length} bytes are too short for an authentication code"))]
    Short {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// The authentication code was not made with one of the keys.
    #[snafu(display("wrong authentication code; give all processes the same cluster key"))]
    Forged,
}

impl Keys {
    /// Creates keys from the current key and, during a rotation, the second
    /// accepted one.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if a key is too short.
    pub fn new(current: &[u8], previous: Option<&[u8]>) -> Result<Self, KeyError> {
        Ok(Self {
            current: new_mac(current)?,
            previous: previous.map(new_mac).transpose()?,
        })
    }

    /// Returns the authentication code under the current key, followed by the
    /// payload.
    pub fn seal(&self, payload: &[u8]) -> Bytes {
        let mut sealed = BytesMut::with_capacity(MAC_BYTES + payload.len());
        let mut mac = self.current.clone();
        mac.update(payload);
        sealed.put_slice(&mac.finalize().into_bytes());
        sealed.put_slice(payload);
        sealed.freeze()
    }

    /// Returns the payload if its code was made with one of the two accepted
    /// keys.
    ///
    /// The codes are compared in constant time.
    ///
    /// # Errors
    ///
    /// Returns an [`OpenError`] if the message is too short or the code is
    /// wrong.
    pub fn open(&self, sealed: Bytes) -> Result<Bytes, OpenError> {
        let length = sealed.len();
        if length < MAC_BYTES {
            return Err(OpenError::Short { length });
        }
        let mut code = sealed;
        let payload = code.split_off(MAC_BYTES);
        let accepted = [Some(&self.current), self.previous.as_ref()];
        let authentic = accepted
            .into_iter()
            .flatten()
            .any(|key| is_authentic(key, &code, &payload));
        if authentic {
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

fn new_mac(key: &[u8]) -> Result<HmacSha256, KeyError> {
    let length = key.len();
    if length < MIN_KEY_BYTES {
        return Err(KeyError { length });
    }
    Ok(HmacSha256::new_from_slice(key).expect("HMAC takes a key of any length"))
}

fn is_authentic(key: &HmacSha256, code: &[u8], payload: &[u8]) -> bool {
    let mut mac = key.clone();
    mac.update(payload);
    mac.verify_slice(code).is_ok()
}
