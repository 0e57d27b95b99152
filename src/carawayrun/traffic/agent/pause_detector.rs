//! Detects pauses of this process, to bound the delay of messages it reads.
//!
//! A run carries the time left to its deadline, counted from its sending. A
//! process that is paused reads it only when it wakes, when the time may be
//! over. So the thread ticks periodically: after a long gap between two ticks,
//! messages that it reads directly afterwards are assumed to be as old as the
//! gap was long.

use std::cell::Cell;
use std::time::Duration;

use actix_rt::time::Instant;

/// Time between two ticks.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);

/// A longer time between two ticks is a pause.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Time after a pause in which messages that arrived during it may be read.
const LATE_READ_WINDOW: Duration = Duration::from_secs(1);

/// Detects pauses of the thread that ticks it.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    // Time of the last tick.
    last: Cell<Instant>,
    pause: Cell<Option<Pause>>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    end: Instant,
    length: Duration,
}

impl PauseDetector {
    /// Creates a detector whose last tick is now.
    pub(crate) fn new() -> Self {
        Self {
            last: Cell::new(Instant::now()),
            pause: Cell::new(None),
        }
    }

    /// Records a tick; must be called every [`TICK_PERIOD`].
    pub(crate) fn tick(&self) {
        let now = Instant::now();
        let length = now - self.last.replace(now);
        if length >= MIN_PAUSE {
            self.pause.set(Some(Pause { end: now, length }));
        }
    }

    /// Returns the longest time that a message read now may have waited in this
    /// process.
    pub(crate) fn max_delay(&self) -> Duration {
        let now = Instant::now();
        let elapsed = now - self.last.get();
        if elapsed >= MIN_PAUSE {
            return elapsed;
        }
        match self.pause.get() {
            Some(pause) if now - pause.end < LATE_READ_WINDOW => pause.length,
            _ => Duration::ZERO,
        }
    }
}
