//! The resource API's calls to the table service.

use std::time::Duration;

use compact_str::ToCompactString;
use snafu::{ResultExt, Snafu};

use super::transaction::{NextAction, WriteError, WriteTransaction};
use crate::resource::{CHANGE_PREFIX, Change, change_key};
use crate::store::TableClient;
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Backoff after the first failed call; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of doublings, which limits the backoff to 1.6 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Outcome of a successful write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// The change was committed, or with a dry run would be.
    Done(Box<Change>),
    /// The edits change nothing at this generation.
    Unchanged(u64),
}

/// Error while reading changes.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum ReadChangesError {
    /// The call to the table service failed.
    #[snafu(display("{source}"))]
    Table {
        /// Error of the call.
        source: TableError,
    },
    /// A row is not a change.
    #[snafu(display("row {key}: {source}"))]
    Row {
        /// Key of the row.
        key: compact_str::CompactString,
        /// Parse error.
        source: serde_json::Error,
    },
}

/// Runs a write transaction until it ends; a dry run writes nothing.
///
/// # Errors
///
/// [`WriteError`] where the transaction fails; with [`WriteError::Unknown`] the
/// change may have taken effect.
pub(super) async fn run_transaction(
    table: &TableClient,
    mut transaction: WriteTransaction,
) -> Result<WriteOutcome, WriteError> {
    loop {
        match transaction.next_action() {
            NextAction::Call { call, failures } => {
                back_off(failures).await;
                transaction.handle_answer(table.call(call).await);
            }
            NextAction::Done(change) => return Ok(WriteOutcome::Done(change)),
            NextAction::Unchanged(generation) => return Ok(WriteOutcome::Unchanged(generation)),
            NextAction::Failed(error) => return Err(error),
        }
    }
}

/// Reads up to `limit` changes after generation `after`, oldest first.
///
/// # Errors
///
/// [`ReadChangesError`] where the call fails or a row is not a change.
pub(super) async fn list_changes_after(
    table: &TableClient,
    after: u64,
    limit: u32,
) -> Result<Vec<Change>, ReadChangesError> {
    let call = TableCall::List(ListCall {
        prefix: CHANGE_PREFIX.into(),
        after: change_key(after),
        limit,
    });
    match table.call(call).await.context(TableSnafu)? {
        TableAnswer::Rows(rows) => rows.iter().map(parse_change).collect(),
        TableAnswer::Committed => Ok(Vec::new()),
    }
}

fn parse_change(row: &Row) -> Result<Change, ReadChangesError> {
    serde_json::from_str(row.value.get()).context(RowSnafu {
        key: row.key.to_compact_string(),
    })
}

async fn back_off(failures: u32) {
    if failures == 0 {
        return;
    }
    let doublings = (failures - 1).min(MAX_BACKOFF_DOUBLINGS);
    actix_rt::time::sleep(INITIAL_BACKOFF * 2_u32.pow(doublings)).await;
}
