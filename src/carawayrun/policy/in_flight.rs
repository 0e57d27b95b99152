//! A gateway's own requests in flight.

use slotmap::SecondaryMap;

use super::pools::Pools;
use crate::resource::UpstreamKey;

/// The gateway's own requests in flight at each upstream, and the time at which
/// it first saw the upstream. The counts outlive the [`Pools`] of one view.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounts {
    entries: SecondaryMap<UpstreamKey, Entry>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    in_flight: u32,
    since_ms: u64,
    /// Own requests in flight when the load was last reported.
    at_report: u32,
    report_ms: u64,
}

impl InFlightCounts {
    /// Adds the upstreams of new pools and removes idle ones that left. Upstreams
    /// of the first pools need no slow start; later ones do.
    pub fn update_upstreams(&mut self, pools: &Pools, now_ms: u64) {
        let first = self.entries.is_empty();
        let since_ms = if first { 0 } else { now_ms };
        self.entries
            .retain(|key, entry| entry.in_flight > 0 || pools.contains(key));
        for upstream in pools.upstreams() {
            if let Some(entry) = self.entries.entry(upstream) {
                let entry = entry.or_insert(Entry {
                    since_ms,
                    ..Entry::default()
                });
                entry.record_report(pools.report_ms(upstream));
            }
        }
    }

    /// Counts a request as in flight.
    pub fn record_start(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.entries.entry(upstream) {
            entry.or_default().in_flight += 1;
        }
    }

    /// Ends a request that [`Self::record_start`] counted.
    pub fn record_end(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Requests in flight at an upstream.
    pub fn count(&self, upstream: UpstreamKey) -> u32 {
        self.entries
            .get(upstream)
            .map_or(0, |entry| entry.in_flight)
    }

    /// Time at which the upstream was first seen, in milliseconds; zero if it
    /// needs no slow start.
    pub(crate) fn since_ms(&self, upstream: UpstreamKey) -> u64 {
        self.entries.get(upstream).map_or(0, |entry| entry.since_ms)
    }

    /// Own requests started minus those ended since the last load report.
    pub(crate) fn change_since_report(&self, upstream: UpstreamKey) -> f64 {
        self.entries.get(upstream).map_or(0.0, |entry| {
            f64::from(entry.in_flight) - f64::from(entry.at_report)
        })
    }
}

impl Entry {
    fn record_report(&mut self, report_ms: u64) {
        if report_ms != self.report_ms {
            self.report_ms = report_ms;
            self.at_report = self.in_flight;
        }
    }
}
