//! What an upstream says of its own load.

use actix_http::RequestHead;
use actix_http::header::{HOST, HeaderValue};
use compact_str::CompactString;
use serde::Deserialize;

use crate::relay::message::EngineReport;
use crate::relay::view::Upstream;

/// Path of the report.
const REPORT_PATH: &str = "/v1/report";

#[derive(Deserialize)]
struct WireReport {
    #[serde(default)]
    queued: u32,
    /// Requests under way: identity, tokens in memory, events made, urgency.
    #[serde(default)]
    runs: Vec<(CompactString, f64, f64, f64)>,
}

/// The head of a request for an upstream's report.
pub fn report_request(upstream: &Upstream) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = actix_http::Uri::from_static(REPORT_PATH);
    if let Ok(host) = HeaderValue::from_str(&upstream.addr.to_string()) {
        head.headers.insert(HOST, host);
    }
    head
}

/// Reads a report.
///
/// # Errors
///
/// Where it can't be read.
pub fn parse_report(body: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let wire: WireReport = serde_json::from_slice(body)?;
    Ok(EngineReport {
        queued: wire.queued,
        runs: wire.runs.into_iter().map(|run| run.0).collect(),
    })
}
