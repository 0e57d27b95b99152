//! Errors of requests and their responses to callers.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use compact_str::{CompactString, ToCompactString};
use serde::Serialize;

use crate::http::json;
use crate::peer::message::{Failed, Ran, Refused};
use crate::traffic::Code;

/// Why a request got no complete answer, and whether it ran.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Refusal {
    pub(super) code: Code,
    pub(super) message: CompactString,
    pub(super) ran: Ran,
    pub(super) retry_after_ms: Option<u64>,
}

/// The error object of the chat completions protocol, with additional fields.
#[derive(Debug)]
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    ran: &'static str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and never will.
    pub(super) fn new(code: Code, message: impl Into<CompactString>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after_ms: None,
        }
    }

    /// Sets the retry delay that is suggested to the caller, in milliseconds.
    pub(super) fn retry_after(mut self, wait_ms: u64) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }

    /// Creates a failure that occurred after the run was sent; `ran` says
    /// whether the request ran.
    pub(super) fn failure(code: Code, message: impl Into<CompactString>, ran: Ran) -> Self {
        Self {
            ran,
            ..Self::new(code, message)
        }
    }

    /// Converts an agent's refusal. An unknown code, sent by a newer agent,
    /// counts as an overload.
    pub(super) fn from_refused(refused: &Refused) -> Self {
        Self {
            code: refused.code.parse().unwrap_or(Code::Overloaded),
            message: refused.message.to_compact_string(),
            ran: Ran::No,
            retry_after_ms: retry_after_ms(refused.retry_after_ms),
        }
    }

    /// Converts an agent's failure. An unknown code, sent by a newer agent,
    /// counts as a failure of the upstream.
    pub(super) fn from_failed(failed: &Failed) -> Self {
        Self {
            code: failed.code.parse().unwrap_or(Code::UpstreamFailed),
            message: failed.message.to_compact_string(),
            ran: normalize_ran(failed.ran()),
            retry_after_ms: retry_after_ms(failed.retry_after_ms),
        }
    }

    /// Builds the response to the caller.
    pub(super) fn response(&self, request_id: &str) -> Response<BoxBody> {
        let mut response = json(self.code.status(), &self.body(request_id));
        if let Some(wait_ms) = self.retry_after_ms {
            let seconds = HeaderValue::from(wait_ms.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        if response.status() == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }

    /// Returns the error body as JSON text: the payload of the event that ends a
    /// stream with an error.
    pub(super) fn to_json(&self, request_id: &str) -> String {
        serde_json::to_string(&self.body(request_id)).expect("an error can be written as JSON")
    }

    fn body<'a>(&'a self, request_id: &'a str) -> ErrorBody<'a> {
        ErrorBody {
            error: ErrorObject {
                message: &self.message,
                r#type: error_type(self.code.status()),
                code: self.code.as_str(),
                ran: ran_text(self.ran),
                request_id,
                retry_after_ms: self.retry_after_ms,
            },
        }
    }
}

/// Replaces an unspecified value from a peer by [`Ran::Unknown`].
pub(super) fn normalize_ran(ran: Ran) -> Ran {
    match ran {
        Ran::Unspecified => Ran::Unknown,
        ran => ran,
    }
}

// In an agent's message, zero stands for no retry delay.
fn retry_after_ms(wait_ms: u32) -> Option<u64> {
    (wait_ms > 0).then_some(u64::from(wait_ms))
}

/// Returns `no`, `yes` or `unknown`.
pub(super) fn ran_text(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown | Ran::Unspecified => "unknown",
    }
}

// Error types that clients of the chat completions protocol know.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
