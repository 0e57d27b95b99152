//! One answer being generated, and the readers of its stream.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use futures_core::Stream;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::text::Usage;

/// An answer; its tokens appear one after another.
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

/// How a reader is told to misbehave.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReaderFaults {
    /// Ends the connection in the middle of the answer.
    pub(crate) interrupted: bool,
    /// Carries another request's id from the middle on.
    pub(crate) wrong_request: bool,
}

impl Generation {
    pub(crate) fn usage(&self) -> Usage {
        let completion = self.tokens.len() as u64;
        Usage::new(self.prompt_tokens, self.cached_tokens.get(), completion)
    }

    /// The whole answer as one JSON document.
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

    /// Waits until all tokens are there; false where it was cancelled.
    pub(crate) async fn wait_until_finished(&self) -> bool {
        self.wait_for_tokens(self.tokens.len()).await
    }

    /// The events of the stream from number `first` on.
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
            return Some(Err(io::Error::other("told to cut the stream")));
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

    // Waits until `count` tokens are there; false where it was cancelled.
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

// A crossed answer carries the id and the text of another request.
fn select_text(wrong_request: bool, own: &str) -> &str {
    if wrong_request {
        " another-request"
    } else {
        own
    }
}
