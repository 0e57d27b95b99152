//! Framing of event streams.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Longest event, with the comments before it. An upstream in trouble may send bytes
/// without an end that are no event, which must not fill the memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into complete events, so that an interrupted stream can
/// be resumed at an event boundary.
///
/// Comments and blank lines are no events. They are returned with the event after them.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Length of the complete lines in `pending`.
    scanned: usize,
    /// Length of `pending` that was searched for the end of a line.
    searched: usize,
    block: Block,
    last_id: Option<CompactString>,
    events: u64,
}

/// Lines since the last blank line.
#[derive(Debug, Default)]
struct Block {
    id: Option<CompactString>,
    has_data: bool,
    has_unknown: bool,
}

impl Block {
    fn add_line(&mut self, line: &[u8]) {
        let end = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(end.unwrap_or(line.len()));
        match name {
            b"id" => {
                let value = String::from_utf8_lossy(value.get(1..).unwrap_or_default());
                self.id = Some(CompactString::from(value.trim()));
            }
            b"data" => self.has_data = true,
            b"" | b"event" | b"retry" => {}
            _ => self.has_unknown = true,
        }
    }

    fn is_event(&self) -> bool {
        self.id.is_some() || self.has_data || self.has_unknown
    }
}

impl EventBuffer {
    /// Appends bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(is_blank) = self.scan_line() {
            if !is_blank {
                continue;
            }
            let block = std::mem::take(&mut self.block);
            if block.is_event() {
                self.events += 1;
                self.last_id = block.id.or_else(|| self.last_id.take());
                whole = self.scanned;
            }
        }
        self.scanned -= whole;
        self.searched -= whole;
        (whole > 0).then(|| self.pending.split_to(whole).freeze())
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
        self.block.is_event() || self.pending.len() > self.scanned
    }

    /// Returns true if the incomplete event is longer than any event may be.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event, before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
        self.searched = 0;
        self.block = Block::default();
    }

    /// Removes and returns the comments after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.searched = 0;
        self.pending.split().freeze()
    }

    // Adds the next complete line to the block; returns whether it is blank.
    fn scan_line(&mut self) -> Option<bool> {
        let rest = &self.pending[self.searched..];
        let Some(found) = rest.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.pending.len();
            return None;
        };
        let end = self.searched + found;
        let line = &self.pending[self.scanned..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let is_blank = line.is_empty();
        if !is_blank {
            self.block.add_line(line);
        }
        self.scanned = end + 1;
        self.searched = end + 1;
        Some(is_blank)
    }
}
