//! The order in which waiting runs are served.
//!
//! A run's rank is its arrival plus a delay of its class, so a person who
//! waits goes first, and a batch run that has waited longer than the delay
//! goes before a person who comes now: no class waits forever.

use std::collections::BTreeMap;

use crate::control::Millis;
use crate::peer::message::Priority;

/// Delay of normal runs behind interactive ones.
const NORMAL_DELAY: Millis = Millis(2_000);

/// Delay of batch runs behind interactive ones.
const BATCH_DELAY: Millis = Millis(20_000);

/// Place of a run in the queue; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Rank {
    time: Millis,
    sequence: u64,
}

/// Waiting runs in the order in which they are served.
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
    /// The rank of a run that arrives now.
    pub(crate) fn next_rank(&mut self, priority: Priority, now: Millis) -> Rank {
        let delay = match priority {
            Priority::Interactive => Millis(0),
            Priority::Normal | Priority::Unspecified => NORMAL_DELAY,
            Priority::Batch => BATCH_DELAY,
        };
        self.next_sequence += 1;
        Rank {
            time: now + delay,
            sequence: self.next_sequence,
        }
    }

    pub(crate) fn push(&mut self, rank: Rank, priority: Priority, item: T) {
        self.queued.insert(rank, QueuedRun { priority, item });
    }

    /// Takes the run to serve next.
    pub(crate) fn pop(&mut self) -> Option<T> {
        self.queued.pop_first().map(|(_, first)| first.item)
    }

    /// Takes the interactive run to serve next.
    pub(crate) fn pop_interactive(&mut self) -> Option<T> {
        let is_interactive = |queued: &QueuedRun<T>| queued.priority == Priority::Interactive;
        let mut all = self.queued.iter();
        let rank = *all.find(|(_, queued)| is_interactive(queued))?.0;
        self.remove(rank)
    }

    /// Takes the run that would be served last, if it is behind `rank`.
    pub(crate) fn pop_behind(&mut self, rank: Rank) -> Option<T> {
        let last = self.queued.last_entry()?;
        (*last.key() > rank).then(|| last.remove().item)
    }

    pub(crate) fn remove(&mut self, rank: Rank) -> Option<T> {
        self.queued.remove(&rank).map(|queued| queued.item)
    }

    /// Number of runs that are served before `rank`.
    pub(crate) fn count_ahead(&self, rank: Rank) -> usize {
        self.queued.range(..rank).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}
