//! Priority queue of runs that wait for a slot.
//!
//! A run's rank is its arrival time plus an offset for its priority. Interactive
//! runs go first, but a batch run that has waited longer than its offset goes
//! before an interactive run that arrives now, so no priority starves.

use std::collections::BTreeMap;

use crate::control::Millis;
use crate::peer::message::Priority;

/// Offset of the rank of normal runs from that of interactive ones.
const NORMAL_RANK_OFFSET: Millis = Millis(2_000);

/// Offset of the rank of batch runs from that of interactive ones.
const BATCH_RANK_OFFSET: Millis = Millis(20_000);

/// Position of a run in the queue; the lowest rank is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Rank {
    time: Millis,
    sequence: u64,
}

/// Waiting runs, ordered by rank.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    queued: BTreeMap<Rank, QueuedRun<T>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct QueuedRun<T> {
    priority: Priority,
    item: T,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            queued: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Returns the rank of a run that arrives at `now`.
    pub(crate) fn next_rank(&mut self, priority: Priority, now: Millis) -> Rank {
        let offset = match priority {
            Priority::Interactive => Millis(0),
            Priority::Normal | Priority::Unspecified => NORMAL_RANK_OFFSET,
            Priority::Batch => BATCH_RANK_OFFSET,
        };
        self.next_sequence += 1;
        Rank {
            time: now + offset,
            sequence: self.next_sequence,
        }
    }

    pub(crate) fn push(&mut self, rank: Rank, priority: Priority, item: T) {
        self.queued.insert(rank, QueuedRun { priority, item });
    }

    /// Removes and returns the run to serve next.
    pub(crate) fn pop(&mut self) -> Option<T> {
        self.queued.pop_first().map(|(_, first)| first.item)
    }

    /// Removes and returns the interactive run to serve next.
    pub(crate) fn pop_interactive(&mut self) -> Option<T> {
        let is_interactive = |queued: &QueuedRun<T>| queued.priority == Priority::Interactive;
        let mut all = self.queued.iter();
        let rank = *all.find(|(_, queued)| is_interactive(queued))?.0;
        self.remove(rank)
    }

    /// Removes and returns the last run of the queue if it is behind `rank`.
    pub(crate) fn pop_behind(&mut self, rank: Rank) -> Option<T> {
        let last = self.queued.last_entry()?;
        (*last.key() > rank).then(|| last.remove().item)
    }

    pub(crate) fn remove(&mut self, rank: Rank) -> Option<T> {
        self.queued.remove(&rank).map(|queued| queued.item)
    }

    /// Returns the number of runs ahead of `rank`.
    pub(crate) fn count_ahead(&self, rank: Rank) -> usize {
        self.queued.range(..rank).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}
