//! Limits on the bytes of a message that bring no progress.
//!
//! A decoder consumes interim heads, chunk sizes with their extensions, and trailers
//! without a result, so that no limit on heads or bodies would end a message that
//! consists of nothing else.

use prometheus_client::encoding::EncodeLabelValue;

/// Longest head of an answer, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Length of all interim heads before an answer together, in bytes.
pub const MAX_INTERIM_BYTES: usize = 16 * 1024;

/// Longest run of bytes of a chunked body that are not data: a size with its
/// extension, or all trailers.
pub const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Bytes of framing that each byte of data makes up for. A chunk of one byte takes
/// five, or twelve with a padded size.
const FRAMING_PER_BYTE: usize = 16;

/// Bytes that one connection may decode before other tasks run.
pub const TURN_BYTES: usize = 64 * 1024;

/// Part of a message that has a limit of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum MessagePart {
    /// Interim heads before the answer.
    Interim,
    /// Head of the answer.
    Head,
    /// Sizes, extensions and trailers of a chunked body.
    Framing,
    /// An event of a stream, with the comments before it.
    Event,
}

impl std::fmt::Display for MessagePart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Interim => "interim heads",
            Self::Head => "head",
            Self::Framing => "chunk framing",
            Self::Event => "event",
        })
    }
}

/// Framing that a body may still have before its next data, in bytes. Data restores it
/// up to [`MAX_FRAMING_BYTES`], so that a sound body may be of any length.
#[derive(Debug, Clone)]
pub struct FramingAllowance {
    left: usize,
}

impl Default for FramingAllowance {
    fn default() -> Self {
        Self {
            left: MAX_FRAMING_BYTES,
        }
    }
}

impl FramingAllowance {
    /// Takes `framing` bytes that came with `data` bytes; returns false if they are more
    /// than the allowance.
    pub fn take(&mut self, framing: usize, data: usize) -> bool {
        let restored = data.saturating_mul(FRAMING_PER_BYTE);
        let allowed = self.left.saturating_add(restored);
        let left = allowed.checked_sub(framing);
        self.left = left.unwrap_or_default().min(MAX_FRAMING_BYTES);
        left.is_some()
    }
}

/// Counts what a connection decodes, so that it gives way to other tasks.
#[derive(Debug, Default)]
pub(super) struct Turn {
    decoded: usize,
}

impl Turn {
    /// Counts decoded bytes.
    pub(super) fn record(&mut self, bytes: usize) {
        self.decoded += bytes;
    }

    /// Lets other tasks run if [`TURN_BYTES`] were decoded since it last did. A socket
    /// that always has more to read would otherwise keep the thread.
    pub(super) async fn give_way(&mut self) {
        if self.decoded >= TURN_BYTES {
            self.decoded = 0;
            tokio::task::yield_now().await;
        }
    }
}
