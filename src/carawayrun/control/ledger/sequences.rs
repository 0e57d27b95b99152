//! Compact sets of request numbers.

use serde::{Deserialize, Serialize};

/// A range of numbers; both ends are included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Span {
    first: u64,
    last: u64,
}

/// A set of request numbers: all numbers up to a watermark, and spans above it.
///
/// Only requests in flight leave gaps between spans, so the set stays small.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct Sequences {
    watermark: u64,
    #[serde(default)]
    above: Vec<Span>,
}

impl Sequences {
    /// The number up to which all numbers are in the set.
    pub(super) fn watermark(&self) -> u64 {
        self.watermark
    }

    pub(super) fn contains(&self, number: u64) -> bool {
        if number <= self.watermark {
            return true;
        }
        let index = self.above.partition_point(|span| span.last < number);
        self.above
            .get(index)
            .is_some_and(|span| span.first <= number)
    }

    /// Adds a number; false if it was already in the set.
    pub(super) fn insert(&mut self, number: u64) -> bool {
        if self.contains(number) {
            return false;
        }
        let index = self.above.partition_point(|span| span.last < number);
        self.above.insert(
            index,
            Span {
                first: number,
                last: number,
            },
        );
        self.merge_with_next(index);
        if index > 0 {
            self.merge_with_next(index - 1);
        }
        self.raise_watermark();
        true
    }

    // Merges a span with the next one if they are adjacent.
    fn merge_with_next(&mut self, index: usize) {
        let Some(next) = self.above.get(index + 1).copied() else {
            return;
        };
        if self.above[index].last + 1 == next.first {
            self.above[index].last = next.last;
            self.above.remove(index + 1);
        }
    }

    // Moves spans that are adjacent to the watermark below it.
    fn raise_watermark(&mut self) {
        while let Some(first) = self.above.first().copied() {
            if first.first != self.watermark + 1 {
                return;
            }
            self.watermark = first.last;
            self.above.remove(0);
        }
    }
}
