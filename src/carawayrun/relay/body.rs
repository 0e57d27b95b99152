//! Bodies in blocks, which cost what has arrived.

use bytes::{Bytes, BytesMut};

/// Largest block, in bytes.
pub(super) const MAX_BLOCK_BYTES: usize = 64 * 1024;

/// Smallest block, in bytes.
const MIN_BLOCK_BYTES: usize = 1024;

/// A whole body. Clones share its blocks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Body {
    blocks: Vec<Bytes>,
    length: usize,
}

impl Body {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Copies the body into one piece.
    pub(super) fn to_vec(&self) -> Vec<u8> {
        self.blocks.concat()
    }

    pub(super) fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }
}

impl From<Bytes> for Body {
    fn from(block: Bytes) -> Self {
        let length = block.len();
        let blocks = if length == 0 { Vec::new() } else { vec![block] };
        Self { blocks, length }
    }
}

/// A body that is being received.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    blocks: Vec<Bytes>,
    last: BytesMut,
    length: usize,
}

impl BodyBuffer {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Memory of the blocks once `added` more bytes are copied, in bytes.
    pub(super) fn cost_with(&self, added: usize) -> usize {
        let full = self.length - self.last.len();
        let begun = full + self.last.capacity();
        let length = self.length + added;
        if length <= begun {
            return begun;
        }
        // Those that follow have no room left, but for the last one.
        length + length.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES)
    }

    /// Copies `data` to the end.
    pub(super) fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                self.add_block();
                continue;
            }
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(fitting);
            self.length += fitting.len();
            data = rest;
        }
    }

    /// The whole body.
    pub(super) fn freeze(mut self) -> Body {
        if !self.last.is_empty() {
            self.blocks.push(self.last.freeze());
        }
        Body {
            blocks: self.blocks,
            length: self.length,
        }
    }

    // Begins a block as large as all before, so that at most half of the memory is unused.
    fn add_block(&mut self) {
        let size = self.length.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.blocks.push(full.freeze());
        }
    }
}
