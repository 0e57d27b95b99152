//! Stable codes of refusals and failures, as callers see them.

use std::fmt;
use std::str::FromStr;

use actix_http::StatusCode;
use compact_str::CompactString;
use snafu::Snafu;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:ident;)*) => {
        /// A stable code; docs/ERRORS.md says what a caller should do.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The code as it is written in answers.
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
    /// No call has this method and path.
    UnknownRoute = "unknown_route", NOT_FOUND;
    /// The body is not what the call takes.
    MalformedBody = "malformed_body", BAD_REQUEST;
    /// The body is longer than allowed.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// A header that may stand once stands twice.
    DuplicateHeader = "duplicate_header", BAD_REQUEST;
    /// A header's value can't be read.
    MalformedHeader = "malformed_header", BAD_REQUEST;
    /// The deadline passed before the request could be run.
    DeadlineExpired = "deadline_expired", GATEWAY_TIMEOUT;
    /// The team sends more requests a second than its limit.
    OverRate = "over_rate", TOO_MANY_REQUESTS;
    /// The team has more requests in flight than its limit.
    OverConcurrency = "over_concurrency", TOO_MANY_REQUESTS;
    /// All upstreams are too busy.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// No upstream takes work for the version or service.
    NoUpstream = "no_upstream", SERVICE_UNAVAILABLE;
    /// The version takes no new work.
    Withdrawn = "withdrawn", GONE;
    /// The node's configuration is older than needed, or there is none yet.
    StaleConfiguration = "stale_configuration", SERVICE_UNAVAILABLE;
    /// A request with this idempotency key is being run.
    KeyInProgress = "key_in_progress", CONFLICT;
    /// The request with this idempotency key has run; its answer is not stored.
    KeyFinished = "key_finished", CONFLICT;
    /// The idempotency key was used for another request.
    KeyReused = "key_reused", UNPROCESSABLE_ENTITY;
    /// A request with this idempotency key may or may not have run.
    KeyUnknownOutcome = "key_unknown_outcome", CONFLICT;
    /// The platform's service is needed for this request and is out.
    StoreUnavailable = "store_unavailable", SERVICE_UNAVAILABLE;
    /// The process is stopping.
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

/// A text that is not a stable code.
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
