//! Calls that did not succeed.

use awc::error::SendRequestError;
use awc::http::StatusCode;
use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;

use crate::http::may_have_been_sent;
use crate::ops::api::{ErrorBody, ErrorDetail};

/// A call that did not succeed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No server could be reached; nothing was done.
    #[snafu(display("no server could be reached: {message}; see --server"))]
    Unreachable {
        /// What happened at each.
        message: CompactString,
    },
    /// The answer was lost: a write may have taken effect.
    #[snafu(display("{server}: the answer was lost: {message}; a write may have taken effect"))]
    Lost {
        /// The server asked.
        server: CompactString,
        /// What happened.
        message: CompactString,
    },
    /// The server refused the call.
    #[snafu(display("{}", detail.message))]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// What it said.
        detail: Box<ErrorDetail>,
    },
    /// The answer can't be read.
    #[snafu(display("{server}: the answer can't be read: {message}"))]
    Malformed {
        /// The server asked.
        server: CompactString,
        /// What is wrong.
        message: CompactString,
    },
}

impl ClientError {
    /// True where the server said that there is no such thing.
    pub fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused { status, .. } if *status == StatusCode::NOT_FOUND)
    }

    /// True where what was sent is at fault.
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
