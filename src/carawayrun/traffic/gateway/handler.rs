//! Handling of one request, from its headers to its response.

use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use sha2::{Digest, Sha256};

use super::answer::{self, AnswerMetadata};
use super::auth::authenticate;
use super::clock::Clock;
use super::completion::{self, Completion, class_priority};
use super::headers::RequestHeaders;
use super::plain::{self, ServicePath};
use super::refusal::Refusal;
use super::run::{self, Job};
use super::shared::Worker;
use super::snapshot::RoutingSnapshot;
use super::tracker::RequestTracker;
use super::{admission, models};
use crate::http::{ReadBodyError, read_body, text};
use crate::peer::message::Ran;
use crate::policy::Pool;
use crate::resource::{Backend, TeamKey};
use crate::traffic::Code;

/// Routes one request by method and path, and returns its response.
///
/// While the gateway is leaving, every response closes its connection.
pub(super) async fn handle(worker: Worker, request: Request) -> Response<BoxBody> {
    let mut response = match (request.method(), request.path()) {
        (&Method::GET, "/health") => health(worker.shared.is_leaving()),
        (&Method::GET, "/v1/models") => models::list(&worker, &request),
        (&Method::POST, completion::PATH) => handle_chat(&worker, request).await,
        (_, path) if path.starts_with(plain::PREFIX) => handle_plain(&worker, request).await,
        (method, path) => {
            let message = format!("there is no call {method} {path}");
            let refusal = Refusal::new(Code::UnknownRoute, message);
            early_refusal(&worker, &refusal)
        }
    };
    if worker.shared.is_leaving() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

fn health(leaving: bool) -> Response<BoxBody> {
    if leaving {
        text(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else {
        text(StatusCode::OK, "ok\n")
    }
}

/// Builds the response to a request that is refused before admission.
pub(super) fn early_refusal(worker: &Worker, refusal: &Refusal) -> Response<BoxBody> {
    let id = worker.shared.next_refusal_id();
    let mut response = refusal.response(&id);
    answer::set_request_id(&mut response, &id);
    response
}

// An admitted request.
struct Admitted {
    snapshot: Arc<RoutingSnapshot>,
    team: TeamKey,
    headers: RequestHeaders,
    tracker: RequestTracker,
}

async fn handle_chat(worker: &Worker, mut request: Request) -> Response<BoxBody> {
    let mut admitted = match admit(worker, &request) {
        Ok(admitted) => admitted,
        Err(refusal) => return early_refusal(worker, &refusal),
    };
    let completion = run_completion(worker, &mut request, &mut admitted);
    let completed = run_until_stop(worker, completion).await;
    match completed.unwrap_or_else(|| Err(stopped(&admitted.tracker))) {
        Ok((reply, metadata)) if reply.stream.is_some() => {
            answer::stream_response(worker, reply, admitted.tracker, metadata)
        }
        Ok((reply, metadata)) => {
            let response = answer::complete_response(&reply, &mut admitted.tracker, &metadata);
            if let Some(sample) = metadata.sample {
                completion::submit_for_rating(worker, sample, reply.chunks);
            }
            response
        }
        Err(refusal) => refusal_response(&mut admitted.tracker, &refusal),
    }
}

async fn handle_plain(worker: &Worker, mut request: Request) -> Response<BoxBody> {
    let mut admitted = match admit(worker, &request) {
        Ok(admitted) => admitted,
        Err(refusal) => return early_refusal(worker, &refusal),
    };
    let call = call_service(worker, &mut request, &mut admitted);
    let called = run_until_stop(worker, call).await;
    match called.unwrap_or_else(|| Err(stopped(&admitted.tracker))) {
        Ok(reply) => {
            answer::complete_response(&reply, &mut admitted.tracker, &AnswerMetadata::default())
        }
        Err(refusal) => refusal_response(&mut admitted.tracker, &refusal),
    }
}

// Returns `None` if the gateway ends its requests before `work` is done.
async fn run_until_stop<T>(worker: &Worker, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = work => Some(output),
        () = worker.shared.ended() => None,
    }
}

fn stopped(tracker: &RequestTracker) -> Refusal {
    if tracker.may_have_run() {
        Refusal::failure(Code::AnswerCut, answer::STOPPED, Ran::Unknown)
    } else {
        admission::draining()
    }
}

fn admit(worker: &Worker, request: &Request) -> Result<Admitted, Refusal> {
    let snapshot = worker.shared.snapshot();
    let headers = RequestHeaders::read(request.headers())?;
    let team = authenticate(&snapshot.view.config, &headers.bearer)?;
    admission::check(&worker.shared)?;
    let now_ms = worker.shared.now_ms();
    let permit = worker
        .shared
        .limits
        .acquire(&snapshot.view, team.key, now_ms)?;
    let clock = Clock::start(headers.deadline_ms);
    let tracker = RequestTracker::start(&worker.shared, permit, team.name.clone(), clock);
    Ok(Admitted {
        team: team.key,
        headers,
        tracker,
        snapshot: Arc::clone(&snapshot),
    })
}

// Records the error in the tracker and builds the response.
fn refusal_response(tracker: &mut RequestTracker, refusal: &Refusal) -> Response<BoxBody> {
    tracker.record_error(refusal);
    let mut response = refusal.response(&tracker.id_text);
    answer::set_request_id(&mut response, &tracker.id_text);
    response
}

async fn receive_body(worker: &Worker, request: &mut Request) -> Result<Bytes, Refusal> {
    let limit = worker.shared.max_body;
    read_body(request.take_payload(), limit)
        .await
        .map_err(|error| {
            let code = match &error {
                ReadBodyError::TooLarge { .. } => Code::BodyTooLarge,
                ReadBodyError::Unreadable { .. } => Code::MalformedBody,
            };
            Refusal::new(code, error.to_compact_string())
        })
}

async fn run_completion(
    worker: &Worker,
    request: &mut Request,
    admitted: &mut Admitted,
) -> Result<(run::Reply, AnswerMetadata), Refusal> {
    let body = receive_body(worker, request).await?;
    let snapshot = Arc::clone(&admitted.snapshot);
    let completion = Completion {
        worker,
        snapshot: &snapshot,
        team: admitted.team,
        headers: &admitted.headers,
        tracker: &mut admitted.tracker,
    };
    completion.run(&body).await
}

async fn call_service(
    worker: &Worker,
    request: &mut Request,
    admitted: &mut Admitted,
) -> Result<run::Reply, Refusal> {
    let method = request.method().as_str().to_compact_string();
    let uri = request.uri().clone();
    let target = ServicePath::read(uri.path())?;
    let config = &admitted.snapshot.view.config;
    let forbidden = || {
        let message = format!("the team may not call service `{}`", target.service);
        Refusal::new(Code::ForbiddenService, message)
    };
    let team = config.teams.get(admitted.team).ok_or_else(forbidden)?;
    if !team.spec.services.iter().any(|name| name == target.service) {
        return Err(forbidden());
    }
    let key = config.services.key(target.service).ok_or_else(forbidden)?;
    let service = config.services.get(key).ok_or_else(forbidden)?;
    if service.spec.backend != Backend::Plain {
        return Err(Refusal::new(
            Code::UnknownRoute,
            "model engines are called by /v1/chat/completions",
        ));
    }
    let route = plain::find_route(service, &method, target.path)?;
    admitted.tracker.service.clone_from(&service.name);
    admitted.tracker.task = format!("{} {}", route.method, route.path).into();
    let path: CompactString = match uri.query() {
        Some(query) => format!("{}?{query}", target.path).into(),
        None => target.path.into(),
    };
    let body = receive_body(worker, request).await?;
    let idempotency_key = admitted.headers.idempotency_key.clone().unwrap_or_default();
    let job = Job {
        step: 0,
        pool: Pool::Service(key),
        version: CompactString::default(),
        priority: class_priority(route.class),
        idempotent: route.idempotent,
        fingerprint: fingerprint(&method, &path, &body, &idempotency_key),
        idempotency_key,
        stream: false,
        method,
        path,
        content_type: admitted.headers.content_type.clone(),
        headers: admitted.headers.forwarded.clone(),
        prefix: 0,
        body,
        latency_ms: 1_000,
    };
    run::run(worker, &job, &mut admitted.tracker).await
}

// Hashes a request, so that a reused idempotency key is detected. Empty without
// a key, since only a request with a key is compared with an earlier one.
fn fingerprint(method: &str, path: &str, body: &[u8], key: &str) -> Bytes {
    if key.is_empty() {
        return Bytes::new();
    }
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    Bytes::copy_from_slice(&hasher.finalize())
}
