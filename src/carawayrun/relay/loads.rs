//! Load of the other gateways at the upstreams.
//!
//! Load pattern: a prompt of tens of thousands of tokens keeps an engine busy for
//! seconds, and only the gateway that sent it knows. Gateways report their own
//! load to each other several times a second. Expired reports are ignored, so a
//! disconnected gateway stops counting.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHasher};

use super::queue::{Class, Demand};
use crate::peer::message::{RelayReport, ServiceDemand, UpstreamLoad};

/// Age at which a report expires: longer than the time in which a gateway among
/// four hundred sends its report to all others.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Load at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests in flight there.
    pub in_flight: u32,
    /// Prefill time of the prompts that wait there, in milliseconds.
    pub backlog_ms: f64,
    /// Tokens of the prompts and expected answers of the requests there.
    pub kv_tokens: u64,
}

#[derive(Debug)]
struct LoadReport {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
    loads: FxHashMap<u32, Load>,
    demands: Vec<ServiceDemand>,
}

impl LoadReport {
    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) > REPORT_TTL
    }
}

/// Latest report of each other gateway. Times are on the caller's clock.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: FxHashMap<CompactString, LoadReport>,
    sums: FxHashMap<u32, Load>,
}

/// Key of an upstream in reports.
pub fn upstream_digest(upstream: &str) -> u32 {
    name_digest(upstream)
}

/// Key of a service or team in reports.
pub fn name_digest(name: &str) -> u32 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}

impl PeerLoads {
    /// Records a report; one that is older than the known one is ignored.
    pub fn receive(&mut self, report: &RelayReport, now: Duration) {
        let Some(node) = &report.node else {
            return;
        };
        let name = CompactString::from(node.name.as_str());
        let known = self.reports.get(&name);
        let order = (node.incarnation, report.number);
        if known.is_some_and(|known| (known.incarnation, known.sequence) >= order) {
            return;
        }
        let loads = report
            .loads
            .iter()
            .map(|load| (load.upstream, decode_load(load)));
        let report = LoadReport {
            incarnation: node.incarnation,
            sequence: report.number,
            received_at: now,
            loads: loads.collect(),
            demands: report.demands.clone(),
        };
        self.reports.insert(name, report);
        self.update_sums(now);
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: Duration) {
        if self.reports.values().any(|report| report.is_expired(now)) {
            self.reports.retain(|_, report| !report.is_expired(now));
            self.update_sums(now);
        }
    }

    /// Load of all other gateways at an upstream.
    pub fn upstream_load(&self, upstream: u32) -> Load {
        self.sums.get(&upstream).copied().unwrap_or_default()
    }

    /// Names of the gateways with a report that has not expired.
    pub fn gateways(&self) -> impl Iterator<Item = &CompactString> {
        self.reports.keys()
    }

    /// Demand of all other gateways for a service, by its digest.
    pub fn demand(&self, service: u32, now: Duration) -> BTreeMap<Class, Demand> {
        let reports = self.reports.values();
        let reports = reports.filter(|report| !report.is_expired(now));
        let told = reports.flat_map(|report| &report.demands);
        let mut demand: BTreeMap<Class, Demand> = BTreeMap::new();
        for told in told.filter(|told| told.service == service) {
            let rank = u8::try_from(told.rank).unwrap_or(u8::MAX);
            let team = told.team;
            let sum = demand.entry(Class { rank, team }).or_default();
            sum.running = sum.running.saturating_add(told.running);
            sum.waiting = sum.waiting.saturating_add(told.waiting);
        }
        demand
    }

    /// Number of gateways with a report that has not expired.
    pub fn gateway_count(&self) -> usize {
        self.reports.len()
    }

    // Recomputes the load at each upstream from the reports that have not expired.
    fn update_sums(&mut self, now: Duration) {
        self.sums.clear();
        for report in self.reports.values() {
            if report.is_expired(now) {
                continue;
            }
            for (upstream, load) in &report.loads {
                let sum = self.sums.entry(*upstream).or_default();
                sum.in_flight += load.in_flight;
                sum.backlog_ms += load.backlog_ms;
                sum.kv_tokens += load.kv_tokens;
            }
        }
    }
}

fn decode_load(load: &UpstreamLoad) -> Load {
    Load {
        in_flight: load.running,
        backlog_ms: f64::from(load.backlog_ms),
        kv_tokens: u64::from(load.kv_tokens),
    }
}
