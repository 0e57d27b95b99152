//! Outlier detection: ejects failing and slow upstreams for a while.

use slotmap::SecondaryMap;

use crate::resource::UpstreamKey;

/// Consecutive failures after which an upstream is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Share of failed recent attempts above which an upstream is ejected.
const MAX_FAILED_SHARE: f64 = 0.5;
/// Latency above which an upstream is ejected, as a multiple of the average over
/// all upstreams.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Attempts before the failed share and the latency are considered.
const MIN_ATTEMPTS: u32 = 10;
/// Weight of the newest attempt in the moving averages of an upstream.
const ATTEMPT_WEIGHT: f64 = 0.1;
/// Weight of the newest attempt in the moving average over all upstreams.
const FLEET_ATTEMPT_WEIGHT: f64 = 0.01;
/// Duration of the first ejection, in milliseconds. Each further one doubles it.
const FIRST_EJECTION_MS: u64 = 10_000;
/// Largest number of doublings of the ejection duration.
const MAX_DOUBLINGS: u32 = 5;
/// Consecutive successes that reset the count of ejections.
const RESET_SUCCESSES: u32 = 50;
/// Share of the known upstreams that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Recent outcomes of each upstream and the end of its ejection.
///
/// At most half of the upstreams that had attempts are ejected at the same time,
/// and [`super::Pools::pick`] falls back to an ejected upstream before it returns
/// none.
#[derive(Debug, Clone)]
pub struct Ejection {
    records: SecondaryMap<UpstreamKey, UpstreamRecord>,
    fleet_latency_ratio: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct UpstreamRecord {
    attempts: u32,
    consecutive_failures: u32,
    consecutive_successes: u32,
    failed_share: f64,
    latency_ratio: f64,
    ejections: u32,
    ejected_until_ms: u64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            records: SecondaryMap::new(),
            fleet_latency_ratio: 1.0,
        }
    }
}

impl Ejection {
    /// Records the outcome of an attempt and ejects the upstream if it became an
    /// outlier. `latency_ratio` is the time to the first byte as a multiple of the
    /// expected one; it is ignored for failures.
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
        let record = entry.or_insert_with(|| UpstreamRecord {
            latency_ratio: 1.0,
            ..UpstreamRecord::default()
        });
        record.update(failed, latency_ratio);
        if !failed {
            self.fleet_latency_ratio +=
                FLEET_ATTEMPT_WEIGHT * (latency_ratio - self.fleet_latency_ratio);
        }
        if record.is_outlier(self.fleet_latency_ratio) && !self.is_ejected(upstream, now_ms) {
            self.eject(upstream, now_ms);
        }
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.ejected_until_ms > now_ms)
    }

    /// Time at which the upstream's last ejection ends, in milliseconds.
    pub fn readmitted_ms(&self, upstream: UpstreamKey) -> Option<u64> {
        let record = self.records.get(upstream)?;
        (record.ejected_until_ms > 0).then_some(record.ejected_until_ms)
    }

    /// Removes the records of upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.records.retain(|key, _| exists(key));
    }

    fn eject(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let ejected = self
            .records
            .values()
            .filter(|record| record.ejected_until_ms > now_ms)
            .count();
        let allowed = (self.records.len() as f64 * MAX_EJECTED_SHARE).floor() as usize;
        if ejected >= allowed {
            return;
        }
        if let Some(record) = self.records.get_mut(upstream) {
            record.eject(now_ms);
        }
    }
}

impl UpstreamRecord {
    fn update(&mut self, failed: bool, latency_ratio: f64) {
        self.attempts = self.attempts.saturating_add(1);
        let failure = f64::from(u8::from(failed));
        self.failed_share += ATTEMPT_WEIGHT * (failure - self.failed_share);
        if failed {
            self.consecutive_failures += 1;
            self.consecutive_successes = 0;
            return;
        }
        self.consecutive_failures = 0;
        self.consecutive_successes = self.consecutive_successes.saturating_add(1);
        self.latency_ratio += ATTEMPT_WEIGHT * (latency_ratio - self.latency_ratio);
        if self.consecutive_successes >= RESET_SUCCESSES {
            self.ejections = 0;
        }
    }

    fn is_outlier(&self, fleet_latency_ratio: f64) -> bool {
        if self.consecutive_failures >= CONSECUTIVE_FAILURES {
            return true;
        }
        let has_enough = self.attempts >= MIN_ATTEMPTS;
        let slow = self.latency_ratio > MAX_LATENCY_RATIO * fleet_latency_ratio.max(1.0);
        has_enough && (self.failed_share > MAX_FAILED_SHARE || slow)
    }

    fn eject(&mut self, now_ms: u64) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        *self = Self {
            latency_ratio: 1.0,
            ejections: self.ejections + 1,
            ejected_until_ms: now_ms + (FIRST_EJECTION_MS << doublings),
            ..Self::default()
        };
    }
}
