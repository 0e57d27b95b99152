//! Writes the answer to a gateway as a stream of frames.

use bytes::Bytes;
use prost::Message;
use tokio::sync::mpsc;

use super::refusal::Refusal;
use crate::control::{MAX_STORED_ANSWER_BYTES, StoredAnswer, StoredChunk};
use crate::peer::message::frame::Part;
use crate::peer::message::{
    End, Failed, Frame, Load, Ran, Refused, RequestId, Run, Started, Usage,
};
use crate::traffic::Code;

/// Most frames that are buffered for a slow gateway.
const MAX_BUFFERED_FRAMES: usize = 64;

/// Why a run failed that started or may have started.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Failure {
    pub(crate) code: Code,
    pub(crate) message: String,
    pub(crate) ran: Ran,
    /// Retry delay for the caller, in milliseconds; zero for none.
    pub(crate) retry_after_ms: u32,
}

impl Failure {
    pub(crate) fn new(code: Code, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran,
            retry_after_ms: 0,
        }
    }

    pub(crate) fn retry_after(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }
}

/// Receives the encoded frames; becomes the body of the HTTP answer.
pub(crate) type FrameReceiver = mpsc::Receiver<Bytes>;

/// Writes frames with rising sequence numbers; the last frame consumes it.
#[derive(Debug)]
pub(crate) struct FrameWriter {
    request: Option<RequestId>,
    step: u32,
    sequence: u64,
    chunks: u64,
    sender: mpsc::Sender<Bytes>,
    // The answer so far; only for a run with an idempotency key.
    stored: Option<StoredAnswer>,
    stored_bytes: usize,
    has_key: bool,
}

impl FrameWriter {
    /// Creates the writer and the receiver of the answer to one run.
    pub(crate) fn channel(run: &Run) -> (Self, FrameReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let writer = Self {
            request: run.request.clone(),
            step: run.step,
            sequence: 0,
            chunks: 0,
            sender,
            stored: None,
            stored_bytes: 0,
            has_key: !run.idempotency_key.is_empty(),
        };
        (writer, receiver)
    }

    /// Returns a future that ends once the gateway has dropped the connection.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let sender = self.sender.clone();
        async move { sender.closed().await }
    }

    /// Writes the first frame; for a run with an idempotency key, also starts to
    /// record the answer.
    pub(crate) async fn write_started(&mut self, status: u16, content_type: &str, replayed: bool) {
        self.stored = self.has_key.then(|| StoredAnswer {
            status,
            content_type: content_type.into(),
            chunks: Vec::new(),
        });
        self.send(Part::Started(Started {
            status: status.into(),
            content_type: content_type.to_owned(),
            replayed,
        }))
        .await;
    }

    pub(crate) async fn write_chunk(&mut self, bytes: Bytes) {
        self.chunks += 1;
        self.record_chunk(&bytes);
        self.send(Part::Chunk(bytes)).await;
    }

    /// Takes the answer written so far; `None` if it is too long to be stored
    /// or the run has no idempotency key.
    pub(crate) fn take_stored(&mut self) -> Option<StoredAnswer> {
        self.stored.take()
    }

    pub(crate) async fn write_end(mut self, usage: Usage, load: Load) {
        let end = End {
            chunks: self.chunks,
            usage: Some(usage),
            load: Some(load),
        };
        self.send(Part::End(end)).await;
    }

    pub(crate) async fn write_refused(mut self, refusal: Refusal, generation: u64, load: Load) {
        let refused = Refused {
            code: refusal.code.as_str().to_owned(),
            message: refusal.message,
            generation,
            retry_after_ms: refusal.retry_after_ms,
            load: Some(load),
        };
        self.send(Part::Refused(refused)).await;
    }

    pub(crate) async fn write_failed(mut self, failure: Failure, usage: Option<Usage>, load: Load) {
        let failed = Failed {
            code: failure.code.as_str().to_owned(),
            message: failure.message,
            ran: failure.ran.into(),
            usage,
            load: Some(load),
            retry_after_ms: failure.retry_after_ms,
        };
        self.send(Part::Failed(failed)).await;
    }

    // Appends a chunk to the recorded answer, which is kept in memory and dropped
    // once it is longer than `MAX_STORED_ANSWER_BYTES`.
    fn record_chunk(&mut self, bytes: &Bytes) {
        if let Some(stored) = &mut self.stored {
            stored.chunks.push(StoredChunk(bytes.clone()));
            self.stored_bytes += bytes.len();
            if self.stored_bytes > MAX_STORED_ANSWER_BYTES {
                self.stored = None;
            }
        }
    }

    // Frames for a gateway that has disconnected are discarded. The run goes
    // on, or is cancelled by the task that waits on `closed`.
    async fn send(&mut self, part: Part) {
        let frame = Frame {
            request: self.request.clone(),
            step: self.step,
            sequence: self.sequence,
            part: Some(part),
        };
        self.sequence += 1;
        let bytes = Bytes::from(frame.encode_length_delimited_to_vec());
        drop(self.sender.send(bytes).await);
    }
}
