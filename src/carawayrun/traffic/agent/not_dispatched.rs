//! Answers to arrivals of runs that are not dispatched to the upstream.

use super::claim::NotClaimed;
use super::frames::{Failure, FrameWriter};
use super::refusal::Refusal;
use super::usage;
use super::worker::Worker;
use crate::control::StoredAnswer;
use crate::peer::message::{Run, Usage};

/// Why an arrival of a run is not dispatched.
#[derive(Debug)]
pub(crate) enum NotDispatched {
    /// This attempt was not executed and never will be.
    Refused(Refusal),
    /// The run, or an earlier request with its key, ran or may have run.
    Failed(Failure),
    /// An earlier request with its key ran; holds the stored answer.
    Replay(StoredAnswer),
}

impl From<Refusal> for NotDispatched {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<NotClaimed> for NotDispatched {
    fn from(not_claimed: NotClaimed) -> Self {
        match not_claimed {
            NotClaimed::Refused(refusal) => Self::Refused(refusal),
            NotClaimed::Failed(failure) => Self::Failed(failure),
            NotClaimed::Replay(stored) => Self::Replay(stored),
        }
    }
}

/// Answers an arrival that is not dispatched: refuses it, reports the failure or
/// replays the stored answer. The run of a duplicate may have been dispatched on
/// an earlier arrival.
pub(crate) async fn answer_not_dispatched(
    worker: &Worker,
    run: &Run,
    frames: FrameWriter,
    reason: NotDispatched,
) {
    match reason {
        NotDispatched::Refused(refusal) => refuse_run(worker, frames, refusal).await,
        NotDispatched::Failed(failure) => frames.write_failed(failure, None, worker.load()).await,
        NotDispatched::Replay(stored) => replay_answer(worker, run, frames, stored).await,
    }
}

/// Refuses a run and counts the refusal.
pub(crate) async fn refuse_run(worker: &Worker, frames: FrameWriter, refusal: Refusal) {
    let generation = worker.view().config.generation;
    worker.handle.counters().count("agent.refused", 1);
    frames
        .write_refused(refusal, generation, worker.load())
        .await;
}

// Sends the stored answer of the first request with the key, free of charge.
async fn replay_answer(worker: &Worker, run: &Run, mut frames: FrameWriter, stored: StoredAnswer) {
    frames
        .write_started(stored.status, &stored.content_type, true)
        .await;
    for chunk in stored.chunks {
        frames.write_chunk(chunk.0).await;
    }
    let usage = Usage {
        finished: true,
        ..usage::of_unfinished(run, &worker.upstream)
    };
    frames.write_end(usage, worker.load()).await;
}
