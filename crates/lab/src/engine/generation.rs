//! Answer in generation, and the event streams that read it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use futures_core::Stream;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::text::Usage;

/// Answer whose tokens are produced one by one.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) id: String,
    pub(crate) version: String,
    pub(crate) tokens: Vec<String>,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: Cell<u64>,
    pub(crate) produced: watch::Sender<usize>,
    pub(crate) cancelled: watch::Sender<bool>,
}

/// Simulated faults of one reader.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReaderFaults {
    /// Closes the connection in the middle of the answer.
    pub(crate) interrupted: bool,
    /// Sends another request's id and text, in a stream from its middle on.
    pub(crate) wrong_request: bool,
}

impl Generation {
    pub(crate) fn usage(&self) -> Usage {
        let completion = self.tokens.len() as u64;
        Usage::new(self.prompt_tokens, self.cached_tokens.get(), completion)
    }

    /// Returns the answer as one JSON document.
    pub(crate) fn to_completion(&self, wrong_request: bool) -> Value {
        let id = self.shown_id(wrong_request);
        json!({
            "id": id,
            "object": "chat.completion",
            "model": self.version,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": select_text(wrong_request, &self.tokens.concat())},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
    }

    /// Waits until all tokens are produced; false if the generation is cancelled.
    pub(crate) async fn wait_until_finished(&self) -> bool {
        self.wait_for_tokens(self.tokens.len()).await
    }

    /// Streams the events from number `first` on.
    pub(crate) fn events(
        self: Rc<Self>,
        first: usize,
        faults: ReaderFaults,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + 'static {
        futures_util::stream::unfold((self, first), move |(generation, number)| async move {
            let event = generation.event(number, faults).await?;
            Some((event, (generation, number + 1)))
        })
    }

    async fn event(&self, number: usize, faults: ReaderFaults) -> Option<Result<Bytes, io::Error>> {
        let half = self.tokens.len() / 2;
        let last = self.tokens.len();
        if number > last + 1 {
            return None;
        }
        if faults.interrupted && number == half {
            return Some(Err(io::Error::other(
                "stream interrupted by the fault cutStreams",
            )));
        }
        if !self.wait_for_tokens((number + 1).min(last)).await {
            return Some(Err(io::Error::other("cancelled")));
        }
        if number == last + 1 {
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        let wrong_request = faults.wrong_request && number >= half;
        let chunk = self.chunk(number, wrong_request);
        Some(Ok(Bytes::from(format!("id: {number}\ndata: {chunk}\n\n"))))
    }

    fn chunk(&self, number: usize, wrong_request: bool) -> Value {
        let id = self.shown_id(wrong_request);
        let Some(token) = self.tokens.get(number) else {
            return json!({
                "id": id,
                "object": "chat.completion.chunk",
                "model": self.version,
                "choices": [],
                "usage": self.usage(),
            });
        };
        let last = number + 1 == self.tokens.len();
        json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [{
                "index": 0,
                "delta": {"content": select_text(wrong_request, token)},
                "finish_reason": last.then_some("stop"),
            }],
        })
    }

    // Waits until `count` tokens are produced; false if the generation is cancelled.
    async fn wait_for_tokens(&self, count: usize) -> bool {
        let mut produced = self.produced.subscribe();
        let mut cancelled = self.cancelled.subscribe();
        tokio::select! {
            done = produced.wait_for(|&produced| produced >= count) => done.is_ok(),
            _ = cancelled.wait_for(|&cancelled| cancelled) => false,
        }
    }

    fn shown_id(&self, wrong_request: bool) -> &str {
        select_text(wrong_request, &self.id)
    }
}

// Returns another request's id or text in place of its own if `wrong_request` is set.
fn select_text(wrong_request: bool, own: &str) -> &str {
    if wrong_request {
        " another-request"
    } else {
        own
    }
}
