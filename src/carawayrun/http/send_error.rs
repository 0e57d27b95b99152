//! Classification of send errors.

use awc::error::{ConnectError, SendRequestError};

/// Returns true if a failed request may have reached its server.
///
/// Without a connection, nothing was sent. The library reports a connection
/// that closed after the request was sent as `Connect(Disconnected)`, so this
/// error counts as sent, too.
pub fn may_have_been_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}
