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
    /// True if the last event named its id.
    is_named: bool,
    /// True until the first event of a resumed part is complete.
    is_resumed: bool,
    is_broken: bool,
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
    /// Creates a buffer for a stream that goes on after the event with ID `last`, or that
    /// begins if there is none.
    pub fn new(last: Option<&str>) -> Self {
        Self {
            last_id: last.map(CompactString::from),
            is_resumed: last.is_some(),
            ..Self::default()
        }
    }

    /// Appends bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(is_blank) = self.scan_line() {
            if !is_blank {
                continue;
            }
            if !self.block.is_event() {
                self.block = Block::default();
            } else if self.accept_event() {
                whole = self.scanned;
            } else {
                self.is_broken = true;
                break;
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

    /// Returns true if another upstream can be told where to go on: no event is
    /// complete, or the last one named its id.
    pub fn is_resumable(&self) -> bool {
        self.events == 0 || self.is_named
    }

    /// Returns true if bytes of an incomplete event were received.
    pub fn is_within_event(&self) -> bool {
        self.block.is_event() || self.pending.len() > self.scanned
    }

    /// Memory of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.pending.capacity()
    }

    /// Returns true if the incomplete event is longer than any event may be.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns true if the next event can't follow the last one: its id does not go on,
    /// or it is none.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Discards an incomplete event, before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        // Its memory, too: it may be far longer than the events of a sound stream.
        self.pending = BytesMut::new();
        self.scanned = 0;
        self.searched = 0;
        self.block = Block::default();
        self.is_broken = false;
        self.is_resumed |= self.events > 0;
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

    // Ends the event of the current block; returns false if it can't follow the last one.
    fn accept_event(&mut self) -> bool {
        let block = std::mem::take(&mut self.block);
        if !self.can_follow(&block) {
            return false;
        }
        self.events += 1;
        self.is_resumed = false;
        self.is_named = block.id.is_some();
        self.last_id = block.id.or_else(|| self.last_id.take());
        true
    }

    fn can_follow(&self, block: &Block) -> bool {
        let Some(last) = &self.last_id else {
            return true;
        };
        let Some(id) = &block.id else {
            return block.has_data && !self.is_resumed;
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => id > last,
            _ => id != last || !self.is_resumed,
        }
    }
}
