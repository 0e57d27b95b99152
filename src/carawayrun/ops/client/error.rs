//! Errors of the client.

use awc::error::SendRequestError;
use awc::http::StatusCode;
use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;

use crate::http::may_have_been_sent;
use crate::ops::api::{ErrorBody, ErrorDetail};

/// Error of a call to the resource API.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No server could be reached, so nothing was changed.
    #[snafu(display("no server could be reached: {message}; see --server"))]
    Unreachable {
        /// Error of each server.
        message: CompactString,
    },
    /// The connection failed after the request was sent, so a write may have
    /// taken effect.
    #[snafu(display("{server}: the answer was lost: {message}; a write may have taken effect"))]
    Lost {
        /// Address of the server.
        server: CompactString,
        /// Error of the connection.
        message: CompactString,
    },
    /// The server answered with an error status.
    #[snafu(display("{}", detail.message))]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Error in the body of the answer.
        detail: Box<ErrorDetail>,
    },
    /// The answer can't be parsed.
    #[snafu(display("{server}: the answer can't be read: {message}"))]
    Malformed {
        /// Address of the server.
        server: CompactString,
        /// Parse error.
        message: CompactString,
    },
}

impl ClientError {
    /// Returns whether the server answered that the item does not exist.
    pub fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused { status, .. } if *status == StatusCode::NOT_FOUND)
    }

    /// Returns whether the server rejected the content of the request.
    pub fn is_invalid(&self) -> bool {
        matches!(
            self,
            Self::Refused { status, .. }
                if matches!(*status, StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY)
        )
    }
}

pub(super) fn send_error(server: &CompactString, error: &SendRequestError) -> ClientError {
    let message = error.to_compact_string();
    if may_have_been_sent(error) {
        let server = server.clone();
        return ClientError::Lost { server, message };
    }
    ClientError::Unreachable {
        message: format!("{server}: {message}").into(),
    }
}

pub(super) fn refused_error(status: StatusCode, body: &[u8]) -> ClientError {
    let parsed: Result<ErrorBody, _> = serde_json::from_slice(body);
    let detail = parsed.map_or_else(
        |_| ErrorDetail {
            code: "malformed".into(),
            message: format!("status {status} without an error of this API; is it a gateway's operators' address?"),
            ..ErrorDetail::default()
        },
        |body| body.error,
    );
    ClientError::Refused {
        status,
        detail: Box::new(detail),
    }
}

pub(super) fn malformed_error(server: &CompactString, error: &serde_json::Error) -> ClientError {
    ClientError::Malformed {
        server: server.clone(),
        message: error.to_compact_string(),
    }
}

pub(super) fn lost_answer<T>(
    server: &CompactString,
    message: &impl ToCompactString,
) -> Result<T, ClientError> {
    LostSnafu {
        server: server.clone(),
        message: message.to_compact_string(),
    }
    .fail()
}

pub(super) fn no_server_error() -> ClientError {
    ClientError::Unreachable {
        message: "none is given".into(),
    }
}
