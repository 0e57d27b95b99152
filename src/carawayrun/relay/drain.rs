//! Planned stop of a relay.
//!
//! A drain has an end that is known from its first moment. No request is answered later,
//! so its deadline is the earlier of its own and the drain's. While the balancer can't
//! know of the drain, a request is taken if it is expected to end by then, and later only
//! if its own time limit ends by then; any other is refused at once while the port is open.
//! The relay then closes its port, answers what it has read, and exits.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Minimum duration of a drain, in which clients may still be sent here: two
/// failed probes of the balancer, a second apart, and the time that a client
/// needs to connect.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// Time from the start of a drain within which a request is taken if it is expected to
/// end: the balancer sends clients until two probes, a second apart, have failed, and they
/// need half a second to connect and to send.
const ESTIMATE_TIME: Duration = Duration::from_millis(2_500);

/// Delay after the signal to stop from which on a request that is sent must get a whole
/// answer if it is taken.
const WHOLE_ANSWER_DELAY: Duration = Duration::from_secs(3);

/// Part of the grace period reserved for a signal that waits for the processor, and for
/// the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

const _: () =
    assert!(ESTIMATE_TIME.as_millis() + EXIT_MARGIN.as_millis() <= WHOLE_ANSWER_DELAY.as_millis());

/// Time between the last moment for an answer and the end, to write it.
const WRITE_MARGIN: Duration = Duration::from_millis(100);

/// Time for which a connection that was accepted before the port was closed may send the
/// first byte of a request.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(150);

/// Shortest `Retry-After` of a request that is refused while another relay serves.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Time within which clients return once a relay serves again.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Time after which the client of a request that is refused in a drain returns. A relay
/// serves in `wait`; `random` is in 0..1.
pub(super) fn retry_after(wait: Duration, random: f64) -> Duration {
    if wait.is_zero() {
        MIN_RETRY_AFTER.mul_f64(2.0f64.mul_add(random, 1.0))
    } else {
        wait + RETURN_SPREAD.mul_f64(random)
    }
}

/// Times of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Drain {
    begun: Instant,
    /// Last moment for the answer to a request.
    pub(super) answer_by: Instant,
    /// End of the process.
    pub(super) end: Instant,
}

impl Drain {
    /// Plans a drain that begins now and ends within `grace`.
    pub(super) fn begin(grace: Duration) -> Self {
        let begun = Instant::now();
        // Also in a short grace period the last moment lies in its last sixth: a stream
        // that is cut sooner is not excused.
        let end = begun + grace.saturating_sub(EXIT_MARGIN.min(grace / 8));
        let write_margin = WRITE_MARGIN.min(grace / 24);
        let answer_by = end.checked_sub(write_margin).unwrap_or(begun);
        Self {
            begun,
            answer_by,
            end,
        }
    }

    /// Last moment at which the port is closed: what was accepted before can still be
    /// answered.
    pub(super) fn close_by(&self) -> Instant {
        let close_by = self.answer_by.checked_sub(2 * FIRST_BYTE_TIME);
        close_by.unwrap_or(self.begun).max(self.begun)
    }

    /// Time until a relay whose longest answers take `longest` has probably stopped.
    pub(super) fn stops_in(&self, longest: Duration) -> Duration {
        let served = (ESTIMATE_TIME + longest).max(MIN_DRAIN_TIME);
        let stops_at = (self.begun + served).min(self.end);
        stops_at.saturating_duration_since(Instant::now())
    }

    /// Returns true if the port may be closed, as far as the balancer's clients matter.
    pub(super) fn is_over(&self) -> bool {
        self.begun.elapsed() >= MIN_DRAIN_TIME
    }

    /// Time since the drain began.
    pub(super) fn age(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Time until the last moment for an answer.
    pub(super) fn time_left(&self) -> Duration {
        self.answer_by.saturating_duration_since(Instant::now())
    }

    /// Returns true if a request that was read now is taken. Its answer is expected to
    /// take `expected` and ends after `limit` in any case.
    pub(super) fn can_take(&self, expected: Duration, limit: Duration) -> bool {
        self.has_time_for(if self.is_early() { expected } else { limit })
    }

    /// Returns true while requests are taken by an estimate. Later the balancer sends
    /// clients here only if it has too few other relays.
    pub(super) fn is_early(&self) -> bool {
        self.age() < ESTIMATE_TIME
    }

    /// Returns true if a request that takes `expected` from now on ends in time.
    pub(super) fn has_time_for(&self, expected: Duration) -> bool {
        Instant::now() + expected <= self.answer_by
    }
}

/// Phase of a relay's life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    #[default]
    Serving,
    Draining(Drain),
    /// Since the given moment no connection is accepted.
    Closing(Drain, Instant),
}

impl Phase {
    pub(super) fn drain(&self) -> Option<Drain> {
        match self {
            Self::Serving => None,
            Self::Draining(drain) | Self::Closing(drain, _) => Some(*drain),
        }
    }

    /// Moment at which a connection without a request is closed. A client that was just
    /// accepted sends its request soon, and could not tell whether it was read.
    pub(super) fn close_idle_at(&self, has_served: bool) -> Option<Instant> {
        match self {
            Self::Serving => None,
            Self::Draining(drain) => has_served.then(|| drain.begun + ESTIMATE_TIME),
            Self::Closing(_, since) if has_served => Some(*since),
            Self::Closing(drain, since) => Some((*since + FIRST_BYTE_TIME).min(drain.answer_by)),
        }
    }
}

/// Phase of a relay, which its tasks follow.
#[derive(Debug, Default)]
pub(super) struct Phases(watch::Sender<Phase>);

impl Phases {
    pub(super) fn get(&self) -> Phase {
        *self.0.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Phase> {
        self.0.subscribe()
    }

    pub(super) fn begin_drain(&self, drain: Drain) {
        self.0.send_replace(Phase::Draining(drain));
    }

    /// Has the port closed.
    pub(super) fn close(&self, drain: Drain) {
        self.0.send_replace(Phase::Closing(drain, Instant::now()));
    }

    /// Completes at the last moment for an answer of a drain that has begun or begins.
    pub(super) async fn answer_due(&self) {
        let mut phases = self.subscribe();
        loop {
            let drain = phases.borrow_and_update().drain();
            if let Some(drain) = drain {
                return sleep_until(drain.answer_by).await;
            }
            if phases.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Completes once the port is to be closed.
    pub(super) async fn closing(&self) {
        let mut phases = self.subscribe();
        let closing = phases.wait_for(|phase| matches!(phase, Phase::Closing(..)));
        if closing.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
