//! Framing of event streams.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Longest event. An upstream in trouble may send bytes without an end that are no
/// event, which must not fill the memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into complete events, so that an interrupted stream can
/// be resumed at an event boundary.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    last_id: Option<CompactString>,
    events: u64,
}

impl EventBuffer {
    /// Appends bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The end of an event may span two chunks.
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_boundary(&self.pending, from)?;
        let whole = self.pending.split_to(end).freeze();
        self.scan_events(&whole);
        Some(whole)
    }

    /// ID of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events.
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Returns true if bytes of an incomplete event were received.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns true if the incomplete event is longer than any event may be.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event, before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    fn scan_events(&mut self, whole: &[u8]) {
        let mut in_event = false;
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.events += u64::from(in_event);
                in_event = false;
                continue;
            }
            in_event = true;
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id);
                self.last_id = Some(CompactString::from(id.trim()));
            }
        }
    }
}

// Returns the end of the last complete event, which is after an empty line.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|pair| pair == b"\n\n");
    let with_return = tail.windows(4).rposition(|four| four == b"\r\n\r\n");
    let plain = plain.map(|at| from + at + 2);
    let with_return = with_return.map(|at| from + at + 4);
    plain.max(with_return)
}
