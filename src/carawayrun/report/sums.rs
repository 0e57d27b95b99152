//! Counts of good and all requests per time bucket.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::peer::NodeId;

/// Length of a bucket, in milliseconds (five minutes).
pub const BUCKET_MS: u64 = 300_000;

/// Length of an hour, in milliseconds.
pub const HOUR_MS: u64 = 3_600_000;

/// Number of buckets in an hour.
pub const BUCKETS_PER_HOUR: usize = 12;

/// Prefix of the keys of stored counts; the keys sort by hour.
pub const BURN_PREFIX: &str = "burn/";

/// Returns the key of the row with one gateway's counts of an hour since the
/// Unix epoch.
pub fn burn_key(hour: u64, node: &NodeId) -> CompactString {
    format_compact!("{BURN_PREFIX}{hour:016x}/{node}")
}

/// Cell of the counts: the measure, team and version that a count belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// Name of the measure.
    pub measure: CompactString,
    /// Name of the team.
    pub team: CompactString,
    /// Version that answered; empty for plain services and unanswered requests.
    pub version: CompactString,
}

/// Number of good requests and of all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Count {
    /// Adds another count to this one.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Returns the number of requests that did not meet the objective.
    pub fn bad(self) -> u64 {
        self.total - self.good
    }
}

/// Counts of one hour.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HourSums {
    /// Counts per cell, one per bucket.
    pub cells: BTreeMap<Cell, [Count; BUCKETS_PER_HOUR]>,
}

/// Counts per hour since the Unix epoch; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BurnSums {
    hours: BTreeMap<u64, Arc<HourSums>>,
}

impl BurnSums {
    /// Records a request that ended at `wall_ms` after the Unix epoch; returns
    /// the hour it is counted in.
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

    /// Returns the counts of an hour.
    pub fn hour(&self, hour: u64) -> Option<&HourSums> {
        self.hours.get(&hour).map(Arc::as_ref)
    }

    /// Iterates over all hours, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &HourSums)> {
        self.hours.iter().map(|(hour, sums)| (*hour, sums.as_ref()))
    }

    /// Drops the hours for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(u64) -> bool) {
        self.hours.retain(|hour, _| keep(*hour));
    }
}

/// Stored row with one gateway's counts of one hour.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HourRow {
    /// Hours since the Unix epoch.
    pub hour: u64,
    /// Cells with at least one request.
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
    /// Version that answered; empty where none did.
    pub version: CompactString,
    /// Buckets that are not empty.
    pub buckets: Vec<BucketRow>,
}

/// Count of one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BucketRow {
    /// Index of the bucket in its hour.
    pub bucket: usize,
    /// The count.
    #[serde(flatten)]
    pub count: Count,
}

impl HourRow {
    /// Creates the row with the counts of an hour.
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
