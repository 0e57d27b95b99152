//! Error responses of the resource API.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use compact_str::{CompactString, ToCompactString};
use serde_json::Value;

use super::api::{ErrorBody, ErrorDetail};
use super::store::ReadChangesError;
use super::transaction::WriteError;
use crate::http::{ReadBodyError, json};
use crate::resource::EditError;

/// Error status and body with which an operator's request is answered.
#[derive(Debug)]
pub(super) struct Refusal {
    status: StatusCode,
    detail: Box<ErrorDetail>,
}

impl Refusal {
    pub(super) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let detail = Box::new(ErrorDetail {
            code: code.into(),
            message: message.into(),
            ..ErrorDetail::default()
        });
        Self { status, detail }
    }

    pub(super) fn unknown_key() -> Self {
        Self::new(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
            "no operator has this key; send `authorization: Bearer KEY` with a key whose digest is \
             in --operator-key-digest",
        )
    }

    pub(super) fn stopping() -> Self {
        let message = "this gateway is stopping; nothing was changed; use another";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "draining", message)
    }

    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    pub(super) fn malformed(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "malformed", message)
    }

    /// Returns the name of the counter for refusals with this status.
    pub(super) fn counter_name(&self) -> &'static str {
        match self.status {
            StatusCode::UNAUTHORIZED => "operators.unknown_key",
            StatusCode::CONFLICT => "operators.conflicts",
            StatusCode::SERVICE_UNAVAILABLE => "operators.store_unavailable",
            status if status.is_server_error() => "operators.failed",
            _ => "operators.refused",
        }
    }

    pub(super) fn to_response(&self) -> Response<BoxBody> {
        let body = ErrorBody {
            error: ErrorDetail::clone(&self.detail),
        };
        json(self.status, &body)
    }

    fn conflict(error: &EditError, current: u64) -> Self {
        let mut refusal = Self::new(StatusCode::CONFLICT, "conflict", error.to_string());
        refusal.detail.current = Some(Value::from(current));
        refusal
    }

    fn invalid(error: &EditError, problems: Vec<CompactString>) -> Self {
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        let mut refusal = Self::new(status, "invalid", error.to_string());
        refusal.detail.problems = problems;
        refusal
    }

    fn unavailable(message: String) -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "store_unavailable",
            message,
        )
    }
}

impl From<EditError> for Refusal {
    fn from(error: EditError) -> Self {
        match &error {
            EditError::Conflict { current, .. } => Self::conflict(&error, *current),
            EditError::Missing { .. } => Self::not_found(error.to_string()),
            EditError::Invalid { problems } => {
                let problems = problems.iter().map(ToCompactString::to_compact_string);
                Self::invalid(&error, problems.collect())
            }
        }
    }
}

impl From<WriteError> for Refusal {
    fn from(error: WriteError) -> Self {
        let message = error.to_string();
        match error {
            WriteError::Refused { error } => error.into(),
            WriteError::Unavailable { .. } => Self::unavailable(message),
            WriteError::Unknown { write_id, .. } => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                let mut refusal = Self::new(status, "outcome_unknown", message);
                refusal.detail.write_id = Some(write_id);
                refusal
            }
            WriteError::Corrupt { .. } => {
                Self::new(StatusCode::INTERNAL_SERVER_ERROR, "corrupt", message)
            }
        }
    }
}

impl From<ReadChangesError> for Refusal {
    fn from(error: ReadChangesError) -> Self {
        match error {
            ReadChangesError::Table { source } => Self::unavailable(source.to_string()),
            ReadChangesError::Row { .. } => Self::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "corrupt",
                error.to_string(),
            ),
        }
    }
}

impl From<ReadBodyError> for Refusal {
    fn from(error: ReadBodyError) -> Self {
        let status = match error {
            ReadBodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ReadBodyError::Unreadable { .. } => StatusCode::BAD_REQUEST,
        };
        Self::new(status, "malformed", error.to_string())
    }
}
