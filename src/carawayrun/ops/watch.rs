//! The stream of configuration changes that a watch reads.
//!
//! Changes are read from the table service in the order of their generations,
//! so none is lost or duplicated, whichever gateway serves the watch.

use std::convert::Infallible;
use std::time::Duration;

use actix_rt::time::Instant;
use bytes::Bytes;
use futures_core::Stream;
use futures_util::stream;
use serde::Serialize;

use super::api::WatchLine;
use super::store::list_changes_after;
use crate::node::Handle;
use crate::resource::Change;
use crate::store::TableClient;

/// Interval at which the generation in force is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the table service is read while the generation in force
/// does not advance, since this gateway may lag behind the store.
const STORE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time without a line; a heartbeat is sent after it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of changes read per call.
const BATCH_SIZE: u32 = 64;

/// Streams the lines after generation `from`.
///
/// The stream ends only after [`WatchLine::Gone`].
pub(super) fn watch_lines(
    handle: Handle,
    table: TableClient,
    from: u64,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let watch = Watch {
        handle,
        table,
        sent_generation: from,
        last_write: None,
        last_read: None,
        store_available: true,
        ended: false,
    };
    stream::unfold(watch, |mut watch| async move {
        let lines = watch.next_lines().await?;
        Some((Ok(lines), watch))
    })
}

struct Watch {
    handle: Handle,
    table: TableClient,
    /// Generation up to which all changes have been sent.
    sent_generation: u64,
    last_write: Option<Instant>,
    last_read: Option<Instant>,
    store_available: bool,
    ended: bool,
}

impl Watch {
    async fn next_lines(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        loop {
            if self.is_store_due() {
                let lines = self.read_changes().await;
                if !lines.is_empty() {
                    return Some(self.record_write(lines));
                }
            }
            if is_due(self.last_write, HEARTBEAT_INTERVAL) {
                let line = self.heartbeat();
                return Some(self.record_write(line));
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the table service is to be read now.
    fn is_store_due(&self) -> bool {
        let behind = self.handle.view().config.generation > self.sent_generation;
        (behind && self.store_available) || is_due(self.last_read, STORE_POLL_INTERVAL)
    }

    async fn read_changes(&mut self) -> Vec<u8> {
        self.last_read = Some(Instant::now());
        let Ok(changes) = list_changes_after(&self.table, self.sent_generation, BATCH_SIZE).await
        else {
            self.store_available = false;
            return Vec::new();
        };
        self.store_available = true;
        let mut lines = Vec::new();
        for change in changes {
            self.append_change(change, &mut lines);
        }
        lines
    }

    /// Appends the line of a change, or a final line where changes are missing.
    fn append_change(&mut self, change: Change, lines: &mut Vec<u8>) {
        if self.ended {
            return;
        }
        if change.generation > self.sent_generation + 1 {
            self.ended = true;
            let oldest = change.generation - 1;
            write_line(lines, &WatchLine::Gone { oldest });
            return;
        }
        self.sent_generation = change.generation;
        let change = Box::new(change);
        write_line(lines, &WatchLine::Change { change });
    }

    fn heartbeat(&self) -> Vec<u8> {
        let mut line = Vec::new();
        let heartbeat = WatchLine::Heartbeat {
            generation: self.sent_generation,
            in_force: self.handle.view().config.generation,
            store_available: self.store_available,
        };
        write_line(&mut line, &heartbeat);
        line
    }

    /// Records the time at which `lines` are sent, from which the next heartbeat is
    /// due, and returns them as bytes.
    fn record_write(&mut self, lines: Vec<u8>) -> Bytes {
        self.last_write = Some(Instant::now());
        Bytes::from(lines)
    }
}

fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= interval)
}

fn write_line(lines: &mut Vec<u8>, line: &impl Serialize) {
    serde_json::to_writer(&mut *lines, line).expect("lines of a watch can be written as JSON");
    lines.push(b'\n');
}
