//! Stable codes of refusals and failures, part of every error answer.

use std::fmt;
use std::str::FromStr;

use actix_http::StatusCode;
use compact_str::CompactString;
use snafu::Snafu;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:ident;)*) => {
        /// The stable code of an error answer; docs/ERRORS.md says how callers
        /// should react to each.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The text of the code in answers.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// The HTTP status of an answer with this code.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

codes! {
    /// No team has this key.
    UnknownKey = "unknown_key", UNAUTHORIZED;
    /// The team may not use the version.
    ForbiddenVersion = "forbidden_version", FORBIDDEN;
    /// The team may not call the service.
    ForbiddenService = "forbidden_service", FORBIDDEN;
    /// Neither a model nor a version has this name.
    UnknownModel = "unknown_model", NOT_FOUND;
    /// The service has no such task.
    UnknownTask = "unknown_task", BAD_REQUEST;
    /// The API has no call with this method and path.
    UnknownRoute = "unknown_route", NOT_FOUND;
    /// The body can't be parsed as the body of this call.
    MalformedBody = "malformed_body", BAD_REQUEST;
    /// The body is longer than allowed.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// A header that may occur once occurs twice.
    DuplicateHeader = "duplicate_header", BAD_REQUEST;
    /// The value of a header can't be parsed.
    MalformedHeader = "malformed_header", BAD_REQUEST;
    /// The deadline passed before the request could be run.
    DeadlineExpired = "deadline_expired", GATEWAY_TIMEOUT;
    /// The team sends more requests a second than its limit.
    OverRate = "over_rate", TOO_MANY_REQUESTS;
    /// The team has more requests in flight than its limit.
    OverConcurrency = "over_concurrency", TOO_MANY_REQUESTS;
    /// All upstreams are too busy.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// No upstream accepts requests for the version or service.
    NoUpstream = "no_upstream", SERVICE_UNAVAILABLE;
    /// The version is withdrawn and accepts no new requests.
    Withdrawn = "withdrawn", GONE;
    /// The node has no configuration yet, or one older than the request needs.
    StaleConfiguration = "stale_configuration", SERVICE_UNAVAILABLE;
    /// A request with this idempotency key is being run.
    KeyInProgress = "key_in_progress", CONFLICT;
    /// The request with this idempotency key has run; its answer is not stored.
    KeyFinished = "key_finished", CONFLICT;
    /// The idempotency key was used for another request.
    KeyReused = "key_reused", UNPROCESSABLE_ENTITY;
    /// A request with this idempotency key may or may not have run.
    KeyUnknownOutcome = "key_unknown_outcome", CONFLICT;
    /// The request needs a service of the platform that is unavailable.
    StoreUnavailable = "store_unavailable", SERVICE_UNAVAILABLE;
    /// The process is shutting down.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// The upstream failed.
    UpstreamFailed = "upstream_failed", BAD_GATEWAY;
    /// The answer ended early.
    AnswerCut = "answer_cut", BAD_GATEWAY;
    /// The deadline passed while the request ran.
    Timeout = "timeout", GATEWAY_TIMEOUT;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a text that is not a stable code.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("unknown code `{text}`"))]
pub struct UnknownCodeError {
    text: CompactString,
}

impl FromStr for Code {
    type Err = UnknownCodeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.as_str() == text)
            .ok_or_else(|| UnknownCodeError { text: text.into() })
    }
}
