//! Messages between the processes: types, authentication and nng links.

#[expect(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    reason = "written by the generator from proto/peer.proto, where the comments stand"
)]
#[rustfmt::skip]
pub mod message;

mod id;

pub use self::id::{NodeId, ParseIdError, RequestId};
