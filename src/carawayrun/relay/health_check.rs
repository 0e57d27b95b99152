//! Health checks of upstreams that started again under their names.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use super::body::Body;
use super::connection::ConnectionError;
use super::message::{Answer, Execution};
use super::traffic::Traffic;
use super::view::{Upstream, UpstreamKey};
use crate::platform;

/// Time limit for connecting to the upstream and for the head of its answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// Why an upstream's own word is not known after a check.
#[derive(Debug)]
#[derive(Snafu)]
enum CheckError {
    #[snafu(display("no answer within {} ms", CHECK_TIMEOUT.as_millis()))]
    TimedOut,
    #[snafu(display("{source}"))]
    Wire { source: ConnectionError },
    #[snafu(display("answered with {status} and no reason"))]
    Unclear { status: StatusCode },
    #[snafu(display("its data centre is ordered out of service"))]
    Evacuated,
    #[snafu(display("another upstream has its address"))]
    Displaced,
    #[snafu(display("its allowance leaves no request"))]
    NoRoom,
}

/// Asks upstreams that started again, as soon as that is known, until the process ends.
pub(super) async fn check_restarted(traffic: Rc<Traffic>) {
    loop {
        let view_published = traffic.view_published();
        for (key, upstream) in traffic.take_restarted() {
            let traffic = Rc::clone(&traffic);
            actix_rt::spawn(async move {
                let asked = timeout(CHECK_TIMEOUT, ask(key, &upstream, &traffic)).await;
                match asked.unwrap_or_else(|_| TimedOutSnafu.fail()) {
                    Ok(answer) => {
                        traffic.record_word(key, &upstream, &answer);
                        tracing::info!(upstream = %upstream.name, is_leaving = answer.is_leaving, rests = answer.rest.is_some(), "restarted upstream answered a health check");
                    }
                    Err(error) => {
                        tracing::info!(upstream = %upstream.name, %error, "restarted upstream did not say whether it is leaving");
                    }
                }
            });
        }
        view_published.await;
    }
}

// Calls the health check of an upstream on a connection of its own, so that it is the
// present incarnation that answers.
async fn ask(
    key: UpstreamKey,
    upstream: &Upstream,
    traffic: &Traffic,
) -> Result<Answer, CheckError> {
    let connection = traffic.connect(upstream.addr, CHECK_TIMEOUT).await;
    let mut connection = connection.context(WireSnafu)?;
    snafu::ensure!(!traffic.is_evacuated(key), EvacuatedSnafu);
    snafu::ensure!(traffic.take_check(key), NoRoomSnafu);
    let path = traffic.health_path(&upstream.service);
    let head = platform::health_request(upstream, &path);
    connection
        .start_request(head, &Body::default())
        .context(WireSnafu)?;
    traffic.metrics.health_checks.inc();
    let head = connection.read_head().await.context(WireSnafu)?;
    let status = head.status;
    let answer = platform::parse_answer(&head);
    let instance = answer.instance.as_ref();
    snafu::ensure!(
        instance.is_none_or(|name| *name == upstream.name),
        DisplacedSnafu
    );
    // Without a reason, 503 may mean either that it is leaving or that it is failing.
    let is_clear = status != StatusCode::SERVICE_UNAVAILABLE
        || answer.is_leaving
        || answer.execution == Execution::NotRun;
    snafu::ensure!(is_clear, UnclearSnafu { status });
    Ok(answer)
}
