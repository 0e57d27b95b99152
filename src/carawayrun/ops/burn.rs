//! The burn report over all gateways, from stored rows and this gateway's
//! memory.

use std::time::SystemTime;

use compact_str::CompactString;

use crate::control::View;
use crate::report::{BURN_PREFIX, BurnReport, HOUR_MS, HourRow, burn_key, burn_report};
use crate::store::TableClient;
use crate::store::table::{ListCall, Row, TableAnswer, TableCall, TableError};

/// Number of rows read per call.
const PAGE_SIZE: u32 = 1_000;

const HOURS_PER_DAY: u64 = 24;

/// Builds the report; `partial` is true in it where the stored counts could not be
/// read.
pub(super) async fn report(view: &View, table: &TableClient) -> BurnReport {
    let now_ms = now_ms();
    let own: Vec<HourRow> = view
        .burn
        .iter()
        .map(|(hour, sums)| HourRow::new(hour, sums))
        .collect();
    let stored = read_stored_rows(view, table, oldest_hour(view, now_ms)).await;
    let read: Option<Vec<HourRow>> = stored.ok().and_then(|rows| {
        let read = rows.iter().map(|row| serde_json::from_str(row.value.get()));
        read.collect::<Result<_, _>>().ok()
    });
    let partial = read.is_none();
    let mut rows = read.unwrap_or_default();
    rows.extend(own);
    burn_report(&view.config, &rows, now_ms, partial)
}

/// Reads the stored rows from `oldest_hour` on, except this gateway's own rows of
/// the hours that it holds in memory, which are newer there.
async fn read_stored_rows(
    view: &View,
    table: &TableClient,
    oldest_hour: u64,
) -> Result<Vec<Row>, TableError> {
    let own: Vec<CompactString> = view
        .burn
        .iter()
        .map(|(hour, _)| burn_key(hour, &view.node))
        .collect();
    let mut found = Vec::new();
    let mut after = CompactString::from(format!("{BURN_PREFIX}{oldest_hour:016x}"));
    loop {
        let page = read_page(table, &after).await?;
        let Some(last) = page.last() else {
            return Ok(found);
        };
        after.clone_from(&last.key);
        let is_full = page.len() == PAGE_SIZE as usize;
        found.extend(page.into_iter().filter(|row| !own.contains(&row.key)));
        if !is_full {
            return Ok(found);
        }
    }
}

async fn read_page(table: &TableClient, after: &CompactString) -> Result<Vec<Row>, TableError> {
    let call = TableCall::List(ListCall {
        prefix: BURN_PREFIX.into(),
        after: after.clone(),
        limit: PAGE_SIZE,
    });
    match table.call(call).await? {
        TableAnswer::Rows(rows) => Ok(rows),
        TableAnswer::Committed => Ok(Vec::new()),
    }
}

/// Returns the hour in which the longest budget window begins.
fn oldest_hour(view: &View, now_ms: u64) -> u64 {
    let days = view
        .config
        .objectives
        .iter()
        .map(|(_, named)| u64::from(named.spec.window_days));
    let hours = days.max().unwrap_or(0) * HOURS_PER_DAY;
    (now_ms / HOUR_MS).saturating_sub(hours)
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
