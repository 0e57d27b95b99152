//! A conditional write of the configuration, retried until it is committed or
//! refused, or until too many calls fail or too many commits lose to others.
//!
//! A state machine without I/O: [`WriteTransaction::next_action`] returns the
//! next call, [`WriteTransaction::handle_answer`] takes its answer.
//!
//! The transaction first reads the changes that this node has not seen, so that
//! preconditions are checked against the newest configuration, and then commits
//! on condition that this generation is still the newest. If another writer
//! committed first, it catches up and retries, unless the other write changed a
//! resource that this one edits too. If an answer is lost, a change row with
//! the own write id shows that the write took effect; without such a row the
//! same transaction is sent again, which is safe since its condition can hold
//! only once.

use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;

use crate::resource::{
    CHANGE_PREFIX, Change, Config, ConfigWrite, Edit, EditError, Origin, change_key,
};
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Number of changes read per call while catching up.
const CATCH_UP_BATCH_SIZE: u32 = 256;

/// Number of calls that may fail while a commit is in doubt; otherwise the second
/// failure already ends the transaction.
const MAX_FAILURES: u32 = 6;

/// Number of commits that may lose to other writers before the transaction
/// gives up.
const MAX_RACES: u32 = 64;

/// Next action of the caller that drives a [`WriteTransaction`].
#[derive(Debug)]
pub enum NextAction {
    /// Make this call and pass its answer to
    /// [`WriteTransaction::handle_answer`]; back off first if `failures` is
    /// not zero.
    Call {
        /// The call to the table service.
        call: TableCall,
        /// Number of failed calls so far, which sets the length of the backoff.
        failures: u32,
    },
    /// The change was committed, or with `dry_run` would be.
    Done(Box<Change>),
    /// The edits change nothing at this generation.
    Unchanged(u64),
    /// The transaction failed; whether it took effect depends on the error.
    Failed(WriteError),
}

/// A write transaction that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum WriteError {
    /// A precondition failed, or the result would not be a valid configuration.
    #[snafu(display("{error}"))]
    Refused {
        /// The failed check.
        error: EditError,
    },
    /// The table service is down and nothing was written.
    #[snafu(display("the table service is unavailable and nothing was changed: {message}"))]
    Unavailable {
        /// Error of the last call.
        message: CompactString,
    },
    /// The table service became unreachable after a commit was sent.
    #[snafu(display(
        "the table service went away during the write, so it is unknown whether the change took \
         effect: {message}; look for write id {write_id} in the audit trail"
    ))]
    Unknown {
        /// Error of the last call.
        message: CompactString,
        /// Id of the write, to be searched for in the audit trail.
        write_id: CompactString,
    },
    /// A row or an answer of the table service can't be used.
    #[snafu(display("the table service holds a row that can't be used: {message}"))]
    Corrupt {
        /// Key of the row and its error, or the unexpected answer.
        message: CompactString,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    CatchUp,
    Commit,
}

/// A conditional write of configuration edits.
#[derive(Debug)]
pub struct WriteTransaction {
    config: Arc<Config>,
    edits: Vec<Edit>,
    origin: Origin,
    dry_run: bool,
    step: Step,
    write: Option<Box<ConfigWrite>>,
    /// True while a commit whose answer was lost may have taken effect.
    in_doubt: bool,
    failures: u32,
    races: u32,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone)]
enum Outcome {
    Done(Box<Change>),
    Unchanged,
    Failed(WriteError),
}

impl WriteTransaction {
    /// Creates a transaction that starts from `config`, the configuration that
    /// this node has in force.
    ///
    /// With `dry_run` the transaction ends before the commit.
    pub fn new(config: Arc<Config>, edits: Vec<Edit>, origin: Origin, dry_run: bool) -> Self {
        Self {
            config,
            edits,
            origin,
            dry_run,
            step: Step::CatchUp,
            write: None,
            in_doubt: false,
            failures: 0,
            races: 0,
            outcome: None,
        }
    }

    /// Returns the next call to make, or the outcome.
    pub fn next_action(&self) -> NextAction {
        match &self.outcome {
            Some(Outcome::Done(change)) => NextAction::Done(change.clone()),
            Some(Outcome::Unchanged) => NextAction::Unchanged(self.config.generation),
            Some(Outcome::Failed(error)) => NextAction::Failed(error.clone()),
            None => NextAction::Call {
                call: self.table_call(),
                failures: self.failures,
            },
        }
    }

