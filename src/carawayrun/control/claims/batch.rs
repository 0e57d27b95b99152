//! Batches of claim writes that go into one transaction.

use compact_str::CompactString;
use serde_json::value::to_raw_value;

use super::row::{ClaimRow, ClaimState};
use crate::store::table::{Condition, Put, Transaction};

/// Most writes in one transaction.
const MAX_BATCH_WRITES: usize = 64;

/// Total size of stored answers, in bytes, after which a transaction takes no
/// more writes.
const MAX_BATCH_ANSWER_BYTES: usize = 512 * 1024;

/// A compare-and-set write of one claim's row.
#[derive(Debug)]
pub(super) struct RowWrite {
    pub(super) key: CompactString,
    /// Version that the row must have; zero if it must not exist.
    pub(super) version: u64,
    pub(super) row: ClaimRow,
}

/// The writes of one transaction.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) writes: Vec<RowWrite>,
}

impl Batch {
    /// Takes as many of `writes` as fit; `None` if there are none.
    pub(super) fn collect(number: u64, writes: impl Iterator<Item = RowWrite>) -> Option<Self> {
        let mut bytes = 0;
        let writes: Vec<RowWrite> = writes
            .take(MAX_BATCH_WRITES)
            .take_while(|write| {
                let fits = bytes < MAX_BATCH_ANSWER_BYTES;
                bytes += answer_bytes(write);
                fits
            })
            .collect();
        (!writes.is_empty()).then_some(Self { number, writes })
    }

    pub(super) fn transaction(&self) -> Transaction {
        Transaction {
            conditions: self.writes.iter().map(condition).collect(),
            puts: self.writes.iter().map(put).collect(),
            deletes: Vec::new(),
        }
    }
}

fn answer_bytes(write: &RowWrite) -> usize {
    match &write.row.state {
        ClaimState::Finished {
            answer: Some(answer),
        } => answer.len(),
        _ => 0,
    }
}

fn condition(write: &RowWrite) -> Condition {
    Condition {
        key: write.key.clone(),
        version: write.version,
    }
}

fn put(write: &RowWrite) -> Put {
    Put {
        key: write.key.clone(),
        value: to_raw_value(&write.row).expect("a claim can be written as JSON"),
    }
}
