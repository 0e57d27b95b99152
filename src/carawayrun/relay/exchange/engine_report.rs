//! Polls the load report of an engine that does not answer.

use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use super::Exchange;
use super::answer::read_whole;
use super::attempt::CONNECT_TIMEOUT;
use crate::platform;
use crate::relay::body::Body;
use crate::relay::catalog::Route;
use crate::relay::connection::ConnectionError;
use crate::relay::message::EngineReport;
use crate::relay::traffic::Traffic;
use crate::relay::view::{Upstream, UpstreamKey};

/// Time limit for an engine's load report, which takes no slot of the engine.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest load report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Why an upstream's load report could not be read.
#[derive(Debug)]
#[derive(Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Wire { source: ConnectionError },
    #[snafu(display("it accepts no requests now"))]
    NotAccepting,
    #[snafu(display("invalid load report: {source}"))]
    Unreadable { source: serde_json::Error },
}

impl Exchange<'_> {
    // Polls a silent engine's load report; returns true if the engine may have the
    // request queued or running. Sending it elsewhere would then only add to the
    // load, at the end of another queue.
    pub(super) async fn is_queued(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        route: &Route,
    ) -> bool {
        // The poll is a request too.
        let taken = route.kind.is_stream().then(|| self.traffic.take_send(key));
        let Some(taken) = taken.flatten() else {
            return false;
        };
        let report = fetch_report(key, upstream, self.traffic, taken);
        let report = timeout(REPORT_TIMEOUT, report).await;
        self.traffic.metrics.report_polls.inc();
        let has =
            matches!(&report, Ok(Ok((_, report))) if report.may_have_request(&self.request.id));
        if matches!(&report, Ok(Ok((true, _)))) {
            self.traffic.record_departure(key, upstream);
        }
        tracing::info!(request = %self.request.id, upstream = %upstream.name, has, ?report, "load report of silent upstream polled");
        has
    }
}

// Also returns whether the engine says that it is leaving.
async fn fetch_report(
    key: UpstreamKey,
    upstream: &Upstream,
    traffic: &Traffic,
    taken: Duration,
) -> Result<(bool, EngineReport), ReportError> {
    let connection = traffic.connect(upstream.addr, CONNECT_TIMEOUT).await;
    let mut connection = connection.context(WireSnafu)?;
    snafu::ensure!(traffic.renew_send(key, taken), NotAcceptingSnafu);
    let head = platform::report_request(upstream);
    connection
        .start_request(head, &Body::default())
        .context(WireSnafu)?;
    let head = connection.read_head().await.context(WireSnafu)?;
    let is_leaving = platform::parse_answer(&head).is_leaving;
    let body = read_whole(&mut connection, MAX_REPORT_BYTES)
        .await
        .context(WireSnafu)?;
    let report = platform::parse_report(&body.to_vec()).context(UnreadableSnafu)?;
    Ok((is_leaving, report))
}
