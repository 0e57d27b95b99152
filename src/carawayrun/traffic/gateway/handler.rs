//! One caller's request, from its head to its answer.

use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use sha2::{Digest, Sha256};

use super::account::Account;
use super::answer::{self, Notes};
use super::auth::authenticate;
use super::board::Board;
use super::clock::Clock;
use super::completion::{self, Completion, priority_of};
use super::head::Head;
use super::plain::{self, Target};
use super::refusal::Refusal;
use super::run::{self, Job};
use super::shared::Worker;
use super::{admission, models};
use crate::http::{ReadBodyError, read_body, text};
use crate::policy::Pool;
use crate::resource::{Backend, TeamKey};
use crate::traffic::Code;

/// Answers one request.
pub(super) async fn handle(worker: Worker, request: Request) -> Response<BoxBody> {
    let leaving = worker.shared.is_leaving();
    let mut response = match (request.method(), request.path()) {
        (&Method::GET, "/health") => health(leaving),
        (&Method::GET, "/v1/models") => models::list(&worker, &request),
        (&Method::POST, completion::PATH) => chat(&worker, request).await,
        (_, path) if path.starts_with(plain::PREFIX) => call(&worker, request).await,
        (method, path) => {
            let message = format!("there is no call {method} {path}");
            let refusal = Refusal::new(Code::UnknownRoute, message);
            refused_early(&worker, &refusal)
        }
    };
    if leaving {
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

/// The answer to a request that is not taken in.
pub(super) fn refused_early(worker: &Worker, refusal: &Refusal) -> Response<BoxBody> {
    let id = worker.shared.refusal_id();
    let mut response = refusal.response(&id);
    answer::identify(&mut response, &id);
    response
}

// A request that was taken in: who asks, and its account.
struct Taken {
    board: Arc<Board>,
    team: TeamKey,
    head: Head,
    account: Account,
}

async fn chat(worker: &Worker, mut request: Request) -> Response<BoxBody> {
    let mut taken = match take(worker, &request) {
        Ok(taken) => taken,
        Err(refusal) => return refused_early(worker, &refusal),
    };
    match complete(worker, &mut request, &mut taken).await {
        Ok((reply, notes)) if reply.rest.is_some() => {
            answer::streamed(worker, reply, taken.account, notes)
        }
        Ok((reply, notes)) => {
            let response = answer::whole(&reply, &mut taken.account, &notes);
            if let Some(sample) = notes.sample {
                completion::submit(worker, sample, reply.chunks);
            }
            response
        }
        Err(refusal) => refused(&mut taken.account, &refusal),
    }
}

async fn call(worker: &Worker, mut request: Request) -> Response<BoxBody> {
    let mut taken = match take(worker, &request) {
        Ok(taken) => taken,
        Err(refusal) => return refused_early(worker, &refusal),
    };
    match pass(worker, &mut request, &mut taken).await {
        Ok(reply) => answer::whole(&reply, &mut taken.account, &Notes::default()),
        Err(refusal) => refused(&mut taken.account, &refusal),
    }
}

fn take(worker: &Worker, request: &Request) -> Result<Taken, Refusal> {
    let board = worker.shared.board();
    let head = Head::read(request.headers())?;
    let team = authenticate(&board.view.config, &head.bearer)?;
    admission::check(&worker.shared)?;
    let now_ms = worker.shared.now_ms();
    let place = worker.shared.limits.take(&board.view, team.key, now_ms)?;
    let clock = Clock::start(head.deadline_ms);
    let account = Account::open(&worker.shared, place, team.name.clone(), clock);
    Ok(Taken {
        team: team.key,
        head,
        account,
        board: Arc::clone(&board),
    })
}

fn refused(account: &mut Account, refusal: &Refusal) -> Response<BoxBody> {
    account.fail(refusal);
    let mut response = refusal.response(&account.text);
    answer::identify(&mut response, &account.text);
    response
}

async fn body(worker: &Worker, request: &mut Request) -> Result<Bytes, Refusal> {
    let limit = worker.shared.max_body;
    read_body(request.take_payload(), limit)
        .await
        .map_err(|error| {
            let code = match &error {
                ReadBodyError::TooLarge { .. } => Code::BodyTooLarge,
                ReadBodyError::Broken { .. } => Code::MalformedBody,
            };
            Refusal::new(code, error.to_compact_string())
        })
}

async fn complete(
    worker: &Worker,
    request: &mut Request,
    taken: &mut Taken,
) -> Result<(run::Reply, Notes), Refusal> {
    let body = body(worker, request).await?;
    let board = Arc::clone(&taken.board);
    let completion = Completion {
        worker,
        board: &board,
        team: taken.team,
        head: &taken.head,
        account: &mut taken.account,
    };
    completion.run(&body).await
}

async fn pass(
    worker: &Worker,
    request: &mut Request,
    taken: &mut Taken,
) -> Result<run::Reply, Refusal> {
    let method = request.method().as_str().to_compact_string();
    let uri = request.uri().clone();
    let target = Target::read(uri.path())?;
    let config = &taken.board.view.config;
    let forbidden = || {
        let message = format!("the team may not call service `{}`", target.service);
        Refusal::new(Code::ForbiddenService, message)
    };
    let team = config.teams.get(taken.team).ok_or_else(forbidden)?;
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
    let route = plain::route(service, &method, target.path)?;
    taken.account.service.clone_from(&service.name);
    taken.account.task = format!("{} {}", route.method, route.path).into();
    let path: CompactString = match uri.query() {
        Some(query) => format!("{}?{query}", target.path).into(),
        None => target.path.into(),
    };
    let body = body(worker, request).await?;
    let idempotency_key = taken.head.idempotency_key.clone().unwrap_or_default();
    let job = Job {
        step: 0,
        pool: Pool::Service(key),
        version: CompactString::default(),
        priority: priority_of(route.class),
        idempotent: route.idempotent,
        fingerprint: fingerprint(&method, &path, &body, &idempotency_key),
        key: idempotency_key,
        stream: false,
        method,
        path,
        content_type: taken.head.content_type.clone(),
        headers: taken.head.passed.clone(),
        prefix: 0,
        body,
        latency_ms: 1_000,
    };
    run::run(worker, &job, &mut taken.account).await
}

// Only a request with a key is compared with an earlier one.
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
