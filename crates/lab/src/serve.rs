//! Runs a stand-in as a process, and helpers for its requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use carawayrun::http::{ServerOptions, bind, json, read_body, text};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

use crate::command::Failure;
use crate::faults::{FaultState, Faults};

/// Maximum size of a JSON body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum wait for requests in flight after SIGTERM or SIGINT.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves `handler` on `listen` until SIGTERM or SIGINT.
///
/// Prints `listening on ADDR` once it accepts connections. `make_handler` builds
/// the handler on the worker thread. There is only one, so the state of a
/// stand-in needs no locks.
pub(crate) fn run<M, H, F>(listen: &str, make_handler: M) -> Result<(), Failure>
where
    M: Fn() -> H + Send + Clone + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let addr: SocketAddr = listen
        .parse()
        .map_err(|_| format!("--listen: `{listen}` is not IP:PORT"))?;
    let options = ServerOptions {
        name: "stand-in",
        addr,
        workers: 1,
        drain: DRAIN_TIMEOUT,
    };
    actix_rt::System::new().block_on(async move {
        let listener = bind(&options, make_handler)?;
        println!("listening on {}", listener.addr());
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        listener.stop(true).await;
        Ok(())
    })
}

/// Answers the calls that all stand-ins have in common; `None` for other calls.
///
/// Applies the faults `down` and `slowMs` to the other calls.
pub(crate) async fn answer_common_call(
    request: &mut Request,
    faults: &FaultState,
) -> Option<Response<BoxBody>> {
    match (request.method(), request.path()) {
        (&Method::GET, "/health") => Some(text(StatusCode::OK, "ok\n")),
        (&Method::GET, "/faults") => Some(json(StatusCode::OK, &faults.get())),
        (&Method::PUT, "/faults") => Some(match read_json::<Faults>(request).await {
            Ok(new_faults) => {
                faults.set(new_faults);
                json(StatusCode::OK, &faults.get())
            }
            Err(answer) => answer,
        }),
        _ => {
            faults.apply_delay().await;
            faults
                .get()
                .down
                .then(|| text(StatusCode::SERVICE_UNAVAILABLE, "told to be down\n"))
        }
    }
}

/// Reads a JSON body. The error is the 400 answer to send.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, Response<BoxBody>> {
    let refuse = |message: String| text(StatusCode::BAD_REQUEST, message + "\n");
    let body = read_body(request.take_payload(), MAX_BODY_BYTES)
        .await
        .map_err(|error| refuse(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| refuse(format!("not the expected JSON: {error}")))
}

/// Returns an answer whose connection closes before the body is complete.
pub(crate) fn lost_answer() -> Response<BoxBody> {
    let body = futures_util::stream::once(async {
        Err::<bytes::Bytes, _>(std::io::Error::other(
            "answer dropped by the fault loseAnswers",
        ))
    });
    carawayrun::http::stream(StatusCode::OK, "application/json", body)
}

/// Returns the value of a header; `None` if it is absent or not visible ASCII.
pub(crate) fn header_value(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the percent-decoded value of `name` in the query of a request.
pub(crate) fn query_value(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let value = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    Some(percent_decode(value))
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let escaped = (*first == b'%')
            .then(|| tail.get(..2))
            .flatten()
            .and_then(parse_hex_byte);
        decoded.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn parse_hex_byte(digits: &[u8]) -> Option<u8> {
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
