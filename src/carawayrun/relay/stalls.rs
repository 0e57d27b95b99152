//! Detection of a traffic thread that no longer runs its tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::metrics::Metrics;

/// Interval at which the traffic thread shows that its timers run.
const BEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of the traffic thread that is logged, and the interval between two such lines.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// What the traffic thread last did, for the control thread to see.
#[derive(Debug)]
pub(super) struct StallMonitor {
    state: Mutex<MonitorState>,
}

#[derive(Debug, Clone, Copy)]
struct MonitorState {
    beat_at: Instant,
    last_read: Option<SocketAddr>,
}

/// A traffic thread that does not run its timers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stall {
    /// Time since its timers last ran.
    pub(super) silence: Duration,
    /// Peer of the connection from which it last read.
    pub(super) last_read: Option<SocketAddr>,
}

impl Default for StallMonitor {
    fn default() -> Self {
        Self {
            state: Mutex::new(MonitorState {
                beat_at: Instant::now(),
                last_read: None,
            }),
        }
    }
}

impl StallMonitor {
    /// Records that the traffic thread read from `peer`.
    pub(super) fn record_read(&self, peer: SocketAddr) {
        self.update(|state| state.last_read = Some(peer));
    }

    fn record_beat(&self, now: Instant) {
        self.update(|state| state.beat_at = now);
    }

    fn update(&self, change: impl FnOnce(&mut MonitorState)) {
        change(&mut self.state.lock().expect("no holder of the lock panics"));
    }

    /// Returns the stall of the traffic thread, if any. The caller's own timer was late
    /// by `own_lag`, which a host that stood still adds to both threads.
    pub(super) fn stall(&self, now: Instant, own_lag: Duration) -> Option<Stall> {
        let state = *self.state.lock().expect("no holder of the lock panics");
        let silence = now.duration_since(state.beat_at).saturating_sub(own_lag);
        (silence >= STALL_THRESHOLD).then_some(Stall {
            silence,
            last_read: state.last_read,
        })
    }
}

/// Measures the lag of the traffic thread's timers; runs on that thread until the
/// process ends.
pub(super) async fn measure_lag(monitor: Arc<StallMonitor>, metrics: Arc<Metrics>) {
    loop {
        let due = Instant::now() + BEAT_INTERVAL;
        sleep(BEAT_INTERVAL).await;
        let now = Instant::now();
        metrics.record_lag(now.duration_since(due));
        monitor.record_beat(now);
    }
}

/// Logs stalls of the traffic thread; runs on another thread until the process ends.
pub(super) async fn watch(monitor: Arc<StallMonitor>) {
    loop {
        let due = Instant::now() + STALL_THRESHOLD;
        sleep(STALL_THRESHOLD).await;
        let now = Instant::now();
        if let Some(Stall { silence, last_read }) = monitor.stall(now, now.duration_since(due)) {
            let silent_ms = silence.as_millis() as u64;
            tracing::error!(
                silent_ms,
                ?last_read,
                "traffic thread stalled: no timer, client or probe is served"
            );
        }
    }
}
