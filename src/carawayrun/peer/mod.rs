//! Messages between processes: types, authentication and nng links.

#[expect(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    reason = "generated from proto/peer.proto, which has the comments"
)]
#[rustfmt::skip]
pub mod message;

mod auth;
mod codec;
mod id;
mod link;

#[cfg(test)]
mod tests;

pub use self::auth::{KeyError, Keys, MIN_KEY_BYTES, OpenError};
pub use self::codec::{Codec, DecodeError, EncodeError, MAX_MESSAGE_BYTES};
pub use self::id::{NodeId, ParseIdError, RequestId};
pub use self::link::{BindError, EnvelopeHandler, Link, LinkStats};
