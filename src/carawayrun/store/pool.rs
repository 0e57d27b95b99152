//! Connections to one service, which are replaced together once one is silent.
//!
//! Open connections may stop carrying data for good without a reset, many at the
//! same moment, while new ones work. Only an answer that stays away shows it. A call
//! without an answer therefore gives up all connections of its generation. If
//! these had answered before, a read may be repeated at once on new ones; only
//! a failure there says that the service itself is away.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use awc::{Client, ClientRequest};
use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use tokio::time::{Instant, timeout};

use super::call::{self, Answer, AnswerProgress, CallError};

/// Idle time after which a connection is not reused. Those that went silent while
/// they were idle are gone by then.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Longest time for an answer on new connections, beyond the time for which the
/// service holds it back.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Shortest time after which a connection that answered before counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Multiple of the slowest recent answer after which a connection counts as silent.
const SILENCE_FACTOR: u32 = 3;

/// Factor by which the slowest recent answer is forgotten with each later one.
const SLOWEST_DECAY: f64 = 0.9;

/// Connections that are replaced together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Generation(u64);

/// What the calls say of the connections. Has no clock of its own.
#[derive(Debug)]
pub(crate) struct PoolState {
    current: Generation,
    /// Newest generation that gave an answer.
    answered: Option<Generation>,
    /// Slowest recent answer, beyond the time for which it was held back.
    slowest: Duration,
}

impl PoolState {
    pub(crate) fn new() -> Self {
        Self {
            current: Generation(0),
            answered: None,
            slowest: Duration::ZERO,
        }
    }

    /// Generation of the next call.
    pub(crate) fn current(&self) -> Generation {
        self.current
    }

    /// Time for the answer of the next call, beyond the time for which the service
    /// holds it back.
    pub(crate) fn answer_timeout(&self) -> Duration {
        if self.has_answered(self.current) {
            (self.slowest * SILENCE_FACTOR).clamp(MIN_SILENCE, ANSWER_TIMEOUT)
        } else {
            ANSWER_TIMEOUT
        }
    }

    /// Records an answer that took `delay` beyond the time for which it was held back;
    /// `None` if it came within that time.
    pub(crate) fn record_answer(&mut self, generation: Generation, delay: Option<Duration>) {
        self.answered = self.answered.max(Some(generation));
        if let Some(delay) = delay {
            self.slowest = self.slowest.mul_f64(SLOWEST_DECAY).max(delay);
        }
    }

    /// Gives up the connections of a call that got no answer. Returns true if they had
    /// answered before, so that new ones may.
    pub(crate) fn record_silence(&mut self, generation: Generation) -> bool {
        if generation == self.current {
            self.current = Generation(generation.0 + 1);
        }
        self.has_answered(generation)
    }

    fn has_answered(&self, generation: Generation) -> bool {
        self.answered >= Some(generation)
    }
}

/// What the calls of a pool cost.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolMetrics {
    /// Bytes of answers that arrived.
    pub(crate) read_bytes: Counter,
    /// Answers that were given up after a part of them had arrived.
    pub(crate) partial_answers: Counter,
}

impl PoolMetrics {
    fn record(&self, answer: &Result<Answer, CallError>, progress: &AnswerProgress) {
        let bytes = progress.bytes();
        self.read_bytes.inc_by(bytes as u64);
        if answer.is_err() && bytes > 0 {
            self.partial_answers.inc();
        }
    }
}

/// Connections to one service, for use on one thread.
pub(crate) struct ConnectionPool {
    client: RefCell<Client>,
    /// Generation of the connections of `client`.
    generation: Cell<Generation>,
    state: RefCell<PoolState>,
    metrics: PoolMetrics,
}

impl ConnectionPool {
    /// Creates a pool, which connects with the first call.
    pub(crate) fn new(metrics: PoolMetrics) -> Self {
        let state = PoolState::new();
        Self {
            client: RefCell::new(call::new_client(KEEP_ALIVE)),
            generation: Cell::new(state.current()),
            state: RefCell::new(state),
            metrics,
        }
    }

    /// Makes a call that may be repeated, and reads at most `limit` bytes of its
    /// answer, which the service may hold back for `wait`. `build` makes the request
    /// for a wait; a repeated call does not wait.
    pub(crate) async fn read(
        &self,
        build: impl Fn(&Client, Duration) -> ClientRequest,
        wait: Duration,
        limit: usize,
    ) -> Result<Answer, CallError> {
        let (client, generation) = self.acquire();
        let time_limit = wait + self.state.borrow().answer_timeout();
        let begun = Instant::now();
        let answer = self
            .exchange(build(&client, wait), Bytes::new(), time_limit, limit)
            .await;
        let Err(error) = answer else {
            return self.finish(generation, begun, wait, answer);
        };
        if !self.record_silence(generation, begun, &error) {
            return Err(error);
        }
        let (client, generation) = self.acquire();
        let begun = Instant::now();
        let request = build(&client, Duration::ZERO);
        let answer = self
            .exchange(request, Bytes::new(), ANSWER_TIMEOUT, limit)
            .await;
        self.finish(generation, begun, Duration::ZERO, answer)
    }

    /// Makes a call that may take effect, and reads at most `limit` bytes of its answer.
    pub(crate) async fn write(
        &self,
        build: impl FnOnce(&Client) -> ClientRequest,
        body: Bytes,
        limit: usize,
    ) -> Result<Answer, CallError> {
        let (client, generation) = self.acquire();
        let begun = Instant::now();
        let answer = self
            .exchange(build(&client), body, ANSWER_TIMEOUT, limit)
            .await;
        self.finish(generation, begun, Duration::ZERO, answer)
    }

    // Records the result of a call begun at `begun`, and checks its status.
    fn finish(
        &self,
        generation: Generation,
        begun: Instant,
        wait: Duration,
        answer: Result<Answer, CallError>,
    ) -> Result<Answer, CallError> {
        match answer {
            Ok(answer) => {
                let delay = begun.elapsed().checked_sub(wait);
                self.state.borrow_mut().record_answer(generation, delay);
                call::check_status(answer)
            }
            Err(error) => {
                self.record_silence(generation, begun, &error);
                Err(error)
            }
        }
    }

    // Returns the client of the current generation, whose connections are all of it.
    fn acquire(&self) -> (Client, Generation) {
        let current = self.state.borrow().current();
        if self.generation.replace(current) != current {
            self.client.replace(call::new_client(KEEP_ALIVE));
        }
        (self.client.borrow().clone(), current)
    }

    // Gives up the connections of a call that failed; returns true if they had answered
    // before.
    fn record_silence(&self, generation: Generation, begun: Instant, error: &CallError) -> bool {
        let has_answered = self.state.borrow_mut().record_silence(generation);
        if has_answered {
            let took_ms = begun.elapsed().as_millis() as u64;
            tracing::warn!(%error, took_ms, "no answer on connections that had answered; replacing them");
        }
        has_answered
    }

    async fn exchange(
        &self,
        request: ClientRequest,
        body: Bytes,
        time_limit: Duration,
        limit: usize,
    ) -> Result<Answer, CallError> {
        let progress = AnswerProgress::default();
        let exchange = call::exchange(request.timeout(time_limit), body, limit, &progress);
        let answer = timeout(time_limit, exchange).await.unwrap_or_else(|_| {
            let progress = progress.describe();
            Err(call::answer_lost(&format!(
                "no complete answer in time, {progress}"
            )))
        });
        self.metrics.record(&answer, &progress);
        answer
    }
}
