//! A gateway's own requests in flight.

use slotmap::SecondaryMap;

use super::pools::Pools;
use crate::resource::UpstreamKey;

/// The gateway's own requests in flight at each upstream, and since when it
/// knows them; outlives the [`Pools`] of one view.
#[derive(Debug, Clone, Default)]
pub struct Flight {
    entries: SecondaryMap<UpstreamKey, FlightEntry>,
}

#[derive(Debug, Clone, Copy, Default)]
struct FlightEntry {
    running: u32,
    since_ms: u64,
    /// Own requests in flight when the load was last reported.
    at_report: u32,
    report_ms: u64,
}

impl Flight {
    /// Takes note of the upstreams of new pools. Those seen from the start
    /// need no slow start; later ones do.
    pub fn observe(&mut self, pools: &Pools, now_ms: u64) {
        let first = self.entries.is_empty();
        let since_ms = if first { 0 } else { now_ms };
        self.entries
            .retain(|key, entry| entry.running > 0 || pools.contains(key));
        for upstream in pools.upstreams() {
            if let Some(entry) = self.entries.entry(upstream) {
                let entry = entry.or_insert(FlightEntry {
                    since_ms,
                    ..FlightEntry::default()
                });
                entry.reported(pools.report_ms(upstream));
            }
        }
    }

    /// Tells that a request was sent.
    pub fn start(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.entries.entry(upstream) {
            entry.or_default().running += 1;
        }
    }

    /// Tells that a sent request ended.
    pub fn end(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Requests in flight at an upstream.
    pub fn running(&self, upstream: UpstreamKey) -> u32 {
        self.entries.get(upstream).map_or(0, |entry| entry.running)
    }

    pub(crate) fn since_ms(&self, upstream: UpstreamKey) -> u64 {
        self.entries.get(upstream).map_or(0, |entry| entry.since_ms)
    }

    /// Own requests sent less those ended since the last report of load.
    pub(crate) fn since_report(&self, upstream: UpstreamKey) -> f64 {
        self.entries.get(upstream).map_or(0.0, |entry| {
            f64::from(entry.running) - f64::from(entry.at_report)
        })
    }
}

impl FlightEntry {
    fn reported(&mut self, report_ms: u64) {
        if report_ms != self.report_ms {
            self.report_ms = report_ms;
            self.at_report = self.running;
        }
    }
}
