//! Envelopes as bytes on the wire.
//!
//! A message is an authentication code, one byte for the format, and the
//! envelope in the protocol's encoding. The format byte can't begin any
//! encoded message, so a sealed envelope is never taken for a sealed run.
//!
//! Nothing guards against a message that is sent again by somebody on the
//! network, and nothing needs to: every body is either idempotent or carries
//! a number that only rises (incarnation, version, generation, sums since the
//! start, watermark), so a repeated or late one changes nothing. Acks carry the
//! nonce of their ping. The body of a share is valid for a bounded time only.

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};

use super::auth::{Keys, OpenError};
use super::message::Envelope;

/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Format of the bytes after the authentication code.
const FORMAT: u8 = 1;

/// Writes and reads authenticated envelopes.
#[derive(Debug, Clone)]
pub struct Codec {
    keys: Keys,
}

/// An envelope that can't be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the message has {length} bytes, of at most {MAX_MESSAGE_BYTES}"))]
pub struct EncodeError {
    length: usize,
}

/// Bytes that are no envelope of this cluster.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DecodeError {
    /// Longer than any message.
    #[snafu(display("the message has {length} bytes, of at most {MAX_MESSAGE_BYTES}"))]
    Long {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// Not made with a key of this cluster.
    #[snafu(display("{source}"))]
    Sealed {
        /// What is wrong with the authentication code.
        source: OpenError,
    },
    /// Of another format; a newer or older release.
    #[snafu(display("the format is not {FORMAT}; run the same release everywhere"))]
    Format,
    /// Authentic, but no envelope.
    #[snafu(display("not an envelope: {source}"))]
    Malformed {
        /// What the decoder said.
        source: prost::DecodeError,
    },
}

impl Codec {
    /// A codec under `keys`.
    pub fn new(keys: Keys) -> Self {
        Self { keys }
    }

    /// The sealed bytes of an envelope.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] where it is longer than [`MAX_MESSAGE_BYTES`].
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

    /// The envelope in sealed bytes.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] where they are too long, not authentic or malformed.
    pub fn decode(&self, sealed: Bytes) -> Result<Envelope, DecodeError> {
        let length = sealed.len();
        if length > MAX_MESSAGE_BYTES {
            return LongSnafu { length }.fail();
        }
        let payload = self.keys.open(sealed).context(SealedSnafu)?;
        match payload.split_first() {
            Some((&FORMAT, body)) => Envelope::decode(body).context(MalformedSnafu),
            _ => FormatSnafu.fail(),
        }
    }
}
