//! Stored pins of sessions that callers name by ids of their own.
//!
//! The first request with an id writes a row `pin/<team>/<digest>` on the
//! condition that none exists. If two threads or gateways write at once, one of
//! the rows is stored and both use it. Concurrent reads or writes of one thread
//! are batched into one call.
//!
//! During a store outage, an id whose pin this thread has not cached is
//! refused: its row may exist, and choosing a version without it could break
//! the pin. Session tokens are not affected, since they need no row.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::value::to_raw_value;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use super::refusal::Refusal;
use crate::store::TableClient;
use crate::store::table::{Condition, Put, Row, TableAnswer, TableCall, TableError, Transaction};
use crate::traffic::Code;

/// Maximum number of pins in the cache of one thread.
const MAX_CACHED_PINS: usize = 10_000;

/// Maximum number of rows in one call.
const MAX_BATCH_ROWS: usize = 128;

/// Maximum attempts of a write that is still undecided, such as one whose
/// answer was lost.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Retry delay suggested to callers during a store outage, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// Length of the digest in a row's key, in bytes.
const DIGEST_BYTES: usize = 16;

/// A pin with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredPin {
    pub(super) version: CompactString,
    row_version: u64,
}

/// Result of writing a pin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PinOutcome {
    /// The session is pinned to the requested version.
    Written,
    /// The session already has this pin, written by another request on this or
    /// another gateway.
    Taken(StoredPin),
}

#[derive(Serialize, Deserialize)]
struct PinRow {
    version: CompactString,
}

/// Reads, writes and caches pins for one thread.
#[derive(Debug)]
pub(super) struct Pins {
    table: TableClient,
    cached: RefCell<FxHashMap<CompactString, StoredPin>>,
    reads: RefCell<Vec<PinRead>>,
    writes: RefCell<Vec<PinWrite>>,
    /// Whether a task is processing `reads`.
    reading: Cell<bool>,
    /// Whether a task is processing `writes`.
    writing: Cell<bool>,
}

#[derive(Debug)]
struct PinRead {
    key: CompactString,
    answer: oneshot::Sender<Result<Option<StoredPin>, Refusal>>,
}

#[derive(Debug)]
struct PinWrite {
    key: CompactString,
    version: CompactString,
    row_version: u64,
    answer: oneshot::Sender<Result<PinOutcome, Refusal>>,
}

/// Returns the key of a session's row. A session has one pin for each model.
pub(super) fn row_key(team: &str, session: &str, model: &str) -> CompactString {
    let mut hasher = Sha256::new();
    hasher.update((session.len() as u64).to_be_bytes());
    hasher.update(session);
    hasher.update(model);
    let mut key = format_compact!("pin/{team}/");
    for byte in &hasher.finalize()[..DIGEST_BYTES] {
        write!(key, "{byte:02x}").expect("writing to a string does not fail");
    }
    key
}

impl Pins {
    pub(super) fn new(table: TableClient) -> Rc<Self> {
        Rc::new(Self {
            table,
            cached: RefCell::default(),
            reads: RefCell::default(),
            writes: RefCell::default(),
            reading: Cell::new(false),
            writing: Cell::new(false),
        })
    }

    /// Returns the pin of a session, if it has one.
    pub(super) async fn find(
        self: &Rc<Self>,
        key: &CompactString,
    ) -> Result<Option<StoredPin>, Refusal> {
        if let Some(known) = self.cached.borrow().get(key) {
            return Ok(Some(known.clone()));
        }
        let (answer, answered) = oneshot::channel();
        self.reads.borrow_mut().push(PinRead {
            key: key.clone(),
            answer,
        });
        if !self.reading.replace(true) {
            actix_rt::spawn(Rc::clone(self).process_reads());
        }
        answered.await.unwrap_or_else(|_| Err(store_outage()))
    }

    /// Pins a session to a version, if its row has not changed since `seen`.
    pub(super) async fn compare_and_set(
        self: &Rc<Self>,
        key: &CompactString,
        version: &CompactString,
        seen: Option<&StoredPin>,
    ) -> Result<PinOutcome, Refusal> {
        let (answer, answered) = oneshot::channel();
        self.writes.borrow_mut().push(PinWrite {
            key: key.clone(),
            version: version.clone(),
            row_version: seen.map_or(0, |seen| seen.row_version),
            answer,
        });
        if !self.writing.replace(true) {
            actix_rt::spawn(Rc::clone(self).process_writes());
        }
        answered.await.unwrap_or_else(|_| Err(store_outage()))
    }

    async fn process_reads(self: Rc<Self>) {
        loop {
            let batch = take_batch(&self.reads);
            if batch.is_empty() {
                break;
            }
            let keys = batch.iter().map(|read| read.key.clone()).collect();
            let result = self.table.call(TableCall::Read(keys)).await;
            for read in batch {
                let found = result.as_ref().map_err(|_| store_outage());
                let found = found.map(|answer| find_pin(rows(answer), &read.key));
                if let Ok(Some(pin)) = &found {
                    self.cache(&read.key, pin);
                }
                let _ = read.answer.send(found);
            }
        }
        self.reading.set(false);
    }

