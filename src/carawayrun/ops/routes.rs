//! Routes of the resource API.

use actix_http::{Method, Uri};
use compact_str::CompactString;

use super::refusal::Refusal;
use crate::peer::RequestId;
use crate::resource::Kind;

/// Method and path of a route, as in the API description.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteInfo {
    /// HTTP method.
    pub method: &'static str,
    /// Path, with parameters in braces.
    pub path: &'static str,
}

const fn route(method: &'static str, path: &'static str) -> RouteInfo {
    RouteInfo { method, path }
}

/// All routes of the API.
pub const ROUTES: [RouteInfo; 12] = [
    route("GET", "/apis/v1/{kind}"),
    route("GET", "/apis/v1/{kind}/{name}"),
    route("PUT", "/apis/v1/{kind}/{name}"),
    route("DELETE", "/apis/v1/{kind}/{name}"),
    route("POST", "/apis/v1/apply"),
    route("GET", "/apis/v1/watch"),
    route("GET", "/apis/v1/audit"),
    route("GET", "/apis/v1/status"),
    route("GET", "/apis/v1/why/{request}"),
    route("GET", "/apis/v1/burn"),
    route("GET", "/openapi.json"),
    route("GET", "/health"),
];

/// A route with its parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Lists all resources of a kind.
    List(Kind),
    /// Returns one resource.
    Get(Kind, CompactString),
    /// Creates or replaces a resource.
    Put(Kind, CompactString),
    /// Deletes a resource.
    Delete {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: CompactString,
        /// Version that the resource must have; zero for any.
        resource_version: u64,
    },
    /// Writes a set of resources in one change.
    Apply {
        /// True to only check the change, without writing it.
        dry_run: bool,
    },
    /// Streams changes.
    Watch {
        /// Generation after which the stream starts; defaults to the one that
        /// the gateway has in force.
        from: Option<u64>,
    },
    /// Returns a page of the audit trail.
    Audit {
        /// Generation after which the page starts.
        after: u64,
        /// Maximum number of changes.
        limit: u32,
    },
    /// Returns the state of the system as this gateway knows it.
    Status,
    /// Explains the routing decision for a request.
    Why(RequestId),
    /// Returns the burn report of all objectives.
    Burn,
    /// Returns the description of this API.
    OpenApi,
    /// Liveness check of the process.
    Health,
}

/// Maximum number of changes in a page of the audit trail.
const MAX_AUDIT_CHANGES: u32 = 1000;

impl Route {
    pub(super) fn parse(method: &Method, uri: &Uri) -> Result<Self, Refusal> {
        let query = Query(uri.query().unwrap_or_default());
        let parts: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
        match (method.as_str(), parts.as_slice()) {
            ("GET", ["health"]) => Ok(Self::Health),
            ("GET", ["openapi.json"]) => Ok(Self::OpenApi),
            ("POST", ["apis", "v1", "apply"]) => Ok(Self::Apply {
                dry_run: query.flag("dryRun")?,
            }),
            ("GET", ["apis", "v1", "watch"]) => Ok(Self::Watch {
                from: query.number("from")?,
            }),
            ("GET", ["apis", "v1", "audit"]) => Self::parse_audit(query),
            ("GET", ["apis", "v1", "status"]) => Ok(Self::Status),
            ("GET", ["apis", "v1", "burn"]) => Ok(Self::Burn),
            ("GET", ["apis", "v1", "why", request]) => parse_why(request),
            ("GET", ["apis", "v1", kind]) => Ok(Self::List(parse_kind(kind)?)),
            ("GET", ["apis", "v1", kind, name]) => Ok(Self::Get(parse_kind(kind)?, (*name).into())),
            ("PUT", ["apis", "v1", kind, name]) => Ok(Self::Put(parse_kind(kind)?, (*name).into())),
            ("DELETE", ["apis", "v1", kind, name]) => Ok(Self::Delete {
                kind: parse_kind(kind)?,
                name: (*name).into(),
                resource_version: query.number("resourceVersion")?.unwrap_or(0),
            }),
            _ => Err(unknown_route(method, uri)),
        }
    }

    fn parse_audit(query: Query<'_>) -> Result<Self, Refusal> {
        let limit = query
            .number("limit")?
            .unwrap_or(u64::from(MAX_AUDIT_CHANGES));
        let limit = u32::try_from(limit).unwrap_or(MAX_AUDIT_CHANGES);
        Ok(Self::Audit {
            after: query.number("after")?.unwrap_or(0),
            limit: limit.min(MAX_AUDIT_CHANGES),
        })
    }
}

fn parse_why(request: &str) -> Result<Route, Refusal> {
    let parsed: Result<RequestId, _> = request.parse();
    parsed
        .map(Route::Why)
        .map_err(|error| Refusal::malformed(error.to_string()))
}

fn parse_kind(text: &str) -> Result<Kind, Refusal> {
    let parsed: Result<Kind, _> = text.parse();
    parsed.map_err(|error| Refusal::not_found(error.to_string()))
}

fn unknown_route(method: &Method, uri: &Uri) -> Refusal {
    let path = uri.path();
    Refusal::not_found(format!(
        "there is no call {method} {path}; GET /openapi.json describes all calls"
    ))
}

#[derive(Clone, Copy)]
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    fn value(self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn number(self, name: &str) -> Result<Option<u64>, Refusal> {
        let Some(text) = self.value(name) else {
            return Ok(None);
        };
        let parsed = text.parse();
        parsed.map(Some).map_err(|_| {
            Refusal::malformed(format!("{name} is `{text}`; accepted is a whole number"))
        })
    }

    fn flag(self, name: &str) -> Result<bool, Refusal> {
        match self.value(name) {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(text) => Err(Refusal::malformed(format!(
                "{name} is `{text}`; accepted are true and false"
            ))),
        }
    }
}
