//! Sums of the counts of one objective.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::burn::{PartBurn, SeriesPoint, Window, burn_rate};
use super::measure::Measure;
use super::sums::{BUCKET_MS, BUCKETS_PER_HOUR, Count, HourRow};
use crate::resource::Objective;

const MINUTE_MS: u64 = 60_000;

/// Counts of one objective per bucket, team and version.
pub(super) struct ObjectiveCounts {
    /// Number of the current bucket since the Unix epoch.
    now_bucket: u64,
    entries: Vec<Entry>,
}

struct Entry {
    /// Number of the bucket since the Unix epoch.
    bucket: u64,
    part: Part,
    count: Count,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Part {
    team: CompactString,
    version: CompactString,
}

impl ObjectiveCounts {
    pub(super) fn collect(objective: &Objective, rows: &[HourRow], now_ms: u64) -> Self {
        let measure = Measure::of(objective).name;
        let mut entries = Vec::new();
        for row in rows {
            let cells = row.cells.iter().filter(|cell| cell.measure == measure);
            for cell in cells {
                entries.extend(cell.buckets.iter().map(|bucket| Entry {
                    bucket: row.hour * BUCKETS_PER_HOUR as u64 + bucket.bucket as u64,
                    part: Part {
                        team: cell.team.clone(),
                        version: cell.version.clone(),
                    },
                    count: bucket.count,
                }));
            }
        }
        Self {
            now_bucket: now_ms / BUCKET_MS,
            entries,
        }
    }

    /// Returns the entries of the current bucket and of `length_ms` before it.
    fn entries_within(&self, length_ms: u64) -> impl Iterator<Item = &Entry> {
        let first = self.now_bucket.saturating_sub(length_ms / BUCKET_MS);
        self.entries
            .iter()
            .filter(move |entry| entry.bucket >= first)
    }

    pub(super) fn sum_within(&self, length_ms: u64) -> Count {
        let mut sum = Count::default();
        self.entries_within(length_ms)
            .for_each(|entry| sum.add(entry.count));
        sum
    }

    pub(super) fn burn_by_part(&self, objective: &Objective, length_ms: u64) -> Vec<PartBurn> {
        let mut sums: BTreeMap<Part, Count> = BTreeMap::new();
        for entry in self.entries_within(length_ms) {
            sums.entry(entry.part.clone()).or_default().add(entry.count);
        }
        let parts = sums.into_iter().map(|(part, count)| PartBurn {
            team: part.team,
            version: part.version,
            count,
            rate: burn_rate(objective, count),
        });
        parts.collect()
    }

    pub(super) fn rate_series(&self, objective: &Objective) -> Vec<SeriesPoint> {
        let length_ms = Window::SixHours.length_ms();
        let mut sums: BTreeMap<u64, Count> = BTreeMap::new();
        for entry in self.entries_within(length_ms) {
            sums.entry(entry.bucket).or_default().add(entry.count);
        }
        let first = self.now_bucket.saturating_sub(length_ms / BUCKET_MS);
        let points = (first..=self.now_bucket).map(|bucket| SeriesPoint {
            minutes_ago: (self.now_bucket - bucket) * BUCKET_MS / MINUTE_MS,
            rate: burn_rate(objective, sums.get(&bucket).copied().unwrap_or_default()),
        });
        points.collect()
    }
}
