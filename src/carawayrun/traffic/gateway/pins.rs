//! Versions of sessions that callers name by an id of their own.
//!
//! The first gateway that sees an id writes a row `pin/<team>/<digest>`, which
//! must not exist before; where two see it at once, one of the rows holds for
//! both. Reads and writes of one thread that come together go in one call.
//!
//! While the table service is out, an id that this thread has not seen is
//! refused: its row may exist, and any guess could break it. Tokens are not
//! affected, as they need no row.

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

/// Pins that one thread remembers.
const MAX_REMEMBERED: usize = 10_000;

/// Most rows of one call.
const MAX_ROWS: usize = 128;

/// Attempts of a write whose answer was lost.
const MAX_ATTEMPTS: u32 = 4;

/// Wait that is advised while the table service is out, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// Bytes of the digest that stand in a key.
const DIGEST_BYTES: usize = 16;

/// A pin as its row holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredPin {
    pub(super) version: CompactString,
    row_version: u64,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Claimed {
    /// The session is on the version that was asked for.
    Won,
    /// Another gateway was first.
    Held(StoredPin),
}

#[derive(Serialize, Deserialize)]
struct PinRow {
    version: CompactString,
}

/// Pins as one thread sees them.
#[derive(Debug)]
pub(super) struct Pins {
    table: TableClient,
    remembered: RefCell<FxHashMap<CompactString, StoredPin>>,
    reads: RefCell<Vec<Read>>,
    writes: RefCell<Vec<Claim>>,
    reading: Cell<bool>,
    writing: Cell<bool>,
}

#[derive(Debug)]
struct Read {
    key: CompactString,
    answer: oneshot::Sender<Result<Option<StoredPin>, Refusal>>,
}

#[derive(Debug)]
struct Claim {
    key: CompactString,
    version: CompactString,
    row_version: u64,
    answer: oneshot::Sender<Result<Claimed, Refusal>>,
}

