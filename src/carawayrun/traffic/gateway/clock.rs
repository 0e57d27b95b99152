//! Deadlines of requests, on the runtime's clock.

use std::time::Duration;

use actix_rt::time::Instant;

/// Arrival time and deadline of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    deadline: Instant,
}

impl Clock {
    pub(super) fn start(deadline_ms: u64) -> Self {
        let start = Instant::now();
        Self {
            start,
            deadline: start + Duration::from_millis(deadline_ms),
        }
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the time left until the deadline, or `None` if it has passed.
    pub(super) fn remaining(&self) -> Option<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        (!remaining.is_zero()).then_some(remaining)
    }
}
