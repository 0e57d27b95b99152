//! Leaves failing and slow upstreams out for a while.

use slotmap::SecondaryMap;

use crate::resource::UpstreamKey;

/// Failures in a row that eject.
const FAILURES_IN_ROW: u32 = 5;
/// Share of recent attempts that failed, above which an upstream is ejected.
const FAILED_SHARE: f64 = 0.5;
/// Latency, as a multiple of what all upstreams show, that ejects.
const SLOW_RATIO: f64 = 4.0;
/// Attempts before shares and latencies count.
const LEAST_ATTEMPTS: u32 = 10;
/// Weight of the newest attempt in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Weight of the newest attempt in the moving average over all upstreams.
const FLEET_WEIGHT: f64 = 0.01;
/// Length of the first ejection, in milliseconds; each further one doubles it.
const FIRST_EJECTION_MS: u64 = 10_000;
/// Most doublings.
const MOST_DOUBLINGS: u32 = 5;
/// Attempts without failure after which earlier ejections are forgiven.
const FORGIVEN_AFTER: u32 = 50;
/// Share of the known upstreams that may be ejected at once.
const EJECTED_SHARE: f64 = 0.5;

/// Recent outcomes of each upstream and who is left out until when.
///
/// At most half of the upstreams that were used are out at once, and
/// [`super::Pools::pick`] falls back to an ejected upstream before it
/// answers that there is none.
#[derive(Debug, Clone)]
pub struct Ejection {
    records: SecondaryMap<UpstreamKey, Record>,
    fleet_ratio: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    attempts: u32,
    failed_row: u32,
    passed_row: u32,
    failed_share: f64,
    latency_ratio: f64,
    ejections: u32,
    until_ms: u64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            records: SecondaryMap::new(),
            fleet_ratio: 1.0,
        }
    }
}

impl Ejection {
    /// Tells how an attempt ended. `latency_ratio` is its time to the first
    /// byte as a multiple of the expected one; it is ignored for failures.
    pub fn record_attempt(
        &mut self,
        upstream: UpstreamKey,
        failed: bool,
        latency_ratio: f64,
        now_ms: u64,
    ) {
        let Some(entry) = self.records.entry(upstream) else {
            return;
        };
        let record = entry.or_insert_with(|| Record {
            latency_ratio: 1.0,
            ..Record::default()
        });
        record.note(failed, latency_ratio);
        if !failed {
            self.fleet_ratio += FLEET_WEIGHT * (latency_ratio - self.fleet_ratio);
        }
        if record.is_bad(self.fleet_ratio) && !self.is_ejected(upstream, now_ms) {
            self.eject(upstream, now_ms);
        }
    }

    /// True while an upstream is left out.
    pub fn is_ejected(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.until_ms > now_ms)
    }

    /// When the upstream came back from its last ejection, in milliseconds.
    pub fn readmitted_ms(&self, upstream: UpstreamKey) -> Option<u64> {
        let record = self.records.get(upstream)?;
        (record.until_ms > 0).then_some(record.until_ms)
    }

    /// Forgets upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.records.retain(|key, _| exists(key));
    }

    fn eject(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let out = self
            .records
            .values()
            .filter(|record| record.until_ms > now_ms)
            .count();
        let allowed = (self.records.len() as f64 * EJECTED_SHARE).floor() as usize;
        if out >= allowed {
            return;
        }
        if let Some(record) = self.records.get_mut(upstream) {
            record.eject(now_ms);
        }
    }
}

impl Record {
    fn note(&mut self, failed: bool, latency_ratio: f64) {
        self.attempts = self.attempts.saturating_add(1);
        let failure = f64::from(u8::from(failed));
        self.failed_share += NEWEST_WEIGHT * (failure - self.failed_share);
        if failed {
            self.failed_row += 1;
            self.passed_row = 0;
            return;
        }
        self.failed_row = 0;
        self.passed_row = self.passed_row.saturating_add(1);
        self.latency_ratio += NEWEST_WEIGHT * (latency_ratio - self.latency_ratio);
        if self.passed_row >= FORGIVEN_AFTER {
            self.ejections = 0;
        }
    }

    fn is_bad(&self, fleet_ratio: f64) -> bool {
        if self.failed_row >= FAILURES_IN_ROW {
            return true;
        }
        let known = self.attempts >= LEAST_ATTEMPTS;
        let slow = self.latency_ratio > SLOW_RATIO * fleet_ratio.max(1.0);
        known && (self.failed_share > FAILED_SHARE || slow)
    }

    fn eject(&mut self, now_ms: u64) {
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        *self = Self {
            latency_ratio: 1.0,
            ejections: self.ejections + 1,
            until_ms: now_ms + (FIRST_EJECTION_MS << doublings),
            ..Self::default()
        };
    }
}
