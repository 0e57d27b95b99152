//! How late a message may be that was waiting while this process was paused.
//!
//! A run carries the time left to its deadline, counted from its sending. A
//! process that is paused reads it only when it wakes, when the time may be
//! over. So the thread notes its own pulse; where it stood still, what arrives
//! directly after is taken to be as old as the pause was long.

use std::cell::Cell;
use std::time::Duration;

use actix_rt::time::Instant;

/// Time between two beats.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);

/// A longer time between two beats is a pause.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Time after a pause in which messages from within it may still be read.
const LATE_READ_WINDOW: Duration = Duration::from_secs(1);

/// The pulse of a thread.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last_tick: Cell<Instant>,
    pause: Cell<Option<Pause>>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    end: Instant,
    length: Duration,
}

impl PauseDetector {
    /// A pulse that begins now.
    pub(crate) fn new() -> Self {
        Self {
            last_tick: Cell::new(Instant::now()),
            pause: Cell::new(None),
        }
    }

    /// Notes a beat; due every [`BEAT`].
    pub(crate) fn tick(&self) {
        let now = Instant::now();
        let length = now - self.last_tick.replace(now);
        if length >= MIN_PAUSE {
            self.pause.set(Some(Pause { end: now, length }));
        }
    }

    /// The most that a message that is read now may have waited here.
    pub(crate) fn max_delay(&self) -> Duration {
        let now = Instant::now();
        let elapsed = now - self.last_tick.get();
        if elapsed >= MIN_PAUSE {
            return elapsed;
        }
        match self.pause.get() {
            Some(pause) if now - pause.end < LATE_READ_WINDOW => pause.length,
            _ => Duration::ZERO,
        }
    }
}
