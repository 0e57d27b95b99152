//! Checks that a streamed answer is complete and belongs to its request.

use bytes::Bytes;
use serde::Deserialize;
use snafu::Snafu;

use super::sse::SseEvent;
use super::usage::{EngineUsage, Tokens};

/// Data of the last event.
const DONE_DATA: &[u8] = b"[DONE]";

/// Error in an event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub(crate) enum StreamError {
    /// The event belongs to another request.
    #[snafu(display("event of request `{found}` in the answer to `{expected}`"))]
    WrongRequest { found: String, expected: String },
    /// Events before this one are missing.
    #[snafu(display("event {found} received instead of event {expected}"))]
    Gap { found: u64, expected: u64 },
    /// The event has no number, is not the expected JSON, or ends the stream
    /// before the engine has reported the usage.
    #[snafu(display("malformed event: {message}"))]
    Malformed { message: String },
}

/// What to do with an event that passed the check.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AcceptedEvent {
    /// Forward its data.
    Chunk(Bytes),
    /// Discard it: it was forwarded before.
    Duplicate,
    /// End the stream: the answer is complete.
    Done,
}

/// Checks the events of one answer across resumed connections.
#[derive(Debug)]
pub(crate) struct StreamCheck {
    id: String,
    next_number: u64,
    tokens: Option<Tokens>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Chunk {
    id: String,
    usage: Option<EngineUsage>,
}

impl StreamCheck {
    /// Creates a check of the answer to request `id`.
    pub(crate) fn new(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            next_number: 0,
            tokens: None,
        }
    }

    /// Returns the number of the last accepted event.
    pub(crate) fn last_number(&self) -> Option<u64> {
        self.next_number.checked_sub(1)
    }

    /// Returns the tokens that the engine reported; before its report, counts
    /// one completion token per event.
    pub(crate) fn tokens(&self) -> Tokens {
        self.tokens.unwrap_or(Tokens {
            completion: self.next_number,
            ..Tokens::default()
        })
    }

    /// Checks the next event.
    pub(crate) fn accept(&mut self, event: &SseEvent) -> Result<AcceptedEvent, StreamError> {
        if event.data == DONE_DATA {
            return if self.tokens.is_some() {
                Ok(AcceptedEvent::Done)
            } else {
                let message = "end marker before the usage".to_owned();
                MalformedSnafu { message }.fail()
            };
        }
        let chunk: Chunk =
            serde_json::from_slice(&event.data).map_err(|error| malformed(error.to_string()))?;
        if chunk.id != self.id {
            return WrongRequestSnafu {
                found: chunk.id,
                expected: self.id.as_str(),
            }
            .fail();
        }
        let number = event
            .number
            .ok_or_else(|| malformed("event without a number".to_owned()))?;
        if number < self.next_number {
            return Ok(AcceptedEvent::Duplicate);
        }
        if number > self.next_number {
            return GapSnafu {
                found: number,
                expected: self.next_number,
            }
            .fail();
        }
        self.next_number += 1;
        if let Some(usage) = chunk.usage {
            self.tokens = Some(usage.into());
        }
        Ok(AcceptedEvent::Chunk(event.data.clone()))
    }
}

fn malformed(message: String) -> StreamError {
    StreamError::Malformed { message }
}
