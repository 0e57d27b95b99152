//! Deadlines on the runtime's clock.

use std::time::Duration;

use actix_rt::time::Instant;

/// When a request came and when its answer is due.
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

    /// Time since the request came, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Time left until the deadline; none where it has passed.
    pub(super) fn remaining(&self) -> Option<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        (!remaining.is_zero()).then_some(remaining)
    }
}
