//! Whether a request that failed may have reached its server.

use awc::error::{ConnectError, SendRequestError};

/// True where the server may have got the request.
///
/// Without a connection nothing was sent. A connection that ended after the
/// request was sent is reported by the library as `Connect(Disconnected)`, so
/// that counts as sent too.
pub fn may_have_been_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}
