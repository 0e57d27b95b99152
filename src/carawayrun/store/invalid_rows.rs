//! Rows that were found to be invalid.

use std::cell::RefCell;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// Most rows that are remembered. Beyond these some are logged again.
const MAX_ROWS: usize = 1_000;

/// Versions of invalid rows by table and key, so that each is logged once and not with
/// each read.
#[derive(Debug, Default)]
pub struct InvalidRows {
    versions: RefCell<FxHashMap<(&'static str, CompactString), u64>>,
}

impl InvalidRows {
    /// Records an invalid row; returns true if this version of it was not recorded last.
    pub fn record(&self, table: &'static str, key: &str, version: u64) -> bool {
        let mut versions = self.versions.borrow_mut();
        if versions.len() >= MAX_ROWS {
            versions.clear();
        }
        versions.insert((table, key.into()), version) != Some(version)
    }
}
