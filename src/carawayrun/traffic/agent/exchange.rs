//! Sends a run to the upstream and forwards the answer, resuming streams that
//! are interrupted.

use std::cell::Cell;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Deserialize;

use super::frames::{Failure, FrameWriter};
use super::refusal::Refusal;
use super::run::engine_request_id;
use super::sse::SseReader;
use super::stream_check::{AcceptedEvent, StreamCheck, StreamError};
use super::upstream::{Answer, CallError};
use super::usage::{EngineUsage, Tokens};
use super::worker::Worker;
use crate::peer::message::{Ran, Run};
use crate::resource::Backend;
use crate::traffic::Code;

/// Longest answer of an engine that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Longest error text of an engine that is forwarded, in bytes.
const MAX_REASON_BYTES: usize = 1024;

/// Maximum number of resume requests whose answer is read. After the last of
/// these is interrupted, one more is sent, but its answer is not read.
const MAX_RESUMES: u32 = 4;

/// Delay before the first resume; doubles with each further one.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(20);

/// Greatest status that HTTP has.
const MAX_STATUS: u16 = 599;

const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Outcome of one send of a run to the upstream.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The answer is complete; holds the tokens used.
    Completed(Tokens),
    /// The upstream was not reached, or refused the run without executing it.
    NotStarted(Refusal),
    /// The run started, or may have; holds the tokens counted so far.
    Failed(Failure, Tokens),
}

/// Progress of an exchange; stays readable if the exchange is dropped.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    answered: Cell<bool>,
    pub(crate) tokens: Cell<Tokens>,
}

impl Progress {
    /// Returns `Yes` once the upstream has answered, else `Unknown`.
    pub(crate) fn ran(&self) -> Ran {
        if self.answered.get() {
            Ran::Yes
        } else {
            Ran::Unknown
        }
    }
}

/// Sends the run to the upstream and forwards its answer.
pub(crate) async fn exchange(
    worker: &Worker,
    run: &Run,
    frames: &mut FrameWriter,
    backend: Backend,
    progress: &Progress,
) -> AttemptOutcome {
    let id = engine_request_id(run);
    let answer = match worker.client.send_run(run, &id).await {
        Ok(answer) => answer,
        Err(CallError::NotSent { message }) => {
            return AttemptOutcome::NotStarted(Refusal::new(Code::NoUpstream, message));
        }
        Err(CallError::Unanswered { message }) => {
            let failure = Failure::new(Code::UpstreamFailed, Ran::Unknown, message);
            return AttemptOutcome::Failed(failure, Tokens::default());
        }
    };
    match backend {
        Backend::Plain => forward_plain(run, answer, frames, progress).await,
        Backend::Engine => forward_engine(worker, run, &id, answer, frames, progress).await,
    }
}

