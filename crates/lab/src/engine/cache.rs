//! Prefix cache of limited size, with late events that have gaps.

use std::collections::VecDeque;
use std::time::Duration;

use actix_rt::time::Instant;
use serde::Serialize;

/// Every so many events one is never published.
const GAP_EVERY: u64 = 7;

/// Most events that are kept.
const MAX_EVENTS: usize = 4096;

/// A change of the cache.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct CacheEvent {
    number: u64,
    prefix: u64,
    cached: bool,
    #[serde(skip)]
    time: Option<Instant>,
}

/// The least recently used prefix goes first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    size: usize,
    lag: Duration,
    recent: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    next: u64,
}

impl PrefixCache {
    pub(crate) fn new(size: usize, lag: Duration) -> Self {
        Self {
            size,
            lag,
            recent: VecDeque::new(),
            events: VecDeque::new(),
            next: 1,
        }
    }

    /// Uses a prefix; true where it was in the cache.
    pub(crate) fn touch(&mut self, prefix: u64) -> bool {
        let place = self.recent.iter().position(|&kept| kept == prefix);
        if let Some(place) = place {
            self.recent.remove(place);
        }
        self.recent.push_back(prefix);
        if place.is_none() {
            self.publish(prefix, true);
        }
        if self.recent.len() > self.size
            && let Some(gone) = self.recent.pop_front()
        {
            self.publish(gone, false);
        }
        place.is_some()
    }

    /// Published events after number `after`, late.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        let shown = |event: &&CacheEvent| {
            let late = event.time.is_none_or(|time| time.elapsed() >= self.lag);
            event.number > after && !event.number.is_multiple_of(GAP_EVERY) && late
        };
        self.events.iter().filter(shown).cloned().collect()
    }

    fn publish(&mut self, prefix: u64, cached: bool) {
        self.events.push_back(CacheEvent {
            number: self.next,
            prefix,
            cached,
            time: Some(Instant::now()),
        });
        self.next += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