    /// Handles the answer to the call that [`Self::next_action`] returned.
    pub fn handle_answer(&mut self, answer: Result<TableAnswer, TableError>) {
        match (self.step, answer) {
            (Step::CatchUp, Ok(TableAnswer::Rows(rows))) => self.apply_rows(&rows),
            (Step::Commit, Ok(TableAnswer::Committed)) => self.record_commit(),
            (Step::Commit, Err(TableError::Conflict { .. })) => self.record_race(),
            (Step::Commit, Err(TableError::Lost { message })) => {
                self.in_doubt = true;
                self.record_failure(&message);
            }
            (_, Err(TableError::Unavailable { message } | TableError::Lost { message })) => {
                self.record_failure(&message);
            }
            (_, Err(error)) => self.fail_corrupt(error.to_compact_string()),
            (_, Ok(answer)) => self.fail_corrupt(format!("unexpected answer {answer:?}").into()),
        }
    }

    fn table_call(&self) -> TableCall {
        match (self.step, &self.write) {
            (Step::Commit, Some(write)) => TableCall::Commit(write.transaction.clone()),
            _ => TableCall::List(ListCall {
                prefix: CHANGE_PREFIX.into(),
                after: change_key(self.config.generation),
                limit: CATCH_UP_BATCH_SIZE,
            }),
        }
    }

    fn apply_rows(&mut self, rows: &[Row]) {
        for row in rows {
            if self.outcome.is_some() {
                return;
            }
            self.apply_change(row);
        }
        if self.outcome.is_some() || rows.len() == CATCH_UP_BATCH_SIZE as usize {
            return;
        }
        self.prepare_commit();
    }

    /// Applies one change, or ends the transaction if it is its own.
    fn apply_change(&mut self, row: &Row) {
        let change: Change = match serde_json::from_str(row.value.get()) {
            Ok(change) => change,
            Err(error) => return self.fail_corrupt(format!("{}: {error}", row.key).into()),
        };
        let expected = self.config.generation + 1;
        if change.generation != expected {
            let found = change.generation;
            return self.fail_corrupt(format!("change {found} follows {}", expected - 1).into());
        }
        if change.write_id == self.origin.write_id {
            self.outcome = Some(Outcome::Done(Box::new(change)));
            return;
        }
        // The head has moved on, so a commit sent on an older generation can no
        // longer succeed.
        self.in_doubt = false;
        self.write = None;
        self.config = Arc::new(self.config.with_change(&change));
    }

    /// Builds the write on the newest configuration, unless the same write is
    /// to be sent again.
    fn prepare_commit(&mut self) {
        if self.write.is_none() {
            match ConfigWrite::build(&self.config, &self.edits, &self.origin) {
                Ok(Some(write)) => self.write = Some(Box::new(write)),
                Ok(None) => self.outcome = Some(Outcome::Unchanged),
                Err(error) => self.outcome = Some(Outcome::Failed(WriteError::Refused { error })),
            }
        }
        match &self.write {
            Some(write) if self.dry_run => {
                self.outcome = Some(Outcome::Done(Box::new(write.change.clone())));
            }
            _ => self.step = Step::Commit,
        }
    }

    fn record_commit(&mut self) {
        if let Some(write) = self.write.take() {
            self.outcome = Some(Outcome::Done(Box::new(write.change)));
        }
    }

    /// Records a commit that lost to another writer; the next call catches up.
    fn record_race(&mut self) {
        self.races += 1;
        self.step = Step::CatchUp;
        if self.races > MAX_RACES {
            self.give_up("other writers were always first".into());
        }
    }

    /// Records a failed call.
    ///
    /// While no commit is in doubt, nothing was written, so the second failure
    /// already ends the transaction.
    fn record_failure(&mut self, message: &str) {
        self.failures += 1;
        self.step = Step::CatchUp;
        let nothing_written = !self.in_doubt && self.failures > 1;
        if nothing_written || self.failures > MAX_FAILURES {
            self.give_up(message.into());
        }
    }

    fn give_up(&mut self, message: CompactString) {
        let error = if self.in_doubt {
            WriteError::Unknown {
                message,
                write_id: self.origin.write_id.0.clone(),
            }
        } else {
            WriteError::Unavailable { message }
        };
        self.outcome = Some(Outcome::Failed(error));
    }

    fn fail_corrupt(&mut self, message: CompactString) {
        self.outcome = Some(Outcome::Failed(WriteError::Corrupt { message }));
    }
}
