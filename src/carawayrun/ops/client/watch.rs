//! Watching changes over several gateways.

use std::time::Duration;

use awc::http::Method;
use compact_str::CompactString;
use futures_util::StreamExt;

use super::error::{UnreachableSnafu, lost, malformed, refused, send_error};
use super::{ANSWER_TIMEOUT, Client, ClientError};
use crate::ops::api::WatchLine;

/// Longest silence on a watch; heartbeats come more often.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two connections of a watch that worked before.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Connections in a row that may bring nothing before such a watch gives up.
const RETRIES: usize = 60;

impl Client {
    /// Reads the lines of a watch after generation `from` until `take` says
    /// false; goes on at another server where a connection ends.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no server can be reached or one refuses.
    pub async fn watch(
        &self,
        mut from: u64,
        mut take: impl FnMut(WatchLine) -> bool,
    ) -> Result<(), ClientError> {
        let mut seen_any = false;
        let mut failures = 0;
        while failures < self.allowed_failures(seen_any) {
            let index = self.current.get() % self.servers.len();
            let server = &self.servers[index];
            let mut lines = 0;
            let mut counted = |line: WatchLine| {
                lines += 1;
                take(line)
            };
            match self.watch_one(server, &mut from, &mut counted).await {
                Ok(true) => return Ok(()),
                Err(error @ ClientError::Refused { .. }) => return Err(error),
                Ok(false) | Err(_) => self.current.set(index + 1),
            }
            seen_any |= lines > 0;
            failures = if lines > 0 { 0 } else { failures + 1 };
            if seen_any {
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
        UnreachableSnafu {
            message: "the watch ended at each",
        }
        .fail()
    }

    /// A watch that worked outlives a restart of all servers; one that never
    /// did asks each server once.
    fn allowed_failures(&self, seen_any: bool) -> usize {
        if seen_any {
            self.servers.len().max(RETRIES)
        } else {
            self.servers.len()
        }
    }

    // Returns true where `take` had enough.
    async fn watch_one(
        &self,
        server: &CompactString,
        from: &mut u64,
        take: &mut impl FnMut(WatchLine) -> bool,
    ) -> Result<bool, ClientError> {
        let path = format!("/apis/v1/watch?from={from}");
        let request = self.request(server, &Method::GET, &path).send();
        let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, request).await;
        let Ok(answer) = answer else {
            return lost(server, &"no answer in time");
        };
        let mut answer = answer.map_err(|error| send_error(server, &error))?;
        if !answer.status().is_success() {
            let body = answer.body().await.unwrap_or_default();
            return Err(refused(answer.status(), &body));
        }
        let mut rest = Vec::new();
        loop {
            let part = actix_rt::time::timeout(WATCH_TIMEOUT, answer.next()).await;
            let Ok(Some(Ok(part))) = part else {
                return Ok(false);
            };
            rest.extend_from_slice(&part);
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = rest.drain(..=end).collect();
                let line =
                    serde_json::from_slice(&line).map_err(|error| malformed(server, &error))?;
                if let WatchLine::Change { change } = &line {
                    *from = change.generation;
                }
                let gone = matches!(line, WatchLine::Gone { .. });
                if !take(line) || gone {
                    return Ok(true);
                }
            }
        }
    }
}
