//! Refusals of attempts that were not executed and never will be. A newer
//! attempt of the same run may be.

use crate::traffic::Code;

/// Why a run is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) message: String,
    /// Retry delay for the caller, in milliseconds; zero for none.
    pub(crate) retry_after_ms: u32,
}

impl Refusal {
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: 0,
        }
    }

    pub(crate) fn retry_after(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }
}
