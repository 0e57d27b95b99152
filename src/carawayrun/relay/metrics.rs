//! Metrics, and the rate limit of request log lines.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_http::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tokio::time::Instant;

use super::progress::MessagePart;
use super::queue::RefusalReason;
use super::request_log::RequestOutcome;
use crate::store::pool::PoolMetrics;

/// Rate of request log lines, per second: an on-call engineer finds each failure
/// of a usual day, and a flood stays below one megabyte a minute.
const LOG_LINES_PER_SECOND: f64 = 40.0;

/// Maximum burst of log lines.
const MAX_LOG_BURST: f64 = 200.0;

/// Log lines reserved for failed requests.
const FAILURE_RESERVE_LINES: f64 = 100.0;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    outcome: &'static str,
    status: u16,
}

/// Why a request is sent to an upstream. All but the first send of a request are taken
/// from its service's retry budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub(crate) enum SendReason {
    /// It was not sent before.
    #[default]
    First,
    /// Its connection ended without a whole answer.
    Lost,
    /// No answer came in time.
    TimedOut,
    /// An upstream refused it without running it.
    Refused,
    /// Another upstream had the address.
    Displaced,
    /// An upstream answered with a failure, or unusably.
    Failed,
    /// A smaller model's answer had too low a confidence.
    Cascade,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SendLabels {
    service: String,
    reason: SendReason,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StoppedLabels {
    part: MessagePart,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct QueueLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct QueueRefusalLabels {
    service: String,
    reason: RefusalReason,
}

/// How a request ended that was under way, or came, within a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub(crate) enum DrainEnd {
    Answered,
    /// Refused with 503; it has not run.
    Refused,
    /// Ended with another failure of the relay; it may have run.
    Failed,
    /// The connection was closed within the answer.
    Cut,
    ClientDisconnected,
}

impl DrainEnd {
    pub(super) fn new(outcome: RequestOutcome, status: StatusCode) -> Self {
        match outcome {
            RequestOutcome::Answered => Self::Answered,
            RequestOutcome::Refused if status == StatusCode::SERVICE_UNAVAILABLE => Self::Refused,
            RequestOutcome::Refused => Self::Failed,
            RequestOutcome::Interrupted => Self::Cut,
            RequestOutcome::ClientDisconnected => Self::ClientDisconnected,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct DrainLabels {
    end: DrainEnd,
}

/// All metrics of a process.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) connections: Counter,
    pub(crate) cascades: Counter,
    pub(crate) resumes: Counter,
    pub(crate) report_polls: Counter,
    pub(crate) health_checks: Counter,
    pub(crate) foreign_answers: Counter,
    pub(crate) store_calls: Counter,
    pub(crate) store_failures: Counter,
    pub(crate) store_reads: PoolMetrics,
    pub(crate) config_version: Gauge,
    pub(crate) config_lag: Gauge<f64, AtomicU64>,
    pub(crate) config_faults: Gauge,
    pub(crate) unreadable_config: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) limited_upstreams: Gauge,
    pub(crate) cold_upstreams: Gauge,
    pub(crate) resting_upstreams: Gauge,
    pub(crate) evacuated_data_centres: Gauge,
    pub(crate) evacuated_requests: Gauge,
    pub(crate) quarantined_parts: Gauge,
    pub(crate) quarantined_requests: Gauge,
    pub(crate) held_requests: Counter,
    pub(crate) rests_asked: Counter,
    pub(crate) limited_sends: Counter,
    pub(crate) held_sends: Counter,
    pub(crate) repeated_sends: Counter,
    pub(crate) retries_taken: Counter,
    pub(crate) shared_tokens: Counter,
    pub(crate) kept_tokens: Counter,
    pub(crate) rollouts_begun: Counter,
    pub(crate) upstreams: Gauge,
    pub(crate) held_bytes: Gauge,
    pub(crate) memory_refusals: Counter,
    pub(crate) silent_clients: Counter,
    pub(crate) unanswered_connections: Counter,
    pub(crate) unframed_answers: Counter,
    pub(crate) reset_answers: Counter,
    pub(crate) displaced_answers: Counter,
    pub(crate) log_limiter: LogLimiter,
    stopped_answers: Family<StoppedLabels, Counter>,
    lag: Histogram,
    queued: Histogram,
    queue_lengths: Family<QueueLabels, Gauge>,
    queue_refusals: Family<QueueRefusalLabels, Counter>,
    sends: Family<SendLabels, Counter>,
    requests: Family<RequestLabels, Counter>,
    drained: Family<DrainLabels, Counter>,
    duration: Histogram,
    first_event: Histogram,
    first_ratio: Histogram,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        // 1 ms to about 30 s.
        let latency = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let mut metrics = Self {
            connections: Counter::default(),
            cascades: Counter::default(),
            resumes: Counter::default(),
            report_polls: Counter::default(),
            health_checks: Counter::default(),
            foreign_answers: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            store_reads: PoolMetrics::default(),
            config_version: Gauge::default(),
            config_lag: Gauge::default(),
            config_faults: Gauge::default(),
            unreadable_config: Gauge::default(),
            store_era: Gauge::default(),
            limited_upstreams: Gauge::default(),
            cold_upstreams: Gauge::default(),
            resting_upstreams: Gauge::default(),
            evacuated_data_centres: Gauge::default(),
            evacuated_requests: Gauge::default(),
            quarantined_parts: Gauge::default(),
            quarantined_requests: Gauge::default(),
            held_requests: Counter::default(),
            rests_asked: Counter::default(),
            limited_sends: Counter::default(),
            held_sends: Counter::default(),
            repeated_sends: Counter::default(),
            retries_taken: Counter::default(),
            shared_tokens: Counter::default(),
            kept_tokens: Counter::default(),
            rollouts_begun: Counter::default(),
            upstreams: Gauge::default(),
            held_bytes: Gauge::default(),
            memory_refusals: Counter::default(),
            silent_clients: Counter::default(),
            unanswered_connections: Counter::default(),
            unframed_answers: Counter::default(),
            reset_answers: Counter::default(),
            displaced_answers: Counter::default(),
            log_limiter: LogLimiter::new(),
            stopped_answers: Family::default(),
            lag: latency(),
            queued: latency(),
            queue_lengths: Family::default(),
            queue_refusals: Family::default(),
            sends: Family::default(),
            requests: Family::default(),
            drained: Family::default(),
            duration: latency(),
            first_event: latency(),
            // 1/8 to 16.
            first_ratio: Histogram::new(exponential_buckets(0.125, 2.0, 8)),
            registry: Registry::default(),
        };
        metrics.registry = metrics.build_registry();
        metrics
    }
}

impl Metrics {
    fn build_registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("carawayrun");
        self.register_counters(&mut registry);
        self.register_store(&mut registry);
        self.register_delivery(&mut registry);
        self.register_gauges(&mut registry);
        registry.register(
            "sends",
            "Sends to upstreams by service and reason",
            self.sends.clone(),
        );
        registry.register(
            "requests",
            "Requests by outcome and status",
            self.requests.clone(),
        );
        registry.register(
            "drain_requests",
            "Requests that ended within a drain, by how they ended",
            self.drained.clone(),
        );
        registry.register(
            "stopped_answers",
            "Upstreams' answers stopped for bytes that bring no progress",
            self.stopped_answers.clone(),
        );
        registry.register(
            "timer_lag_seconds",
            "Lateness of the timers of the thread that serves clients",
            self.lag.clone(),
        );
        registry.register(
            "queue_seconds",
            "Time that requests waited for room at a service's upstreams",
            self.queued.clone(),
        );
        registry.register(
            "queue_length",
            "Requests that wait for room, by service",
            self.queue_lengths.clone(),
        );
        registry.register(
            "queue_refusals",
            "Requests refused since they would get no room in time, by service and reason",
            self.queue_refusals.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request to the end of its answer",
            self.duration.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from a request to its first event",
            self.first_event.clone(),
        );
        registry.register(
            "first_byte_ratio",
            "Time to the first byte of an engine's answer relative to the expected one",
            self.first_ratio.clone(),
        );
        registry
    }

    fn register_delivery(&self, registry: &mut Registry) {
        let mut add = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        add(
            "silent_clients",
            "Connections of clients that stopped acknowledging what was sent",
            &self.silent_clients,
        );
        add(
            "unanswered_connections",
            "Connections that were closed with unanswered bytes of their clients",
            &self.unanswered_connections,
        );
        add(
            "unframed_answers",
            "Whole answers without a length, each delayed by the wait for a reset",
            &self.unframed_answers,
        );
        add(
            "reset_answers",
            "Answers without a length whose connection was reset after their end",
            &self.reset_answers,
        );
        add(
            "displaced_answers",
            "Answers that were cut for lack of memory, as their clients read slowly",
            &self.displaced_answers,
        );
    }

    fn register_store(&self, registry: &mut Registry) {
        let mut add = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        add("store_calls", "Calls to the store", &self.store_calls);
        add(
            "store_failures",
            "Calls to the store without a usable answer",
            &self.store_failures,
        );
        add(
            "store_read_bytes",
            "Bytes of the store's answers",
            &self.store_reads.read_bytes,
        );
        add(
            "store_partial_answers",
            "Answers of the store that were given up after a part of them had arrived",
            &self.store_reads.partial_answers,
        );
        registry.register(
            "config_lag_seconds",
            "Time for which other gateways have held a newer configuration or newer orders",
            self.config_lag.clone(),
        );
    }

    fn register_counters(&self, registry: &mut Registry) {
        let mut add = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        add(
            "upstream_connections",
            "Connections opened to upstreams",
            &self.connections,
        );
        add(
            "cascades",
            "Answers dropped for a better model's",
            &self.cascades,
        );
        add(
            "stream_resumes",
            "Streams that went on elsewhere",
            &self.resumes,
        );
        add(
            "silent_upstreams_asked",
            "Reports asked of upstreams that were silent",
            &self.report_polls,
        );
        add(
            "health_checks",
            "Health checks of upstreams that started again",
            &self.health_checks,
        );
        add(
            "foreign_answers",
            "Answers that are not shown to belong to the request that was sent",
            &self.foreign_answers,
        );
        add(
            "memory_refusals",
            "Requests that were refused before they were read whole, for lack of memory",
            &self.memory_refusals,
        );
        add(
            "limited_sends",
            "Sends to upstreams that name a limit of requests per second",
            &self.limited_sends,
        );
        add(
            "held_sends",
            "Waits of requests for this relay's part of an upstream's allowance",
            &self.held_sends,
        );
        add(
            "repeated_sends",
            "Sends beyond the first of their request",
            &self.repeated_sends,
        );
        add(
            "retries_taken",
            "Sends taken from retry budgets",
            &self.retries_taken,
        );
        add(
            "shared_prompt_tokens",
            "Tokens of shared prompt prefixes that were sent to engines",
            &self.shared_tokens,
        );
        add(
            "kept_prompt_tokens",
            "Those of them that the engines were expected to hold",
            &self.kept_tokens,
        );
        add(
            "held_requests",
            "Times that a request was held back for a quarantine",
            &self.held_requests,
        );
        add(
            "rests_asked",
            "Answers in which an upstream asked for rest",
            &self.rests_asked,
        );
        add(
            "rollouts_begun",
            "Roll-outs that this process began in the store",
            &self.rollouts_begun,
        );
        add(
            "log_lines_dropped",
            "Log lines of requests left out",
            &self.log_limiter.dropped,
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "config_faults",
            "Entries of the configuration in force that can't be used, or only in part",
            self.config_faults.clone(),
        );
        registry.register(
            "unreadable_config",
            "1 while the newest configuration can't be read, so that the one in force is not confirmed",
            self.unreadable_config.clone(),
        );
        registry.register(
            "store_era",
            "Restores of the store from a copy",
            self.store_era.clone(),
        );
        registry.register(
            "cold_upstreams",
            "Upstreams that are cold by their registrations",
            self.cold_upstreams.clone(),
        );
        registry.register(
            "limited_upstreams",
            "Upstreams that name a limit of requests per second",
            self.limited_upstreams.clone(),
        );
        registry.register(
            "resting_upstreams",
            "Upstreams that asked this gateway for rest",
            self.resting_upstreams.clone(),
        );
        registry.register(
            "evacuated_data_centres",
            "Data centres that operators ordered out of service",
            self.evacuated_data_centres.clone(),
        );
        registry.register(
            "evacuated_requests",
            "Requests of this gateway that run in such data centres",
            self.evacuated_requests.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Prompt parts that are not sent, since upstreams crash under them",
            self.quarantined_parts.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are not sent, since upstreams crash under them",
            self.quarantined_requests.clone(),
        );
        registry.register("upstreams", "Upstreams known", self.upstreams.clone());
        registry.register(
            "held_bytes",
            "Memory held for clients' requests and upstreams' answers",
            self.held_bytes.clone(),
        );
    }

    /// Counts a send to an upstream of a service.
    pub(super) fn record_send(&self, service: &str, reason: SendReason) {
        if reason != SendReason::First {
            self.repeated_sends.inc();
        }
        let labels = SendLabels {
            service: service.into(),
            reason,
        };
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts an answer that was stopped for bytes that bring no progress.
    pub(super) fn record_stopped_answer(&self, part: MessagePart) {
        self.stopped_answers
            .get_or_create(&StoppedLabels { part })
            .inc();
    }

    /// Records the time that a request waited for a place.
    pub(super) fn record_queued(&self, queued: Duration) {
        self.queued.observe(queued.as_secs_f64());
    }

    /// Sets the number of requests that wait for a service's upstreams.
    pub(super) fn set_queue_length(&self, service: &str, length: usize) {
        let labels = QueueLabels {
            service: service.into(),
        };
        self.queue_lengths.get_or_create(&labels).set(length as i64);
    }

    /// Counts a request that was refused since it would get no place in time.
    pub(super) fn record_queue_refusal(&self, service: &str, reason: RefusalReason) {
        let labels = QueueRefusalLabels {
            service: service.into(),
            reason,
        };
        self.queue_refusals.get_or_create(&labels).inc();
    }

    /// Records how late a timer of the traffic thread was.
    pub(super) fn record_lag(&self, lag: Duration) {
        self.lag.observe(lag.as_secs_f64());
    }

    /// Counts a request and its latencies; `first` is the time to its first event.
    pub(super) fn record_request(
        &self,
        outcome: &'static str,
        status: StatusCode,
        duration: Duration,
        first: Option<Duration>,
    ) {
        let labels = RequestLabels {
            outcome,
            status: status.as_u16(),
        };
        self.requests.get_or_create(&labels).inc();
        self.duration.observe(duration.as_secs_f64());
        if let Some(first) = first {
            self.first_event.observe(first.as_secs_f64());
        }
    }

    /// Records when an engine's answer began, against the expectation.
    pub(super) fn record_first_ratio(&self, expected_ms: f64, seen_ms: f64) {
        if expected_ms > 0.0 {
            self.first_ratio.observe(seen_ms / expected_ms);
        }
    }

    /// Counts a request that ended within a drain.
    pub(super) fn record_drained(&self, end: DrainEnd) {
        self.drained.get_or_create(&DrainLabels { end }).inc();
    }

    /// Number of requests that ended so within a drain.
    pub(super) fn drained(&self, end: DrainEnd) -> u64 {
        self.drained.get_or_create(&DrainLabels { end }).get()
    }

    /// Encodes all metrics in the text format of `OpenMetrics`.
    pub(super) fn encode_text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            // Writing to a string can't fail, but the encoder may.
            let _ = writeln!(text, "# metrics can't be written: {error}");
        }
        text
    }
}

/// Token bucket that limits the log lines of requests.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    state: Mutex<(f64, Option<Instant>)>,
    pub(crate) dropped: Counter<u64, AtomicU64>,
}

impl LogLimiter {
    fn new() -> Self {
        Self {
            state: Mutex::new((MAX_LOG_BURST, None)),
            dropped: Counter::default(),
        }
    }

    /// Takes one line from the bucket; returns false if none is left.
    pub(super) fn take_line(&self, is_failure: bool) -> bool {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let now = Instant::now();
        let elapsed = state.1.map_or(0.0, |last| (now - last).as_secs_f64());
        state.0 = (state.0 + elapsed * LOG_LINES_PER_SECOND).min(MAX_LOG_BURST);
        state.1 = Some(now);
        let reserved = if is_failure {
            0.0
        } else {
            FAILURE_RESERVE_LINES
        };
        if state.0 < reserved + 1.0 {
            self.dropped.inc();
            return false;
        }
        state.0 -= 1.0;
        true
    }

    /// Number of lines dropped so far.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.inner().load(Ordering::Relaxed)
    }
}
