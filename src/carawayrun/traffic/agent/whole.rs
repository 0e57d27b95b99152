//! Whether a streamed answer is whole and belongs to its request.

use bytes::Bytes;
use serde::Deserialize;
use snafu::Snafu;

use super::sse::SseEvent;
use super::usage::{EngineUsage, Tokens};

/// Data of the last event.
const DONE: &[u8] = b"[DONE]";

/// What is wrong with an event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub(crate) enum StreamFault {
    /// It belongs to another request.
    #[snafu(display("an event of request `{found}` came in the answer to `{wanted}`"))]
    Crossed { found: String, wanted: String },
    /// Events before it are missing.
    #[snafu(display("event {found} came where event {wanted} was due"))]
    Gap { found: u64, wanted: u64 },
    /// It has no number or is not the expected JSON.
    #[snafu(display("an event can't be read: {message}"))]
    Unreadable { message: String },
}

/// What to do with an event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Accepted {
    /// Pass it on.
    Chunk(Bytes),
    /// It was passed on before.
    Doubled,
    /// The answer is whole.
    Done,
}

/// Checks the events of one answer, also over resumed connections.
#[derive(Debug)]
pub(crate) struct StreamCheck {
    id: String,
    next: u64,
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
            next: 0,
            tokens: None,
        }
    }

    /// Number of the last event that was accepted.
    pub(crate) fn last(&self) -> Option<u64> {
        self.next.checked_sub(1)
    }

    /// Tokens as the engine counted them, once it has said so; else counted
    /// by events.
    pub(crate) fn tokens(&self) -> Tokens {
        self.tokens.unwrap_or(Tokens {
            completion: self.next,
            ..Tokens::default()
        })
    }

    /// Judges the next event.
    pub(crate) fn accept(&mut self, event: &SseEvent) -> Result<Accepted, StreamFault> {
        if event.data == DONE {
            return if self.tokens.is_some() {
                Ok(Accepted::Done)
            } else {
                let message = "the end came before the usage".to_owned();
                UnreadableSnafu { message }.fail()
            };
        }
        let chunk: Chunk =
            serde_json::from_slice(&event.data).map_err(|error| unreadable(error.to_string()))?;
        if chunk.id != self.id {
            return CrossedSnafu {
                found: chunk.id,
                wanted: self.id.as_str(),
            }
            .fail();
        }
        let number = event
            .number
            .ok_or_else(|| unreadable("it has no number".to_owned()))?;
        if number < self.next {
            return Ok(Accepted::Doubled);
        }
        if number > self.next {
            return GapSnafu {
                found: number,
                wanted: self.next,
            }
            .fail();
        }
        self.next += 1;
        if let Some(usage) = chunk.usage {
            self.tokens = Some(usage.into());
        }
        Ok(Accepted::Chunk(event.data.clone()))
    }
}

fn unreadable(message: String) -> StreamFault {
    StreamFault::Unreadable { message }
}