/// The key of a session's row. A session has one version of each model.
pub(super) fn key(team: &str, session: &str, model: &str) -> CompactString {
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
            remembered: RefCell::default(),
            reads: RefCell::default(),
            writes: RefCell::default(),
            reading: Cell::new(false),
            writing: Cell::new(false),
        })
    }

    /// The pin of a session, if it has one.
    pub(super) async fn find(
        self: &Rc<Self>,
        key: &CompactString,
    ) -> Result<Option<StoredPin>, Refusal> {
        if let Some(known) = self.remembered.borrow().get(key) {
            return Ok(Some(known.clone()));
        }
        let (answer, answered) = oneshot::channel();
        self.reads.borrow_mut().push(Read {
            key: key.clone(),
            answer,
        });
        if !self.reading.replace(true) {
            actix_rt::spawn(Rc::clone(self).read_all());
        }
        answered.await.unwrap_or_else(|_| Err(outage()))
    }

    /// Puts a session on a version, where its row is still as `seen`.
    pub(super) async fn claim(
        self: &Rc<Self>,
        key: &CompactString,
        version: &CompactString,
        seen: Option<&StoredPin>,
    ) -> Result<Claimed, Refusal> {
        let (answer, answered) = oneshot::channel();
        self.writes.borrow_mut().push(Claim {
            key: key.clone(),
            version: version.clone(),
            row_version: seen.map_or(0, |seen| seen.row_version),
            answer,
        });
        if !self.writing.replace(true) {
            actix_rt::spawn(Rc::clone(self).write_all());
        }
        answered.await.unwrap_or_else(|_| Err(outage()))
    }

    async fn read_all(self: Rc<Self>) {
        loop {
            let batch = take(&self.reads);
            if batch.is_empty() {
                break;
            }
            let keys = batch.iter().map(|read| read.key.clone()).collect();
            let result = self.table.call(TableCall::Read(keys)).await;
            for read in batch {
                let found = result.as_ref().map_err(|_| outage());
                let found = found.map(|answer| find(rows(answer), &read.key));
                if let Ok(Some(pin)) = &found {
                    self.remember(&read.key, pin);
                }
                let _ = read.answer.send(found);
            }
        }
        self.reading.set(false);
    }

    async fn write_all(self: Rc<Self>) {
        loop {
            let batch = take(&self.writes);
            if batch.is_empty() {
                break;
            }
            self.write(batch).await;
        }
        self.writing.set(false);
    }

    async fn write(&self, mut batch: Vec<Claim>) {
        for _ in 0..MAX_ATTEMPTS {
            batch = self.attempt(batch).await;
            if batch.is_empty() {
                return;
            }
        }
        for claim in batch {
            let _ = claim.answer.send(Err(outage()));
        }
    }

    // Returns the claims that are not decided.
    async fn attempt(&self, batch: Vec<Claim>) -> Vec<Claim> {
        let (batch, twice) = distinct(batch);
        let mut left = match self.table.call(commit(&batch)).await {
            Ok(_) => {
                for claim in batch {
                    self.decide(claim, None);
                }
                Vec::new()
            }
            Err(TableError::Conflict { rows }) => self.conflicted(batch, &rows),
            // It may have taken effect; the rows tell.
            Err(TableError::Lost { .. }) => self.look(batch).await,
            Err(_) => {
                for claim in batch {
                    let _ = claim.answer.send(Err(outage()));
                }
                Vec::new()
            }
        };
        left.extend(twice);
        left
    }

    fn conflicted(&self, batch: Vec<Claim>, rows: &[Row]) -> Vec<Claim> {
        let mut left = Vec::new();
        for claim in batch {
            match find(rows, &claim.key) {
                Some(found) => self.decide(claim, Some(found)),
                None => left.push(claim),
            }
        }
        left
    }

    async fn look(&self, batch: Vec<Claim>) -> Vec<Claim> {
        let keys = batch.iter().map(|claim| claim.key.clone()).collect();
        let Ok(answer) = self.table.call(TableCall::Read(keys)).await else {
            return batch;
        };
        let mut left = Vec::new();
        for claim in batch {
            match find(rows(&answer), &claim.key) {
                Some(found) if found.row_version > claim.row_version => {
                    self.decide(claim, Some(found));
                }
                _ => left.push(claim),
            }
        }
        left
    }

    fn decide(&self, claim: Claim, found: Option<StoredPin>) {
        let pin = found.unwrap_or_else(|| StoredPin {
            version: claim.version.clone(),
            row_version: claim.row_version + 1,
        });
        self.remember(&claim.key, &pin);
        let claimed = if pin.version == claim.version {
            Claimed::Won
        } else {
            Claimed::Held(pin)
        };
        let _ = claim.answer.send(Ok(claimed));
    }

    fn remember(&self, key: &CompactString, pin: &StoredPin) {
        let mut remembered = self.remembered.borrow_mut();
        if remembered.len() >= MAX_REMEMBERED {
            remembered.clear();
        }
        remembered.insert(key.clone(), pin.clone());
    }
}

fn take<T>(queue: &RefCell<Vec<T>>) -> Vec<T> {
    let mut queue = queue.borrow_mut();
    let count = queue.len().min(MAX_ROWS);
    queue.drain(..count).collect()
}

// A transaction writes a row once; a second claim of a key waits its turn.
fn distinct(batch: Vec<Claim>) -> (Vec<Claim>, Vec<Claim>) {
    let mut first: Vec<Claim> = Vec::new();
    let mut twice = Vec::new();
    for claim in batch {
        if first.iter().any(|other| other.key == claim.key) {
            twice.push(claim);
        } else {
            first.push(claim);
        }
    }
    (first, twice)
}

fn commit(batch: &[Claim]) -> TableCall {
    let conditions = batch.iter().map(|claim| Condition {
        key: claim.key.clone(),
        version: claim.row_version,
    });
    let puts = batch.iter().map(|claim| Put {
        key: claim.key.clone(),
        value: to_raw_value(&PinRow {
            version: claim.version.clone(),
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

fn find(rows: &[Row], key: &CompactString) -> Option<StoredPin> {
    let row = rows.iter().find(|row| row.key == *key)?;
    let pin: PinRow = serde_json::from_str(row.value.get()).ok()?;
    Some(StoredPin {
        version: pin.version,
        row_version: row.version,
    })
}

fn outage() -> Refusal {
    let refusal = Refusal::new(
        Code::StoreUnavailable,
        "the version of this session can't be looked up; come back, or send the token of an \
         earlier answer",
    );
    refusal.retry_after(OUTAGE_RETRY_MS)
}
