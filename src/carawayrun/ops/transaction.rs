//! One write of the configuration, from the first look to a known outcome.
//!
//! A pure state machine: [`WriteTransaction::next_action`] says what to call,
//! [`WriteTransaction::handle_answer`] takes the answer. It first reads the changes
//! that this node has not seen, so preconditions are judged on the newest
//! configuration. It commits on condition of that generation. Where another
//! writer was first, it reads on and tries again, unless a resource of its own
//! was changed. Where an answer is lost, the change row with its write id tells
//! whether the write took effect; where there is none, the same transaction is
//! sent again, which is safe because its condition can hold only once.

use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;

use crate::resource::{
    CHANGE_PREFIX, Change, Config, ConfigWrite, Edit, EditError, Origin, change_key,
};
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Most changes read at once.
const CATCH_UP_BATCH_SIZE: u32 = 256;

/// Most calls that may go without an answer before the attempt gives up.
const MAX_FAILURES: u32 = 6;

/// Most times that other writers may be first before the attempt gives up.
const MAX_RACES: u32 = 64;

/// What to do next.
#[derive(Debug)]
pub enum NextAction {
    /// Make this call and give its answer to [`WriteTransaction::handle_answer`];
    /// after a failure, first wait a little.
    Call {
        /// The call.
        call: TableCall,
        /// Number of failures so far, for the length of the pause.
        failures: u32,
    },
    /// The write took effect; with `dry_run`, it would.
    Done(Box<Change>),
    /// The edits change nothing.
    Unchanged(u64),
    /// The attempt ended without effect, or with an unknown one.
    Failed(WriteError),
}

/// An attempt that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum WriteError {
    /// A precondition failed, or the outcome would be no configuration.
    #[snafu(display("{error}"))]
    Refused {
        /// Why.
        error: EditError,
    },
    /// The table service is down and nothing was written.
    #[snafu(display("the table service is unavailable and nothing was changed: {message}"))]
    Unavailable {
        /// What it said.
        message: CompactString,
    },
    /// The table service went away while the write was under way.
    #[snafu(display(
        "the table service went away during the write, so it is unknown whether the change took \
         effect: {message}; look for write id {write_id} in the audit trail"
    ))]
    Unknown {
        /// What it said.
        message: CompactString,
        /// Id to look for.
        write_id: CompactString,
    },
    /// Rows of the table service can't be read.
    #[snafu(display("the table service holds a row that can't be used: {message}"))]
    Corrupt {
        /// What is wrong.
        message: CompactString,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    CatchUp,
    Commit,
}

/// One write under way.
#[derive(Debug)]
pub struct WriteTransaction {
    config: Arc<Config>,
    edits: Vec<Edit>,
    origin: Origin,
    dry_run: bool,
    step: Step,
    write: Option<Box<ConfigWrite>>,
    /// True while a commit without an answer may still take effect.
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
    /// An attempt that starts from the configuration this node has in force.
    ///
    /// With `dry_run` it ends before it would commit.
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

    /// What to do next.
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

    /// Takes the answer to the last call.
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
        // The head has moved on, so a commit on the old one can't succeed any more.
        self.in_doubt = false;
        self.write = None;
        self.config = Arc::new(self.config.with_change(&change));
    }

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

    fn record_race(&mut self) {
        self.races += 1;
        self.step = Step::CatchUp;
        if self.races > MAX_RACES {
            self.give_up("other writers were always first".into());
        }
    }

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
