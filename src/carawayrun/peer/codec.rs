//! Encoding of envelopes on the wire.
//!
//! A message consists of an authentication code, one format byte and the
//! envelope in the protocol's encoding. No encoded protocol message begins with
//! the format byte, so a sealed envelope can't be mistaken for a sealed run.
//!
//! There is no protection against replay, and none is needed: every body is
//! either idempotent or carries a number that only increases (incarnation,
//! version, generation, sums since the start, watermark), so a repeated or late
//! message has no effect. Acks carry the nonce of their ping. The body of a
//! share is valid for a limited time only.

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};

use super::auth::{Keys, OpenError};
use super::message::Envelope;

/// Maximum length of a received message, in bytes. [`Codec::encode`] compares
/// it with the envelope alone, without authentication code and format byte.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Format byte, which follows the authentication code.
const FORMAT: u8 = 1;

/// Encodes and decodes authenticated envelopes.
#[derive(Debug, Clone)]
pub struct Codec {
    keys: Keys,
}

/// Error for an envelope that is too long to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the message has {length} bytes, of at most {MAX_MESSAGE_BYTES}"))]
pub struct EncodeError {
    length: usize,
}

/// Error of decoding a message.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DecodeError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[snafu(display("the message has {length} bytes, of at most {MAX_MESSAGE_BYTES}"))]
    TooLong {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// The message was not made with a key of this cluster.
    #[snafu(display("{source}"))]
    Unauthentic {
        /// Error of the authentication code.
        source: OpenError,
    },
    /// The message has the format of a newer or older release.
    #[snafu(display("the format is not {FORMAT}; run the same release everywhere"))]
    Format,
    /// The message is authentic, but not an envelope.
    #[snafu(display("not an envelope: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
}

impl Codec {
    /// Creates a codec that uses `keys`.
    pub fn new(keys: Keys) -> Self {
        Self { keys }
    }

    /// Encodes an envelope and prepends its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an [`EncodeError`] if the encoded envelope, without
    /// authentication code and format byte, has [`MAX_MESSAGE_BYTES`] or more.
    pub fn encode(&self, envelope: &Envelope) -> Result<Bytes, EncodeError> {
        let length = envelope.encoded_len();
        if length >= MAX_MESSAGE_BYTES {
            return Err(EncodeError { length });
        }
        let mut payload = BytesMut::with_capacity(1 + length);
        payload.put_u8(FORMAT);
        payload.put_slice(&envelope.encode_to_vec());
        Ok(self.keys.seal(&payload))
    }

    /// Verifies the authentication code of a message and decodes its envelope.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the message is too long, not authentic,
    /// malformed or in the format of another release.
    pub fn decode(&self, sealed: Bytes) -> Result<Envelope, DecodeError> {
        let length = sealed.len();
        if length > MAX_MESSAGE_BYTES {
            return TooLongSnafu { length }.fail();
        }
        let payload = self.keys.open(sealed).context(UnauthenticSnafu)?;
        match payload.split_first() {
            Some((&FORMAT, body)) => Envelope::decode(body).context(MalformedSnafu),
            _ => FormatSnafu.fail(),
        }
    }
}
