//! The exchange with the upstream: the call, its answer, resumed streams.

use std::cell::Cell;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Deserialize;

use super::frames::{Failure, FrameWriter};
use super::refusal::Refusal;
use super::run::engine_id;
use super::sse::SseReader;
use super::upstream::{Answer, CallFailure};
use super::usage::{EngineUsage, Tokens};
use super::whole::{Accepted, StreamCheck, StreamFault};
use super::worker::Worker;
use crate::peer::message::{Ran, Run};
use crate::resource::Backend;
use crate::traffic::Code;

/// Longest answer of an engine that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Longest reason of an engine that is passed on, in bytes.
const MAX_REASON_BYTES: usize = 1024;

/// Times that a cut stream is resumed.
const MAX_RESUMES: u32 = 4;

/// Wait before the first resume; each next one waits twice as long.
const RESUME_WAIT: Duration = Duration::from_millis(20);

const EVENT_STREAM: &str = "text/event-stream";

/// How the exchange ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The answer is whole.
    Ended(Tokens),
    /// The upstream was not reached, or said that it did nothing.
    NotBegun(Refusal),
    /// It began, or may have; the tokens counted so far.
    Failed(Failure, Tokens),
}

/// How far the exchange has come, also where it is broken off.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    answered: Cell<bool>,
    pub(crate) tokens: Cell<Tokens>,
}

impl Progress {
    /// Whether the run is known to have begun.
    pub(crate) fn ran(&self) -> Ran {
        if self.answered.get() {
            Ran::Yes
        } else {
            Ran::Unknown
        }
    }
}

/// Sends the run and passes its answer on.
pub(crate) async fn exchange(
    worker: &Worker,
    run: &Run,
    frames: &mut FrameWriter,
    backend: Backend,
    progress: &Progress,
) -> Outcome {
    let id = engine_id(run);
    let answer = match worker.client.run(run, &id).await {
        Ok(answer) => answer,
        Err(CallFailure::NotSent { message }) => {
            return Outcome::NotBegun(Refusal::new(Code::NoUpstream, message));
        }
        Err(CallFailure::Lost { message }) => {
            let failure = Failure::new(Code::UpstreamFailed, Ran::Unknown, message);
            return Outcome::Failed(failure, Tokens::default());
        }
    };
    match backend {
        Backend::Plain => plain(answer, frames, progress).await,
        Backend::Engine => engine(worker, run, &id, answer, frames, progress).await,
    }
}

// Whatever a plain service answers is the answer.
async fn plain(mut answer: Answer, frames: &mut FrameWriter, progress: &Progress) -> Outcome {
    progress.answered.set(true);
    frames
        .started(answer.status().as_u16(), &content_type(&answer), false)
        .await;
    while let Some(part) = answer.next().await {
        match part {
            Ok(bytes) => frames.chunk(bytes).await,
            Err(error) => return cut(progress, &error.to_string()),
        }
    }
    Outcome::Ended(Tokens::default())
}

async fn engine(
    worker: &Worker,
    run: &Run,
    id: &str,
    mut answer: Answer,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> Outcome {
    match answer.status() {
        StatusCode::OK => {}
        // The engine says that it did not take the request.
        status @ (StatusCode::NOT_FOUND
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS) => {
            let message = format!("the engine did not take the request: {status}");
            return Outcome::NotBegun(Refusal::new(Code::NoUpstream, message));
        }
        // The body is the caller's; another engine would refuse it too.
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => {
            let message = format!("the engine refused the body: {}", reason(&mut answer).await);
            return Outcome::NotBegun(Refusal::new(Code::MalformedBody, message));
        }
        status => {
            let message = format!("the engine answered {status}");
            let failure = Failure::new(Code::UpstreamFailed, Ran::Yes, message);
            return Outcome::Failed(failure, Tokens::default());
        }
    }
    progress.answered.set(true);
    if run.stream {
        frames.started(200, EVENT_STREAM, false).await;
        return streamed(worker, id, answer, frames, progress).await;
    }
    match answer.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => whole(id, &body, &content_type(&answer), frames).await,
        Err(error) => cut(progress, &error.to_string()),
    }
}

