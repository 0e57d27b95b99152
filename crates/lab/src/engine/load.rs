//! Load as the engine reports it: some time late.

use std::collections::VecDeque;
use std::time::Duration;

use actix_rt::time::Instant;
use serde::Serialize;

/// What `GET /v1/load` answers.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub(crate) struct LoadBody {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) slots: usize,
    pub(crate) versions: Vec<String>,
}

/// Past loads, the newest last.
#[derive(Debug)]
pub(crate) struct LaggingLoad {
    lag: Duration,
    past: VecDeque<(Instant, LoadBody)>,
}

impl LaggingLoad {
    pub(crate) fn new(lag: Duration, first: LoadBody) -> Self {
        Self {
            lag,
            past: VecDeque::from([(Instant::now(), first)]),
        }
    }

    pub(crate) fn record(&mut self, load: LoadBody) {
        self.forget();
        self.past.push_back((Instant::now(), load));
    }

    pub(crate) fn reported(&mut self) -> LoadBody {
        self.forget();
        self.past
            .front()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }

    fn forget(&mut self) {
        while self
            .past
            .get(1)
            .is_some_and(|(time, _)| time.elapsed() >= self.lag)
        {
            self.past.pop_front();
        }
    }
}
