//! The operators' listener.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use serde_json::Value;

use super::api::{ApplyBody, AuditBody, DeleteBody, ListBody};
use super::attempt::WriteAttempt;
use super::burn;
use super::clock::now_text;
use super::operators::Operators;
use super::refusal::Refusal;
use super::routes::Route;
use super::since::SinceTimes;
use super::status::{resource_view, status_body};
use super::store::{self, Written};
use super::watch;
use super::why::Decisions;
use crate::control::Event;
use crate::http::{self, Listener, ServerOptions, json, read_body, text};
use crate::node::Handle;
use crate::peer::RequestId;
use crate::platform::TableClient;
use crate::resource::{Edit, Kind, Origin, Resource, WriteId, parse_resource};

/// Description of the API.
pub const OPENAPI: &str = include_str!("../../../docs/openapi.json");

/// Longest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time an operator has to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time a write waits until its own gateway has it in force.
const IN_FORCE_WAIT: Duration = Duration::from_secs(2);

/// Time between two looks whether it has.
const IN_FORCE_LOOK: Duration = Duration::from_millis(5);

/// Header with an operator's reason for a change.
const REASON_HEADER: &str = "x-carawayrun-reason";

/// How the operators' listener is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on; port zero takes a free one.
    pub addr: SocketAddr,
    /// Longest time a graceful stop waits for requests in flight.
    pub drain: Duration,
    /// Who may use the API.
    pub operators: Operators,
    /// Address of the table service.
    pub table_addr: SocketAddr,
    /// The gateway's last decisions.
    pub decisions: Arc<Decisions>,
}

/// Binds the operators' listener of a gateway and starts serving.
///
/// Must be called within an actix system.
///
/// # Errors
///
/// An [`io::Error`] where the address can't be bound.
pub fn bind(handle: Handle, options: Options) -> io::Result<Listener> {
    let server = ServerOptions {
        name: "operators",
        addr: options.addr,
        workers: 1,
        drain: options.drain,
    };
    let writes = Arc::new(AtomicU64::new(0));
    let since = SinceTimes::default();
    http::bind(&server, move || {
        let api = Rc::new(Api {
            handle: handle.clone(),
            operators: options.operators.clone(),
            table: TableClient::new(options.table_addr),
            decisions: Arc::clone(&options.decisions),
            writes: Arc::clone(&writes),
            since: since.clone(),
        });
        move |request| Rc::clone(&api).handle(request)
    })
}

struct Api {
    handle: Handle,
    operators: Operators,
    table: TableClient,
    decisions: Arc<Decisions>,
    /// Number of writes so far, for their ids.
    writes: Arc<AtomicU64>,
    since: SinceTimes,
}

/// An authenticated operator's request.
struct Call {
    author: CompactString,
    reason: CompactString,
    body: Bytes,
}

type Answer = Result<Response<BoxBody>, Refusal>;

