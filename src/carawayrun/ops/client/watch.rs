//! Watches that continue over several gateways.

use std::time::Duration;

use awc::http::Method;
use compact_str::CompactString;
use futures_util::StreamExt;

use super::error::{UnreachableSnafu, lost_answer, malformed_error, refused_error, send_error};
use super::{ANSWER_TIMEOUT, Client, ClientError};
use crate::ops::api::WatchLine;

/// Time without data after which a connection is given up; heartbeats are more
/// frequent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before a watch that has received lines reconnects.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Consecutive connections without a line after which such a watch gives up.
const MAX_EMPTY_CONNECTIONS: usize = 60;

impl Client {
    /// Passes the lines of a watch after generation `from` to `on_line` until
    /// it returns false; continues at the next server where a connection ends.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no server can be reached or one refuses the call.
    pub async fn watch(
        &self,
        mut from: u64,
        mut on_line: impl FnMut(WatchLine) -> bool,
    ) -> Result<(), ClientError> {
        let mut seen_any = false;
        let mut failures = 0;
        while failures < self.allowed_failures(seen_any) {
            let index = self.current.get() % self.servers.len();
            let server = &self.servers[index];
            let mut lines = 0;
            let mut count_line = |line: WatchLine| {
                lines += 1;
                on_line(line)
            };
            match self.watch_one(server, &mut from, &mut count_line).await {
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

    /// Returns the number of consecutive failures after which a watch gives up.
    ///
    /// A watch that has received lines survives a restart of all servers; one
    /// that has not tries each server once.
    fn allowed_failures(&self, seen_any: bool) -> usize {
        if seen_any {
            self.servers.len().max(MAX_EMPTY_CONNECTIONS)
        } else {
            self.servers.len()
        }
    }

    /// Reads one connection of a watch; returns whether the watch is complete.
    async fn watch_one(
        &self,
        server: &CompactString,
        from: &mut u64,
        on_line: &mut impl FnMut(WatchLine) -> bool,
    ) -> Result<bool, ClientError> {
        let path = format!("/apis/v1/watch?from={from}");
        let request = self.request(server, &Method::GET, &path).send();
        let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, request).await;
        let Ok(answer) = answer else {
            return lost_answer(server, &"no answer in time");
        };
        let mut answer = answer.map_err(|error| send_error(server, &error))?;
        if !answer.status().is_success() {
            let body = answer.body().await.unwrap_or_default();
            return Err(refused_error(answer.status(), &body));
        }
        let mut buffer = Vec::new();
        loop {
            let chunk = actix_rt::time::timeout(IDLE_TIMEOUT, answer.next()).await;
            let Ok(Some(Ok(chunk))) = chunk else {
                return Ok(false);
            };
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let line = serde_json::from_slice(&line)
                    .map_err(|error| malformed_error(server, &error))?;
                if let WatchLine::Change { change } = &line {
                    *from = change.generation;
                }
                let gone = matches!(line, WatchLine::Gone { .. });
                if !on_line(line) || gone {
                    return Ok(true);
                }
            }
        }
    }
}
