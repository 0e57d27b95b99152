//! A gateway's own requests in flight.

use slotmap::SecondaryMap;

use super::pools::Pools;
use crate::resource::UpstreamKey;

/// The gateway's own requests in flight at each upstream, and since when it
/// knows them; outlives the [`Pools`] of one view.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounts {
    entries: SecondaryMap<UpstreamKey, InFlightEntry>,
}

#[derive(Debug, Clone, Copy, Default)]
struct InFlightEntry {
    in_flight: u32,
    known_since_ms: u64,
    /// Own requests in flight when the load was last reported.
    at_report: u32,
    report_ms: u64,
}

impl InFlightCounts {
    /// Takes note of the upstreams of new pools. Those seen from the start
    /// need no slow start; later ones do.
    pub fn update_upstreams(&mut self, pools: &Pools, now_ms: u64) {
        let first = self.entries.is_empty();
        let known_since_ms = if first { 0 } else { now_ms };
        self.entries
            .retain(|key, entry| entry.in_flight > 0 || pools.contains(key));
        for upstream in pools.upstreams() {
            if let Some(entry) = self.entries.entry(upstream) {
                let entry = entry.or_insert(InFlightEntry {
                    known_since_ms,
                    ..InFlightEntry::default()
                });
                entry.reported(pools.report_ms(upstream));
            }
        }
    }

    /// Tells that a request was sent.
    pub fn record_start(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.entries.entry(upstream) {
            entry.or_default().in_flight += 1;
        }
    }

    /// Tells that a sent request ended.
    pub fn record_end(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Requests in flight at an upstream.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.entries
            .get(upstream)
            .map_or(0, |entry| entry.in_flight)
    }

    pub(crate) fn known_since_ms(&self, upstream: UpstreamKey) -> u64 {
        self.entries
            .get(upstream)
            .map_or(0, |entry| entry.known_since_ms)
    }

    /// Own requests sent less those ended since the last report of load.
    pub(crate) fn change_since_report(&self, upstream: UpstreamKey) -> f64 {
        self.entries.get(upstream).map_or(0.0, |entry| {
            f64::from(entry.in_flight) - f64::from(entry.at_report)
        })
    }
}

impl InFlightEntry {
    fn reported(&mut self, report_ms: u64) {
        if report_ms != self.report_ms {
            self.report_ms = report_ms;
            self.at_report = self.in_flight;
        }
    }
}