// Forwards the answer of a plain service unchanged, whatever its status.
async fn forward_plain(
    run: &Run,
    mut answer: Answer,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> AttemptOutcome {
    progress.answered.set(true);
    if answer.status().as_u16() > MAX_STATUS {
        let message = format!(
            "the service answered {}, which is no status",
            answer.status()
        );
        let failure = Failure::new(Code::UpstreamFailed, Ran::Yes, message);
        return AttemptOutcome::Failed(failure, Tokens::default());
    }
    if run.method != "HEAD" && !is_framed(&answer) {
        let message = "the answer has neither a length nor chunks, so its end can't be told";
        let failure = Failure::new(Code::UpstreamFailed, Ran::Yes, message);
        return AttemptOutcome::Failed(failure, Tokens::default());
    }
    frames
        .write_started(answer.status().as_u16(), &content_type(&answer), false)
        .await;
    while let Some(part) = answer.next().await {
        match part {
            Ok(bytes) => frames.write_chunk(bytes).await,
            Err(error) => return interrupted_outcome(progress, &error.to_string()),
        }
    }
    AttemptOutcome::Completed(Tokens::default())
}

// True if the client sees where the body ends. `awc` reads an unframed one as empty.
fn is_framed(answer: &Answer) -> bool {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&answer.status());
    let headers = answer.headers();
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn forward_engine(
    worker: &Worker,
    run: &Run,
    id: &str,
    mut answer: Answer,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> AttemptOutcome {
    match answer.status() {
        StatusCode::OK => {}
        // With these statuses an engine refuses a request without running it.
        status @ (StatusCode::NOT_FOUND
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS) => {
            let message = format!("the engine did not take the request: {status}");
            return AttemptOutcome::NotStarted(Refusal::new(Code::NoUpstream, message));
        }
        // The body comes from the caller; every other engine would refuse it
        // too.
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => {
            let message = format!(
                "the engine refused the body: {}",
                read_reason(&mut answer).await
            );
            return AttemptOutcome::NotStarted(Refusal::new(Code::MalformedBody, message));
        }
        status => {
            let message = format!("the engine answered {status}");
            let failure = Failure::new(Code::UpstreamFailed, Ran::Yes, message);
            return AttemptOutcome::Failed(failure, Tokens::default());
        }
    }
    progress.answered.set(true);
    if run.stream {
        frames.write_started(200, EVENT_STREAM_TYPE, false).await;
        return forward_stream(worker, id, answer, frames, progress).await;
    }
    match answer.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => forward_whole(id, &body, &content_type(&answer), frames).await,
        Err(error) => interrupted_outcome(progress, &error.to_string()),
    }
}

// Returns the text of an engine's error answer, or its status if the text is
// too long.
async fn read_reason(answer: &mut Answer) -> String {
    let body = answer.body().limit(MAX_REASON_BYTES).await;
    let text = body.map(|body| String::from_utf8_lossy(&body).trim().to_owned());
    text.unwrap_or_else(|_| answer.status().to_string())
}

#[derive(Deserialize)]
struct WholeAnswer {
    id: String,
    usage: EngineUsage,
}

async fn forward_whole(
    id: &str,
    body: &Bytes,
    content_type: &str,
    frames: &mut FrameWriter,
) -> AttemptOutcome {
    let failed = |message: String| {
        let failure = Failure::new(Code::UpstreamFailed, Ran::Yes, message);
        AttemptOutcome::Failed(failure, Tokens::default())
    };
    let answer: WholeAnswer = match serde_json::from_slice(body) {
        Ok(answer) => answer,
        Err(error) => return failed(format!("the engine's answer can't be read: {error}")),
    };
    if answer.id != id {
        let found = answer.id;
        return failed(format!(
            "the engine answered request `{found}` to request `{id}`"
        ));
    }
    frames.write_started(200, content_type, false).await;
    frames.write_chunk(body.clone()).await;
    AttemptOutcome::Completed(answer.usage.into())
}

async fn forward_stream(
    worker: &Worker,
    id: &str,
    first: Answer,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> AttemptOutcome {
    let mut check = StreamCheck::new(id);
    let mut connection = Ok(first);
    let mut delay = INITIAL_RESUME_DELAY;
    for _ in 0..=MAX_RESUMES {
        let interruption = match connection {
            Ok(answer) => match forward_events(answer, &mut check, frames, progress).await {
                Ok(()) => return AttemptOutcome::Completed(check.tokens()),
                Err(interruption) => interruption,
            },
            Err(interruption) => interruption,
        };
        tracing::warn!(
            name: "stream.broken",
            id,
            last = check.last_number(),
            broken = %interruption,
        );
        worker.handle.counters().count("agent.streams_broken", 1);
        sleep(delay).await;
        delay *= 2;
        connection = resume_stream(worker, id, &check).await;
    }
    interrupted_outcome(progress, "the stream was cut too often")
}

async fn resume_stream(
    worker: &Worker,
    id: &str,
    check: &StreamCheck,
) -> Result<Answer, Interruption> {
    let interruption = |message: String| Interruption::Connection { message };
    let answer = worker.client.resume_stream(id, check.last_number()).await;
    let answer = answer.map_err(|error| interruption(error.to_string()))?;
    if answer.status() == StatusCode::OK {
        Ok(answer)
    } else {
        Err(interruption(format!(
            "the engine answered the resume request with status {}",
            answer.status()
        )))
    }
}

/// Why a connection of a stream ended before the answer was complete.
#[derive(Debug)]
#[derive(snafu::Snafu)]
enum Interruption {
    #[snafu(display("{message}"))]
    Connection { message: String },
    #[snafu(context(false), display("{source}"))]
    Fault { source: StreamError },
}

// Forwards events until the answer is complete or the connection fails.
async fn forward_events(
    mut answer: Answer,
    check: &mut StreamCheck,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> Result<(), Interruption> {
    let connection = |message: String| Interruption::Connection { message };
    let mut reader = SseReader::default();
    while let Some(part) = answer.next().await {
        let bytes = part.map_err(|error| connection(error.to_string()))?;
        reader
            .push(&bytes)
            .map_err(|error| connection(error.to_string()))?;
        while let Some(event) = reader.next() {
            match check.accept(&event)? {
                AcceptedEvent::Chunk(data) => {
                    progress.tokens.set(check.tokens());
                    frames.write_chunk(data).await;
                }
                AcceptedEvent::Duplicate => {}
                AcceptedEvent::Done => return Ok(()),
            }
        }
    }
    Err(connection(
        "the stream ended before its end marker".to_owned(),
    ))
}

fn interrupted_outcome(progress: &Progress, message: &str) -> AttemptOutcome {
    let failure = Failure::new(Code::AnswerCut, Ran::Yes, message);
    AttemptOutcome::Failed(failure, progress.tokens.get())
}

fn content_type(answer: &Answer) -> String {
    let value = answer.headers().get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}