    async fn process_writes(self: Rc<Self>) {
        loop {
            let batch = take_batch(&self.writes);
            if batch.is_empty() {
                break;
            }
            self.write_batch(batch).await;
        }
        self.writing.set(false);
    }

    async fn write_batch(&self, mut batch: Vec<PinWrite>) {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            batch = self.try_write(batch).await;
            if batch.is_empty() {
                return;
            }
        }
        for write in batch {
            let _ = write.answer.send(Err(store_outage()));
        }
    }

    // Returns the writes that are still undecided.
    async fn try_write(&self, batch: Vec<PinWrite>) -> Vec<PinWrite> {
        let (batch, duplicates) = split_duplicates(batch);
        let mut undecided = match self.table.call(commit_call(&batch)).await {
            Ok(_) => {
                for write in batch {
                    self.complete(write, None);
                }
                Vec::new()
            }
            Err(TableError::Conflict { rows }) => self.resolve_conflicts(batch, &rows),
            // The transaction may have been committed; the rows show whether it
            // was.
            Err(TableError::Lost { .. }) => self.resolve_by_read(batch).await,
            Err(_) => {
                for write in batch {
                    let _ = write.answer.send(Err(store_outage()));
                }
                Vec::new()
            }
        };
        undecided.extend(duplicates);
        undecided
    }

    // Completes the writes whose rows caused the conflict, and returns the
    // others.
    fn resolve_conflicts(&self, batch: Vec<PinWrite>, rows: &[Row]) -> Vec<PinWrite> {
        let mut undecided = Vec::new();
        for write in batch {
            match find_pin(rows, &write.key) {
                Some(found) => self.complete(write, Some(found)),
                None => undecided.push(write),
            }
        }
        undecided
    }

    // Completes the writes whose rows have changed, and returns the others.
    async fn resolve_by_read(&self, batch: Vec<PinWrite>) -> Vec<PinWrite> {
        let keys = batch.iter().map(|write| write.key.clone()).collect();
        let Ok(answer) = self.table.call(TableCall::Read(keys)).await else {
            return batch;
        };
        let mut undecided = Vec::new();
        for write in batch {
            match find_pin(rows(&answer), &write.key) {
                Some(found) if found.row_version > write.row_version => {
                    self.complete(write, Some(found));
                }
                _ => undecided.push(write),
            }
        }
        undecided
    }

    // Answers a write: with the pin that was found, or as written if none was.
    fn complete(&self, write: PinWrite, found: Option<StoredPin>) {
        let pin = found.unwrap_or_else(|| StoredPin {
            version: write.version.clone(),
            row_version: write.row_version + 1,
        });
        self.cache(&write.key, &pin);
        let outcome = if pin.version == write.version {
            PinOutcome::Written
        } else {
            PinOutcome::Taken(pin)
        };
        let _ = write.answer.send(Ok(outcome));
    }

    fn cache(&self, key: &CompactString, pin: &StoredPin) {
        let mut cached = self.cached.borrow_mut();
        if cached.len() >= MAX_CACHED_PINS {
            cached.clear();
        }
        cached.insert(key.clone(), pin.clone());
    }
}

fn take_batch<T>(queue: &RefCell<Vec<T>>) -> Vec<T> {
    let mut queue = queue.borrow_mut();
    let count = queue.len().min(MAX_BATCH_ROWS);
    queue.drain(..count).collect()
}

// Splits off repeated writes of the same key. A transaction can write a row
// only once, so they wait for the next attempt.
fn split_duplicates(batch: Vec<PinWrite>) -> (Vec<PinWrite>, Vec<PinWrite>) {
    let mut first: Vec<PinWrite> = Vec::new();
    let mut duplicates = Vec::new();
    for write in batch {
        if first.iter().any(|other| other.key == write.key) {
            duplicates.push(write);
        } else {
            first.push(write);
        }
    }
    (first, duplicates)
}

fn commit_call(batch: &[PinWrite]) -> TableCall {
    let conditions = batch.iter().map(|write| Condition {
        key: write.key.clone(),
        version: write.row_version,
    });
    let puts = batch.iter().map(|write| Put {
        key: write.key.clone(),
        value: to_raw_value(&PinRow {
            version: write.version.clone(),
        })
        .expect("a pin can be written as JSON"),
    });
    TableCall::Commit(Transaction {
        conditions: conditions.collect(),
        puts: puts.collect(),
        deletes: Vec::new(),
    })
}

fn rows(answer: &TableAnswer) -> &[Row] {
    match answer {
        TableAnswer::Rows(rows) => rows,
        TableAnswer::Committed => &[],
    }
}

fn find_pin(rows: &[Row], key: &CompactString) -> Option<StoredPin> {
    let row = rows.iter().find(|row| row.key == *key)?;
    let pin: PinRow = serde_json::from_str(row.value.get()).ok()?;
    Some(StoredPin {
        version: pin.version,
        row_version: row.version,
    })
}

fn store_outage() -> Refusal {
    let refusal = Refusal::new(
        Code::StoreUnavailable,
        "the version of this session can't be looked up; come back, or send the token of an \
         earlier answer",
    );
    refusal.retry_after(OUTAGE_RETRY_MS)
}
