//! Request handling of the resource API: authentication, dispatch and reads.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use compact_str::CompactString;

use super::api::{AuditBody, ListBody};
use super::burn;
use super::condition_times::ConditionTimes;
use super::operators::Operators;
use super::refusal::Refusal;
use super::routes::Route;
use super::server::Activity;
use super::status::{resource_view, status_body};
use super::store;
use super::watch;
use super::why::Decisions;
use crate::http::{self, json, read_body, text};
use crate::node::Handle;
use crate::peer::RequestId;
use crate::resource::{Edit, Kind};
use crate::store::TableClient;

/// Description of the resource API, served at `/openapi.json`.
pub const OPENAPI: &str = include_str!("../../../docs/openapi.json");

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Header with the reason for a change, recorded in the audit trail.
const REASON_HEADER: &str = "x-carawayrun-reason";

/// State of one thread of the listener.
pub(super) struct Api {
    pub(super) handle: Handle,
    pub(super) operators: Operators,
    pub(super) table: TableClient,
    pub(super) decisions: Arc<Decisions>,
    /// Sequence number of the next write id, counted since the process started.
    pub(super) writes: Arc<AtomicU64>,
    pub(super) condition_times: ConditionTimes,
    pub(super) activity: Arc<Activity>,
}

/// An authenticated operator's request.
pub(super) struct Call {
    pub(super) author: CompactString,
    pub(super) reason: CompactString,
    pub(super) body: Bytes,
}

pub(super) type ApiResult = Result<Response<BoxBody>, Refusal>;

impl Api {
    pub(super) async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let counters = self.handle.counters();
        counters.count("operators.calls", 1);
        let _call = self.activity.begin();
        let answer = if self.activity.is_stopping() {
            Err(Refusal::stopping())
        } else {
            self.route_request(request).await
        };
        answer.unwrap_or_else(|refusal| {
            counters.count(refusal.counter_name(), 1);
            refusal.to_response()
        })
    }

    async fn route_request(&self, mut request: Request) -> ApiResult {
        let route = Route::parse(request.method(), request.uri())?;
        match route {
            Route::Health => return Ok(text(StatusCode::OK, "ok\n")),
            Route::OpenApi => return Ok(http::json_text(StatusCode::OK, OPENAPI)),
            _ => {}
        }
        let author = self.authenticate(request.headers())?;
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

    async fn dispatch(&self, route: Route, call: &Call) -> ApiResult {
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
            Route::OpenApi | Route::Health => unreachable!("answered before authentication"),
        }
    }

    /// Returns the name of the operator whose key the request carries.
    fn authenticate(&self, headers: &HeaderMap) -> Result<CompactString, Refusal> {
        let value = header_text(headers, header::AUTHORIZATION.as_str());
        let key = value
            .strip_prefix("Bearer ")
            .ok_or_else(Refusal::unknown_key)?;
        self.operators
            .name_for_key(key)
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
            .map(|resource| resource_view(&view, &self.condition_times, resource))
            .collect();
        let body = ListBody {
            generation: view.config.generation,
            items,
        };
        json(StatusCode::OK, &body)
    }

    fn get(&self, kind: Kind, name: &str) -> ApiResult {
        let view = self.handle.view();
        let resource = view
            .config
            .resource(kind, name)
            .ok_or_else(|| Refusal::not_found(format!("there is no {kind} `{name}`")))?;
        Ok(json(
            StatusCode::OK,
            &resource_view(&view, &self.condition_times, resource),
        ))
    }

    fn watch(&self, from: Option<u64>) -> Response<BoxBody> {
        let from = from.unwrap_or_else(|| self.handle.view().config.generation);
        let lines = watch::watch_lines(self.handle.clone(), self.table.clone(), from);
        http::stream(StatusCode::OK, "application/x-ndjson", lines)
    }

    async fn audit(&self, after: u64, limit: u32) -> ApiResult {
        let changes = store::list_changes_after(&self.table, after, limit).await?;
        Ok(json(StatusCode::OK, &AuditBody { changes }))
    }

    fn why(&self, request: &RequestId) -> ApiResult {
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
