//! Connections to one service, which are replaced together once one is silent.
//!
//! Open connections may stop carrying data for good without a reset, many at the
//! same moment, while new ones work. Only silence shows it: an answer that stays away, or
//! stops within its body. A call that meets it therefore gives up all connections of its
//! generation. If these had answered before, a read may be repeated at once on new ones;
//! only a failure there says that the service itself is away.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use awc::{Client, ClientRequest};
use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use super::call::{self, Answer, AnswerLimits, AnswerProgress, CallError, LinkUse};

/// Idle time after which a connection is not reused. Those that went silent while
/// they were idle are gone by then.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Longest silence of new connections, beyond the time for which the service holds an
/// answer back.
pub(crate) const MAX_SILENCE: Duration = Duration::from_millis(900);

/// Shortest time after which a connection that answered before counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Multiple of the longest recent silence after which a connection counts as silent.
const SILENCE_FACTOR: u32 = 3;

/// Factor by which the longest recent silence is forgotten with each later answer.
const SILENCE_DECAY: f64 = 0.9;

/// Connections that are replaced together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Generation(u64);

/// What the calls say of the connections. Has no clock of its own.
#[derive(Debug)]
pub(crate) struct PoolState {
    current: Generation,
    /// Newest generation that gave an answer.
    answered: Option<Generation>,
    /// Longest silence in recent answers, beyond the time for which they were held back.
    longest: Duration,
}

impl PoolState {
    pub(crate) fn new() -> Self {
        Self {
            current: Generation(0),
            answered: None,
            longest: Duration::ZERO,
        }
    }

    /// Generation of the next call.
    pub(crate) fn current(&self) -> Generation {
        self.current
    }

    /// Longest silence of the next call, beyond the time for which the service holds its
    /// answer back.
    pub(crate) fn max_silence(&self) -> Duration {
        if self.has_answered(self.current) {
            (self.longest * SILENCE_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE)
        } else {
            MAX_SILENCE
        }
    }

    /// Records an answer whose head took `delay` beyond the time for which it was held
    /// back, `None` if it came within that time, and whose longest silence after that was
    /// `silence`.
    pub(crate) fn record_answer(
        &mut self,
        generation: Generation,
        delay: Option<Duration>,
        silence: Duration,
    ) {
        self.answered = self.answered.max(Some(generation));
        if let Some(delay) = delay {
            self.longest = self.longest.mul_f64(SILENCE_DECAY).max(delay);
        }
        self.longest = self.longest.max(silence);
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
    link: LinkUse,
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
            link: LinkUse::default(),
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
        let silence = self.state.borrow().max_silence();
        let begun = Instant::now();
        let request = build(&client, wait);
        let limits = answer_limits(wait, silence, limit);
        let answer = self.exchange(generation, request, Bytes::new(), wait, limits);
        let error = match answer.await {
            Err(error @ (CallError::Unavailable { .. } | CallError::Lost { .. })) => error,
            answer => return answer.and_then(call::check_status),
        };
        if !self.record_silence(generation, begun, &error) {
            return Err(error);
        }
        let (client, generation) = self.acquire();
        let begun = Instant::now();
        let request = build(&client, Duration::ZERO);
        let wait = Duration::ZERO;
        let limits = answer_limits(wait, MAX_SILENCE, limit);
        let answer = self.exchange(generation, request, Bytes::new(), wait, limits);
        self.finish(generation, begun, answer.await)
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
        let request = build(&client);
        let wait = Duration::ZERO;
        let limits = answer_limits(wait, MAX_SILENCE, limit);
        let answer = self.exchange(generation, request, body, wait, limits);
        self.finish(generation, begun, answer.await)
    }

    // Gives up the connections of a call begun at `begun` that failed, and checks the
    // status of its answer.
    fn finish(
        &self,
        generation: Generation,
        begun: Instant,
        answer: Result<Answer, CallError>,
    ) -> Result<Answer, CallError> {
        if let Err(error @ (CallError::Unavailable { .. } | CallError::Lost { .. })) = &answer {
            self.record_silence(generation, begun, error);
        }
        answer.and_then(call::check_status)
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

    // Makes a call on connections of `generation`, whose answer the service may hold back
    // for `wait`; records how it came.
    async fn exchange(
        &self,
        generation: Generation,
        request: ClientRequest,
        body: Bytes,
        wait: Duration,
        limits: AnswerLimits,
    ) -> Result<Answer, CallError> {
        let progress = AnswerProgress::default();
        let begun = Instant::now();
        let answer = call::exchange(request, body, limits, &self.link, &progress).await;
        self.metrics.record(&answer, &progress);
        if answer.is_ok() {
            // Beside a large answer it says nothing about the service.
            let is_delayed = self.link.is_used_since(begun);
            let delay = progress.head_after().checked_sub(wait);
            let delay = delay.filter(|_| !is_delayed);
            let silence = if is_delayed {
                Duration::ZERO
            } else {
                progress.silence()
            };
            let mut state = self.state.borrow_mut();
            state.record_answer(generation, delay, silence);
        }
        answer
    }
}

// Limits of an answer of at most `bytes` bytes that the service may hold back for `wait`.
fn answer_limits(wait: Duration, silence: Duration, bytes: usize) -> AnswerLimits {
    AnswerLimits {
        head: wait + silence,
        silence,
        bytes,
    }
}
