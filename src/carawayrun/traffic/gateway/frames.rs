//! Decoding and validation of the frames of one run's answer.
//!
//! An answer is complete only if each frame has the run's request and step, the
//! sequence has no gap, and the end has the number of received chunks. Anything
//! else is an error, so a caller never gets a truncated answer or one of
//! another request without an error.

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};

use crate::peer::message::frame::Part;
use crate::peer::message::{Frame, RequestId, Run};

/// Maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Maximum length of a length prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 10;

/// Error in the frames of an answer, which can't be trusted then.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum FrameError {
    #[snafu(display("a frame can't be decoded: {source}"))]
    Malformed { source: prost::DecodeError },
    #[snafu(display("a frame has {length} bytes; {MAX_FRAME_BYTES} are accepted"))]
    TooLong { length: usize },
    #[snafu(display("a frame belongs to another request or step"))]
    WrongRequest,
    #[snafu(display("frame {found} came where {expected} was due"))]
    OutOfSequence { expected: u64, found: u64 },
    #[snafu(display("a frame of the wrong sort came {position}"))]
    UnexpectedPart { position: &'static str },
    #[snafu(display("the end tells of {declared} chunks, and {received} came"))]
    ChunkCount { declared: u64, received: u64 },
    #[snafu(display("the answer ended before its end frame"))]
    Truncated,
}

// How much of an answer has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    Started,
    Ended,
}

/// Decodes the bytes of an answer into validated parts.
#[derive(Debug)]
pub(super) struct FrameReader {
    request: Option<RequestId>,
    step: u32,
    buffer: BytesMut,
    sequence: u64,
    chunks: u64,
    stage: Stage,
}

impl FrameReader {
    /// Creates a reader for the answer to `run`.
    pub(super) fn new(run: &Run) -> Self {
        Self {
            request: run.request.clone(),
            step: run.step,
            buffer: BytesMut::new(),
            sequence: 0,
            chunks: 0,
            stage: Stage::Waiting,
        }
    }

    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &Bytes) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next part, if all of it has arrived.
    pub(super) fn next(&mut self) -> Result<Option<Part>, FrameError> {
        match self.decode()? {
            Some(frame) => self.check(frame).map(Some),
            None => Ok(None),
        }
    }

    fn decode(&mut self) -> Result<Option<Frame>, FrameError> {
        let mut prefix: &[u8] = &self.buffer;
        let length = match prost::decode_length_delimiter(&mut prefix) {
            Ok(length) => length,
            Err(_) if self.buffer.len() < MAX_PREFIX_BYTES => return Ok(None),
            Err(source) => return Err(FrameError::Malformed { source }),
        };
        if length > MAX_FRAME_BYTES {
            return TooLongSnafu { length }.fail();
        }
        let head = self.buffer.len() - prefix.len();
        if prefix.len() < length {
            self.buffer.reserve(length - prefix.len());
            return Ok(None);
        }
        self.buffer.advance(head);
        let frame = self.buffer.split_to(length).freeze();
        Frame::decode(frame).context(MalformedSnafu).map(Some)
    }

    fn check(&mut self, frame: Frame) -> Result<Part, FrameError> {
        if frame.request != self.request || frame.step != self.step {
            return WrongRequestSnafu.fail();
        }
        if frame.sequence != self.sequence {
            return OutOfSequenceSnafu {
                expected: self.sequence,
                found: frame.sequence,
            }
            .fail();
        }
        self.sequence += 1;
        let part = frame.part.ok_or(FrameError::UnexpectedPart {
            position: "without a part",
        })?;
        self.advance(&part)?;
        Ok(part)
    }

    // Checks the order of the parts: a start, chunks and an end, or a refusal
    // instead. A failure may take the place of any part.
    fn advance(&mut self, part: &Part) -> Result<(), FrameError> {
        let unexpected = |position| UnexpectedPartSnafu { position }.fail();
        self.stage = match (self.stage, part) {
            (Stage::Ended, _) => return unexpected("after the end"),
            (Stage::Waiting, Part::Started(_)) => Stage::Started,
            (Stage::Waiting, Part::Refused(_)) | (_, Part::Failed(_)) => Stage::Ended,
            (Stage::Waiting, _) => return unexpected("before the start"),
            (Stage::Started, Part::Chunk(_)) => {
                self.chunks += 1;
                Stage::Started
            }
            (Stage::Started, Part::End(end)) if end.chunks == self.chunks => Stage::Ended,
            (Stage::Started, Part::End(end)) => {
                return ChunkCountSnafu {
                    declared: end.chunks,
                    received: self.chunks,
                }
                .fail();
            }
            (Stage::Started, _) => return unexpected("after the start"),
        };
        Ok(())
    }
}
