//! Whether a streamed answer is whole and belongs to its request.

use bytes::Bytes;
use serde::Deserialize;
use snafu::Snafu;

use super::sse::SseEvent;
use super::usage::{EngineUsage, Tokens};

/// Data of the last event.
const DONE_DATA: &[u8] = b"[DONE]";

/// What is wrong with an event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub(crate) enum StreamError {
    /// It belongs to another request.
    #[snafu(display("an event of request `{found}` came in the answer to `{expected}`"))]
    WrongRequest { found: String, expected: String },
    /// Events before it are missing.
    #[snafu(display("event {found} came where event {expected} was due"))]
    Gap { found: u64, expected: u64 },
    /// It has no number or is not the expected JSON.
    #[snafu(display("an event can't be read: {message}"))]
    Malformed { message: String },
}

/// What to do with an event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AcceptedEvent {
    /// Pass it on.
    Chunk(Bytes),
    /// It was passed on before.
    Duplicate,
    /// The answer is whole.
    Done,
}

/// Checks the events of one answer, also over resumed connections.
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
    /// A check for the answer to the request `id`.
    pub(crate) fn new(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            next_number: 0,
            tokens: None,
        }
    }

    /// Number of the last event that was accepted.
    pub(crate) fn last_number(&self) -> Option<u64> {
        self.next_number.checked_sub(1)
    }

    /// Tokens as the engine counted them, once it has said so; else counted
    /// by events.
    pub(crate) fn tokens(&self) -> Tokens {
        self.tokens.unwrap_or(Tokens {
            completion: self.next_number,
            ..Tokens::default()
        })
    }

    /// Judges the next event.
    pub(crate) fn accept(&mut self, event: &SseEvent) -> Result<AcceptedEvent, StreamError> {
        if event.data == DONE_DATA {
            return if self.tokens.is_some() {
                Ok(AcceptedEvent::Done)
            } else {
                let message = "the end came before the usage".to_owned();
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
            .ok_or_else(|| malformed("it has no number".to_owned()))?;
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
