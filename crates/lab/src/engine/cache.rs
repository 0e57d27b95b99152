//! LRU cache of prompt prefixes whose change events are delayed and have gaps.

use std::collections::VecDeque;
use std::time::Duration;

use actix_rt::time::Instant;
use serde::Serialize;

/// Events whose number is a multiple of this are never published.
const SKIPPED_EVENT_INTERVAL: u64 = 7;

/// Maximum number of stored events.
const MAX_EVENTS: usize = 4096;

/// Insertion of a prefix (`cached`) or its eviction.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct CacheEvent {
    number: u64,
    prefix: u64,
    cached: bool,
    #[serde(skip)]
    time: Option<Instant>,
}

/// Prefix cache with least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    size: usize,
    lag: Duration,
    recent: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    next_number: u64,
}

impl PrefixCache {
    pub(crate) fn new(size: usize, lag: Duration) -> Self {
        Self {
            size,
            lag,
            recent: VecDeque::new(),
            events: VecDeque::new(),
            next_number: 1,
        }
    }

    /// Marks a prefix as used and inserts it if needed; true if it was cached.
    pub(crate) fn touch(&mut self, prefix: u64) -> bool {
        let position = self.recent.iter().position(|&cached| cached == prefix);
        if let Some(position) = position {
            self.recent.remove(position);
        }
        self.recent.push_back(prefix);
        if position.is_none() {
            self.record_event(prefix, true);
        }
        if self.recent.len() > self.size
            && let Some(evicted) = self.recent.pop_front()
        {
            self.record_event(evicted, false);
        }
        position.is_some()
    }

    /// Returns the published events after number `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        let is_visible = |event: &&CacheEvent| {
            let is_due = event.time.is_none_or(|time| time.elapsed() >= self.lag);
            event.number > after && !event.number.is_multiple_of(SKIPPED_EVENT_INTERVAL) && is_due
        };
        self.events.iter().filter(is_visible).cloned().collect()
    }

    fn record_event(&mut self, prefix: u64, cached: bool) {
        self.events.push_back(CacheEvent {
            number: self.next_number,
            prefix,
            cached,
            time: Some(Instant::now()),
        });
        self.next_number += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
