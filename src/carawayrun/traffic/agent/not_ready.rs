//! Answers to runs that are not sent to the upstream.

use super::claim::NotClaimed;
use super::frames::{Failure, FrameWriter};
use super::refusal::Refusal;
use super::usage;
use super::worker::Worker;
use crate::control::StoredAnswer;
use crate::peer::message::{Run, Usage};

/// Why a run is not sent.
#[derive(Debug)]
pub(crate) enum NotReady {
    /// It was not run and never will be.
    Refused(Refusal),
    /// It, or the operation of its key, ran or may have run.
    Failed(Failure),
    /// The operation of its key ran; this was the answer.
    Replay(StoredAnswer),
}

impl From<Refusal> for NotReady {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<NotClaimed> for NotReady {
    fn from(not_claimed: NotClaimed) -> Self {
        match not_claimed {
            NotClaimed::Refused(refusal) => Self::Refused(refusal),
            NotClaimed::Failed(failure) => Self::Failed(failure),
            NotClaimed::Replay(stored) => Self::Replay(stored),
        }
    }
}

/// Answers a run that is not sent.
pub(crate) async fn answer(worker: &Worker, run: &Run, frames: FrameWriter, not_ready: NotReady) {
    match not_ready {
        NotReady::Refused(refusal) => refuse(worker, frames, refusal).await,
        NotReady::Failed(failure) => frames.failed(failure, None, worker.load()).await,
        NotReady::Replay(stored) => replay(worker, run, frames, stored).await,
    }
}

/// Refuses a run.
pub(crate) async fn refuse(worker: &Worker, frames: FrameWriter, refusal: Refusal) {
    let generation = worker.view().config.generation;
    worker.handle.counters().count("agent.refused", 1);
    frames.refused(refusal, generation, worker.load()).await;
}

// The answer of the first request with the key; it costs nothing.
async fn replay(worker: &Worker, run: &Run, mut frames: FrameWriter, stored: StoredAnswer) {
    frames
        .started(stored.status, &stored.content_type, true)
        .await;
    for chunk in stored.chunks {
        frames.chunk(chunk.0).await;
    }
    let free = Usage {
        finished: true,
        ..usage::running(run, &worker.upstream)
    };
    frames.end(free, worker.load()).await;
}
