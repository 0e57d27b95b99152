//! Counts of good and all requests in buckets of time.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::peer::NodeId;

/// Length of a bucket, in milliseconds: five minutes.
pub const BUCKET_MS: u64 = 300_000;

/// Length of an hour, in milliseconds.
pub const HOUR_MS: u64 = 3_600_000;

/// Buckets of an hour.
pub const BUCKETS_PER_HOUR: usize = 12;

/// Prefix of the rows of counts, in the order of their hours.
pub const BURN_PREFIX: &str = "burn/";

/// Key of the row of one gateway's hour, counted from the Unix epoch.
pub fn burn_key(hour: u64, node: &NodeId) -> CompactString {
    format_compact!("{BURN_PREFIX}{hour:016x}/{node}")
}

/// What a count is of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// Name of the measure.
    pub measure: CompactString,
    /// Name of the team.
    pub team: CompactString,
    /// Version that answered; empty for plain services and where none did.
    pub version: CompactString,
}

/// Good and all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Count {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Requests that did not meet the objective.
    pub fn bad(self) -> u64 {
        self.total - self.good
    }
}

/// Counts of one hour.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HourSums {
    /// By cell, one count a bucket.
    pub cells: BTreeMap<Cell, [Count; BUCKETS_PER_HOUR]>,
}

/// Counts by hour since the Unix epoch; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BurnSums {
    hours: BTreeMap<u64, Arc<HourSums>>,
}

impl BurnSums {
    /// Counts one request that ended at `wall_ms` after the Unix epoch; returns
    /// its hour.
    pub fn record(&mut self, cell: Cell, wall_ms: u64, good: bool) -> u64 {
        let hour = wall_ms / HOUR_MS;
        let bucket = (wall_ms % HOUR_MS / BUCKET_MS) as usize;
        let sums = Arc::make_mut(self.hours.entry(hour).or_default());
        let counts = sums.cells.entry(cell).or_default();
        counts[bucket].add(Count {
            good: u64::from(good),
            total: 1,
        });
        hour
    }

    /// The counts of an hour.
    pub fn hour(&self, hour: u64) -> Option<&HourSums> {
        self.hours.get(&hour).map(Arc::as_ref)
    }

    /// All hours, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &HourSums)> {
        self.hours.iter().map(|(hour, sums)| (*hour, sums.as_ref()))
    }

    /// Forgets the hours for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(u64) -> bool) {
        self.hours.retain(|hour, _| keep(*hour));
    }
}

/// One gateway's hour as the table service keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HourRow {
    /// Hours since the Unix epoch.
    pub hour: u64,
    /// Counts that are not zero.
    pub cells: Vec<CellRow>,
}

/// Counts of one cell in an hour.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CellRow {
    /// Name of the measure.
    pub measure: CompactString,
    /// Name of the team.
    pub team: CompactString,
    /// Version that answered.
    pub version: CompactString,
    /// Buckets that are not empty.
    pub buckets: Vec<BucketRow>,
}

/// One bucket's count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BucketRow {
    /// Number of the bucket in its hour.
    pub bucket: usize,
    /// The count.
    #[serde(flatten)]
    pub count: Count,
}

impl HourRow {
    /// The row of an hour's counts.
    pub fn new(hour: u64, sums: &HourSums) -> Self {
        let cells = sums.cells.iter().map(|(cell, counts)| CellRow {
            measure: cell.measure.clone(),
            team: cell.team.clone(),
            version: cell.version.clone(),
            buckets: non_empty_buckets(counts),
        });
        Self {
            hour,
            cells: cells.collect(),
        }
    }
}

fn non_empty_buckets(counts: &[Count; BUCKETS_PER_HOUR]) -> Vec<BucketRow> {
    let numbered = counts.iter().enumerate();
    let filled = numbered.filter(|(_, count)| count.total > 0);
    filled
        .map(|(bucket, count)| BucketRow {
            bucket,
            count: *count,
        })
        .collect()
}
