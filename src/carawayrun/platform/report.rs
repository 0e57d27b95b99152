//! Load reports of upstreams.

use actix_http::header::{HOST, HeaderValue};
use actix_http::{RequestHead, Uri};
use compact_str::CompactString;
use serde::Deserialize;

use crate::relay::message::EngineReport;
use crate::relay::view::Upstream;

/// Path of the load report.
const REPORT_PATH: &str = "/v1/report";

#[derive(Deserialize)]
struct WireReport {
    #[serde(default)]
    queued: u32,
    /// Requests in flight: id, tokens in memory, events sent, urgency.
    #[serde(default)]
    runs: Vec<(CompactString, f64, f64, f64)>,
}

/// Builds the head of a request for an upstream's load report.
pub fn report_request(upstream: &Upstream) -> RequestHead {
    probe_request(upstream, Uri::from_static(REPORT_PATH))
}

/// Builds the head of a health check of an upstream; an invalid path is left out.
pub fn health_request(upstream: &Upstream, path: &str) -> RequestHead {
    let uri = path.parse().unwrap_or_else(|error| {
        tracing::warn!(path, %error, "path of health checks is invalid");
        Uri::default()
    });
    probe_request(upstream, uri)
}

fn probe_request(upstream: &Upstream, uri: Uri) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = uri;
    if let Ok(host) = HeaderValue::from_str(&upstream.addr.to_string()) {
        head.headers.insert(HOST, host);
    }
    head
}

/// Parses a load report.
///
/// # Errors
///
/// If the body is not a load report.
pub fn parse_report(body: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let wire: WireReport = serde_json::from_slice(body)?;
    Ok(EngineReport {
        queued: wire.queued,
        runs: wire.runs.into_iter().map(|run| run.0).collect(),
    })
}