// What the engine says of a refusal, as far as it is short.
async fn reason(answer: &mut Answer) -> String {
    let body = answer.body().limit(MAX_REASON_BYTES).await;
    let text = body.map(|body| String::from_utf8_lossy(&body).trim().to_owned());
    text.unwrap_or_else(|_| answer.status().to_string())
}

#[derive(Deserialize)]
struct WholeAnswer {
    id: String,
    usage: EngineUsage,
}

async fn whole(id: &str, body: &Bytes, content_type: &str, frames: &mut FrameWriter) -> Outcome {
    let failed = |message: String| {
        let failure = Failure::new(Code::UpstreamFailed, Ran::Yes, message);
        Outcome::Failed(failure, Tokens::default())
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
    frames.started(200, content_type, false).await;
    frames.chunk(body.clone()).await;
    Outcome::Ended(answer.usage.into())
}

async fn streamed(
    worker: &Worker,
    id: &str,
    first: Answer,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> Outcome {
    let mut check = StreamCheck::new(id);
    let mut connection = Ok(first);
    let mut wait = RESUME_WAIT;
    for _ in 0..=MAX_RESUMES {
        let broken = match connection {
            Ok(answer) => match pump(answer, &mut check, frames, progress).await {
                Ok(()) => return Outcome::Ended(check.tokens()),
                Err(broken) => broken,
            },
            Err(broken) => broken,
        };
        tracing::warn!(name: "stream.broken", id, last = check.last(), %broken);
        worker.handle.counters().count("agent.streams_broken", 1);
        sleep(wait).await;
        wait *= 2;
        connection = resume(worker, id, &check).await;
    }
    cut(progress, "the stream was cut too often")
}

async fn resume(worker: &Worker, id: &str, check: &StreamCheck) -> Result<Answer, Broken> {
    let broken = |message: String| Broken::Connection { message };
    let answer = worker.client.resume(id, check.last()).await;
    let answer = answer.map_err(|error| broken(error.to_string()))?;
    if answer.status() == StatusCode::OK {
        Ok(answer)
    } else {
        Err(broken(format!("no resume: {}", answer.status())))
    }
}

/// Why one connection of a stream ended early.
#[derive(Debug)]
#[derive(snafu::Snafu)]
enum Broken {
    #[snafu(display("{message}"))]
    Connection { message: String },
    #[snafu(context(false), display("{source}"))]
    Fault { source: StreamFault },
}

// Passes events on until the answer is whole or this connection is of no use.
async fn pump(
    mut answer: Answer,
    check: &mut StreamCheck,
    frames: &mut FrameWriter,
    progress: &Progress,
) -> Result<(), Broken> {
    let connection = |message: String| Broken::Connection { message };
    let mut reader = SseReader::default();
    while let Some(part) = answer.next().await {
        let bytes = part.map_err(|error| connection(error.to_string()))?;
        reader
            .push(&bytes)
            .map_err(|error| connection(error.to_string()))?;
        while let Some(event) = reader.next() {
            match check.accept(&event)? {
                Accepted::Chunk(data) => {
                    progress.tokens.set(check.tokens());
                    frames.chunk(data).await;
                }
                Accepted::Doubled => {}
                Accepted::Done => return Ok(()),
            }
        }
    }
    Err(connection(
        "the stream ended before its end marker".to_owned(),
    ))
}

fn cut(progress: &Progress, message: &str) -> Outcome {
    let failure = Failure::new(Code::AnswerCut, Ran::Yes, message);
    Outcome::Failed(failure, progress.tokens.get())
}

fn content_type(answer: &Answer) -> String {
    let value = answer.headers().get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}