impl Api {
    async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let answer = self.routed(request).await;
        answer.unwrap_or_else(|refusal| refusal.answer())
    }

    async fn routed(&self, mut request: Request) -> Answer {
        let route = Route::of(request.method(), request.uri())?;
        match route {
            Route::Health => return Ok(text(StatusCode::OK, "ok\n")),
            Route::OpenApi => return Ok(http::json_text(StatusCode::OK, OPENAPI)),
            _ => {}
        }
        let author = self.author(request.headers())?;
        let reason = header_text(request.headers(), REASON_HEADER);
        let body = read_body(request.take_payload(), MAX_BODY_BYTES);
        let body = actix_rt::time::timeout(BODY_TIMEOUT, body)
            .await
            .map_err(|_| {
                Refusal::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "timeout",
                    "the body came too slowly",
                )
            })??;
        let call = Call {
            author,
            reason,
            body,
        };
        self.dispatch(route, &call).await
    }

    async fn dispatch(&self, route: Route, call: &Call) -> Answer {
        match route {
            Route::List(kind) => Ok(self.list(kind)),
            Route::Get(kind, name) => self.get(kind, &name),
            Route::Put(kind, name) => self.put(kind, &name, call).await,
            Route::Delete {
                kind,
                name,
                resource_version,
            } => {
                let edit = Edit::Delete {
                    kind,
                    name,
                    resource_version,
                };
                self.delete(edit, call).await
            }
            Route::Apply { dry_run } => self.apply(dry_run, call).await,
            Route::Watch { from } => Ok(self.watch(from)),
            Route::Audit { after, limit } => self.audit(after, limit).await,
            Route::Status => Ok(json(StatusCode::OK, &status_body(&self.handle.view()))),
            Route::Why(request) => self.why(&request),
            Route::Burn => Ok(json(
                StatusCode::OK,
                &burn::report(&self.handle.view(), &self.table).await,
            )),
            Route::OpenApi | Route::Health => unreachable!("answered without a key"),
        }
    }

    fn author(&self, headers: &HeaderMap) -> Result<CompactString, Refusal> {
        let value = header_text(headers, header::AUTHORIZATION.as_str());
        let key = value
            .strip_prefix("Bearer ")
            .ok_or_else(Refusal::unknown_key)?;
        self.operators
            .name(key)
            .cloned()
            .ok_or_else(Refusal::unknown_key)
    }

    fn list(&self, kind: Kind) -> Response<BoxBody> {
        let view = self.handle.view();
        let resources = view
            .config
            .resources()
            .filter(|resource| resource.kind == kind);
        let items = resources
            .map(|resource| resource_view(&view, &self.since, resource))
            .collect();
        let body = ListBody {
            generation: view.config.generation,
            items,
        };
        json(StatusCode::OK, &body)
    }

    fn get(&self, kind: Kind, name: &str) -> Answer {
        let view = self.handle.view();
        let resource = view
            .config
            .resource(kind, name)
            .ok_or_else(|| Refusal::not_found(format!("there is no {kind} `{name}`")))?;
        Ok(json(
            StatusCode::OK,
            &resource_view(&view, &self.since, resource),
        ))
    }

    async fn put(&self, kind: Kind, name: &str, call: &Call) -> Answer {
        let resource = parse_one(&call.body)?;
        if resource.kind != kind || resource.metadata.name != name {
            let found = format!("{}/{}", resource.kind, resource.metadata.name);
            return Err(Refusal::malformed(format!(
                "the body is {found} but the path says {kind}/{name}; make them the same"
            )));
        }
        let edits = vec![Edit::Put(Box::new(resource))];
        let status = match self.write(edits, false, call).await? {
            Written::Done(change) if change.items.iter().all(|item| item.before.is_none()) => {
                StatusCode::CREATED
            }
            _ => StatusCode::OK,
        };
        let view = self.handle.view();
        let body = view
            .config
            .resource(kind, name)
            .map(|resource| resource_view(&view, &self.since, resource));
        Ok(json(status, &body))
    }

    async fn delete(&self, edit: Edit, call: &Call) -> Answer {
        let generation = match self.write(vec![edit], false, call).await? {
            Written::Done(change) => change.generation,
            Written::Unchanged(generation) => generation,
        };
        Ok(json(StatusCode::OK, &DeleteBody { generation }))
    }

    async fn apply(&self, dry_run: bool, call: &Call) -> Answer {
        let edits = parse_many(&call.body)?;
        let body = match self.write(edits, dry_run, call).await? {
            Written::Done(change) => ApplyBody {
                generation: change.generation,
                dry_run,
                items: change.items,
            },
            Written::Unchanged(generation) => ApplyBody {
                generation,
                dry_run,
                items: Vec::new(),
            },
        };
        Ok(json(StatusCode::OK, &body))
    }

    async fn write(
        &self,
        edits: Vec<Edit>,
        dry_run: bool,
        call: &Call,
    ) -> Result<Written, Refusal> {
        let view = self.handle.view();
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        let origin = Origin {
            write_id: WriteId(format_compact!("{}.{number}", view.node)),
            author: call.author.clone(),
            reason: call.reason.clone(),
            time: now_text(),
        };
        let config = Arc::clone(&view.config);
        let attempt = WriteAttempt::new(config, edits, origin, dry_run);
        let written = store::write(&self.table, attempt).await?;
        if let (Written::Done(change), false) = (&written, dry_run) {
            tracing::info!(
                name: "change.accepted",
                generation = change.generation,
                author = %change.author,
                items = change.items.len(),
                "accepted a change"
            );
            self.handle.post(Event::Accepted(change.clone()));
            self.in_force(change.generation).await;
        }
        Ok(written)
    }

    /// Waits until this gateway has `generation` in force, so that an operator
    /// reads what the operator has written.
    async fn in_force(&self, generation: u64) {
        let reached = async {
            while self.handle.view().config.generation < generation {
                actix_rt::time::sleep(IN_FORCE_LOOK).await;
            }
        };
        // Where it takes longer, the answer says so by its status.
        let _ = actix_rt::time::timeout(IN_FORCE_WAIT, reached).await;
    }

    fn watch(&self, from: Option<u64>) -> Response<BoxBody> {
        let from = from.unwrap_or_else(|| self.handle.view().config.generation);
        let lines = watch::lines(self.handle.clone(), self.table.clone(), from);
        http::stream(StatusCode::OK, "application/x-ndjson", lines)
    }

    async fn audit(&self, after: u64, limit: u32) -> Answer {
        let changes = store::changes_after(&self.table, after, limit).await?;
        Ok(json(StatusCode::OK, &AuditBody { changes }))
    }

    fn why(&self, request: &RequestId) -> Answer {
        if let Some(decision) = self.decisions.find(request) {
            return Ok(json(StatusCode::OK, &decision));
        }
        let own = &self.handle.view().node;
        let message = if request.gateway == *own {
            format!(
                "{request} is not among this gateway's last {} requests",
                Decisions::CAPACITY
            )
        } else {
            format!(
                "{request} was taken by {}; ask that gateway (this is {own})",
                request.gateway
            )
        };
        Err(Refusal::not_found(message))
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> CompactString {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}

fn parse_one(body: &[u8]) -> Result<Resource, Refusal> {
    parse_resource(value(body)?, 1).map_err(|error| Refusal::malformed(error.to_string()))
}

/// Reads a JSON array of resources.
fn parse_many(body: &[u8]) -> Result<Vec<Edit>, Refusal> {
    let Value::Array(values) = value(body)? else {
        return Err(Refusal::malformed(
            "the body is not a JSON array of resources",
        ));
    };
    let numbered = values.into_iter().enumerate();
    numbered
        .map(|(index, value)| {
            let resource = parse_resource(value, index + 1);
            resource
                .map(|resource| Edit::Put(Box::new(resource)))
                .map_err(|error| Refusal::malformed(error.to_string()))
        })
        .collect()
}

fn value(body: &[u8]) -> Result<Value, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::malformed(format!("the body is not JSON: {error}")))
}
