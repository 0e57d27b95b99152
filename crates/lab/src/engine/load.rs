//! Load report of the engine, which is delayed.

use std::collections::VecDeque;
use std::time::Duration;

use actix_rt::time::Instant;
use serde::Serialize;

/// Answer of `GET /v1/load`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub(crate) struct LoadBody {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) slots: usize,
    pub(crate) versions: Vec<String>,
}

/// Past loads, the oldest first; the first is the one to report.
#[derive(Debug)]
pub(crate) struct DelayedLoad {
    lag: Duration,
    history: VecDeque<(Instant, LoadBody)>,
}

impl DelayedLoad {
    pub(crate) fn new(lag: Duration, first: LoadBody) -> Self {
        Self {
            lag,
            history: VecDeque::from([(Instant::now(), first)]),
        }
    }

    pub(crate) fn record(&mut self, load: LoadBody) {
        self.drop_expired();
        self.history.push_back((Instant::now(), load));
    }

    /// Returns the latest load recorded at least `lag` ago, or the oldest one if all are
    /// newer. A request that joins the queue records no load.
    pub(crate) fn report(&mut self) -> LoadBody {
        self.drop_expired();
        self.history
            .front()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }

    // Drops the loads that were replaced at least `lag` ago.
    fn drop_expired(&mut self) {
        while self
            .history
            .get(1)
            .is_some_and(|(time, _)| time.elapsed() >= self.lag)
        {
            self.history.pop_front();
        }
    }
}
