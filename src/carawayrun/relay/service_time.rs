//! Time that the answers of a route take.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// Weight of the newest answer in the moving mean and deviation, as in TCP's estimate of
/// the round-trip time.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Mean deviations above the mean within which nearly all answers end.
const MOST_DEVIATIONS: f64 = 3.0;

/// The same for requests that can be repeated, so that fewer are refused: one that is cut
/// may be sent again.
const REPEATABLE_DEVIATIONS: f64 = 1.0;

/// Times that the answers of routes take, by the routes' names.
#[derive(Debug, Default)]
pub(super) struct RouteTimes {
    times: FxHashMap<CompactString, ServiceTime>,
}

impl RouteTimes {
    /// Records an answer.
    pub(super) fn record(&mut self, route: &str, took: Duration) {
        if let Some(time) = self.times.get_mut(route) {
            time.record(took);
        } else {
            self.times.insert(route.into(), ServiceTime::new(took));
        }
    }

    /// Time within which answers of a route are expected to end, if any was seen.
    pub(super) fn expected(&self, route: &str, is_repeatable: bool) -> Option<Duration> {
        let known = self.times.get(route);
        known.map(|time| time.expected(is_repeatable))
    }

    /// The longest of these times, if any answer was seen.
    pub(super) fn longest(&self, is_repeatable: bool) -> Option<Duration> {
        let times = self.times.values();
        times.map(|time| time.expected(is_repeatable)).max()
    }
}

/// Moving mean and mean deviation of the time from a request to the end of its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceTime {
    mean: f64,
    deviation: f64,
}

impl ServiceTime {
    /// Creates the estimate from the first answer.
    pub(super) fn new(took: Duration) -> Self {
        let mean = took.as_secs_f64();
        Self {
            mean,
            deviation: mean / 2.0,
        }
    }

    /// Records another answer.
    pub(super) fn record(&mut self, took: Duration) {
        let error = took.as_secs_f64() - self.mean;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        self.mean += MEAN_WEIGHT * error;
    }

    /// Time within which answers are expected to end.
    pub(super) fn expected(&self, is_repeatable: bool) -> Duration {
        let deviations = if is_repeatable {
            REPEATABLE_DEVIATIONS
        } else {
            MOST_DEVIATIONS
        };
        let seconds = deviations.mul_add(self.deviation, self.mean);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
