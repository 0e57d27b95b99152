//! Sending a run to one agent and reading the answer.

use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::timeout;
use awc::error::SendRequestError;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::StreamExt;
use prost::Message;

use super::frames::{FrameError, FrameReader};
use crate::http::may_have_been_sent;
use crate::peer::Keys;
use crate::peer::message::frame::Part;
use crate::peer::message::{End, Failed, Ran, Refused, Run, Settle, Settled, Started};

/// Timeout of the call that asks an agent whether it executed a run whose
/// answer was lost.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the response to a settle call, in bytes.
const MAX_SETTLED_BYTES: usize = 1024;

type Body = awc::ClientResponse<actix_http::encoding::Decoder<actix_http::Payload>>;

/// Why an attempt ended without a complete answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The run did not reach the agent.
    NotSent(CompactString),
    /// The agent refused the run; it has not run and never will.
    Refused(Box<Refused>),
    /// The agent reported a failure.
    Failed(Box<Failed>),
    /// The answer was lost or is invalid; the run may have been executed.
    Lost(CompactString),
    /// The deadline passed; the run may have been executed.
    Expired,
}

/// An answer whose start has arrived.
pub(super) struct Answer {
    pub(super) started: Started,
    frames: FrameStream,
}

/// Client of the agent at one address.
#[derive(Clone, Copy)]
pub(super) struct AgentClient<'a> {
    pub(super) client: &'a awc::Client,
    pub(super) keys: &'a Keys,
    pub(super) addr: &'a str,
}

impl AgentClient<'_> {
    /// Sends a run and waits until its answer starts.
    pub(super) async fn send(self, run: &Run, remaining: Duration) -> Result<Answer, AttemptError> {
        timeout(remaining, self.start_run(run))
            .await
            .unwrap_or(Err(AttemptError::Expired))
    }

    /// Asks the agent whether a run whose answer was lost was executed.
    ///
    /// The result is [`Ran::Unknown`] if the agent does not answer in time.
    pub(super) async fn settle(self, run: &Run) -> Ran {
        let settle = Settle {
            request: run.request.clone(),
            step: run.step,
            target: run.target.clone(),
        };
        timeout(SETTLE_TIMEOUT, self.post_settle(&settle))
            .await
            .ok()
            .flatten()
            .unwrap_or(Ran::Unknown)
    }

    async fn start_run(self, run: &Run) -> Result<Answer, AttemptError> {
        let body = self.post("/v1/run", &run.encode_to_vec()).await?;
        if body.status() != StatusCode::OK {
            let status = body.status();
            return Err(AttemptError::Lost(format_compact!(
                "the agent answered with status {status}"
            )));
        }
        let mut frames = FrameStream {
            reader: FrameReader::new(run),
            body,
        };
        match frames.next().await? {
            Part::Started(started) => Ok(Answer { started, frames }),
            Part::Refused(refused) => Err(AttemptError::Refused(Box::new(refused))),
            Part::Failed(failed) => Err(AttemptError::Failed(Box::new(failed))),
            Part::Chunk(_) | Part::End(_) => {
                unreachable!("FrameReader rejects a chunk or an end before the start")
            }
        }
    }

    async fn post_settle(self, settle: &Settle) -> Option<Ran> {
        let mut body = self
            .post("/v1/settle", &settle.encode_to_vec())
            .await
            .ok()?;
        if body.status() != StatusCode::OK {
            return None;
        }
        let bytes = body.body().limit(MAX_SETTLED_BYTES).await.ok()?;
        let settled = Settled::decode(bytes).ok()?;
        Some(super::refusal::normalize_ran(settled.ran()))
    }

    async fn post(self, path: &str, payload: &[u8]) -> Result<Body, AttemptError> {
        let url = format!("http://{}{path}", self.addr);
        self.client
            .post(url)
            .content_type("application/octet-stream")
            .send_body(self.keys.seal(payload))
            .await
            .map_err(|error| classify_send_error(&error))
    }
}

impl Answer {
    /// Returns the next chunk, or the end.
    pub(super) async fn next(&mut self, remaining: Duration) -> Result<AnswerPart, AttemptError> {
        match timeout(remaining, self.frames.next()).await {
            Ok(Ok(Part::Chunk(chunk))) => Ok(AnswerPart::Chunk(chunk)),
            Ok(Ok(Part::End(end))) => Ok(AnswerPart::End(Box::new(end))),
            Ok(Ok(Part::Failed(failed))) => Err(AttemptError::Failed(Box::new(failed))),
            Ok(Ok(_)) => unreachable!("FrameReader rejects a second start or a late refusal"),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(AttemptError::Expired),
        }
    }
}

/// A part of an answer after its start.
#[derive(Debug)]
pub(super) enum AnswerPart {
    /// A chunk of the upstream's response body.
    Chunk(Bytes),
    /// The end of a complete answer.
    End(Box<End>),
}

struct FrameStream {
    reader: FrameReader,
    body: Body,
}

impl FrameStream {
    async fn next(&mut self) -> Result<Part, AttemptError> {
        loop {
            if let Some(part) = self.reader.next().map_err(|error| frame_error(&error))? {
                return Ok(part);
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.reader.push(&bytes),
                Some(Err(error)) => return Err(AttemptError::Lost(error.to_compact_string())),
                None => return Err(frame_error(&FrameError::Truncated)),
            }
        }
    }
}

fn frame_error(error: &FrameError) -> AttemptError {
    AttemptError::Lost(error.to_compact_string())
}

fn classify_send_error(error: &SendRequestError) -> AttemptError {
    let message = error.to_compact_string();
    if may_have_been_sent(error) {
        AttemptError::Lost(message)
    } else {
        AttemptError::NotSent(message)
    }
}
