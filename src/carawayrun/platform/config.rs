//! Parses the operators' configuration from its row in the store.

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

use super::time::from_millis;
use crate::relay::catalog::{
    Catalog, Limits, Route, RouteKind, Service, ServiceKey, Target, Team, TeamKey,
};
use crate::store::table::Row;

/// Key of the row that holds the configuration.
pub(super) const CONFIG_KEY: &str = "config";

/// Path of health checks of a service that names none.
const DEFAULT_HEALTH_PATH: CompactString = CompactString::const_new("/");

/// Attempts of a route that does not set `max_attempts`.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// Why a configuration can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ConfigError {
    /// A field is missing or of another type.
    #[snafu(display("configuration: {source}"))]
    Malformed {
        /// Error of the parser, with its position.
        source: serde_json::Error,
    },
    /// A route has no target of weight above zero, or names a service that the
    /// configuration does not define.
    #[snafu(display("configuration {version}: route {route} names no known service"))]
    UnknownService {
        /// Version of the configuration.
        version: u64,
        /// Name of the route.
        route: CompactString,
    },
}

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: CompactString,
    hostname: CompactString,
    prefix: CompactString,
    /// `safe`, `unsafe` or `streaming`.
    route_type: CompactString,
    timeout_ms: f64,
    #[serde(default)]
    objective_ms: f64,
    #[serde(default)]
    priority: u8,
    /// Names of models, not sizes in bytes.
    #[serde(default)]
    sizes: Vec<CompactString>,
    /// Set if one service serves the route.
    service: Option<CompactString>,
    /// Set if several services share the route.
    #[serde(default)]
    backends: Vec<WireBackend>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Deserialize)]
struct WireBackend {
    service: CompactString,
    weight: f64,
}

#[derive(Deserialize)]
struct WireService {
    name: CompactString,
    /// Set if its upstreams are model engines.
    engine: Option<serde_json::Value>,
    health_path: Option<CompactString>,
    /// Requests per second; zero if there is no limit.
    #[serde(default)]
    warmup_per_s: f64,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct WireTenant {
    name: CompactString,
    api_keys: Vec<CompactString>,
    priority: Option<u8>,
}

/// Parses the catalog from the configuration's row; `None` for any other row.
///
/// # Errors
///
/// [`ConfigError`] if the configuration can't be used.
pub fn parse_catalog(row: &Row) -> Option<Result<Catalog, ConfigError>> {
    (row.key == CONFIG_KEY).then(|| parse_config(row.value.get()))
}

fn parse_config(text: &str) -> Result<Catalog, ConfigError> {
    let wire: WireConfig = serde_json::from_str(text).context(MalformedSnafu)?;
    let services: Vec<Service> = wire.services.into_iter().map(convert_service).collect();
    let version = wire.version;
    let routes = wire.routes.into_iter().map(|route| {
        let name = route.name.clone();
        convert_route(route, &services).context(UnknownServiceSnafu {
            version,
            route: name,
        })
    });
    let routes = routes.collect::<Result<Vec<_>, _>>()?;
    let mut api_keys = FxHashMap::default();
    for (index, tenant) in wire.tenants.iter().enumerate() {
        let team = TeamKey(index as u16);
        api_keys.extend(tenant.api_keys.iter().map(|key| (key.clone(), team)));
    }
    let teams = wire.tenants.into_iter().map(|tenant| Team {
        name: tenant.name,
        priority: tenant.priority,
    });
    let catalog = Catalog {
        version,
        routes,
        services,
        teams: teams.collect(),
        api_keys,
        limits: Limits {
            head_bytes: wire.limits.max_header_bytes,
            body_bytes: wire.limits.max_body_bytes,
            head_timeout: from_millis(wire.limits.header_timeout_ms),
            idle_timeout: from_millis(wire.limits.idle_timeout_ms),
        },
        ..Catalog::default()
    };
    Ok(catalog.indexed())
}

fn convert_route(wire: WireRoute, services: &[Service]) -> Option<Route> {
    let mut targets = Vec::new();
    if let Some(service) = &wire.service {
        targets.push(Target {
            service: service_key(services, service)?,
            weight: 1,
        });
    }
    for backend in &wire.backends {
        targets.push(Target {
            service: service_key(services, &backend.service)?,
            weight: backend.weight.max(0.0).round() as u32,
        });
    }
    if targets.iter().all(|target| target.weight == 0) {
        return None;
    }
    let kind = match wire.route_type.as_str() {
        "safe" => RouteKind::Idempotent,
        "streaming" => RouteKind::Stream {
            resumable: wire.stream_resume,
        },
        // Requests of unknown route types run at most once.
        _ => RouteKind::Once,
    };
    Some(Route {
        name: wire.name,
        host: wire.hostname.to_lowercase(),
        prefix: wire.prefix,
        kind,
        timeout: from_millis(wire.timeout_ms),
        objective: from_millis(wire.objective_ms),
        priority: wire.priority,
        models: wire.sizes,
        targets,
        max_attempts: wire.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        public: wire.public,
    })
}

fn convert_service(wire: WireService) -> Service {
    let engine = wire.engine.as_ref();
    let kv_capacity = engine.and_then(|engine| engine.get("kv_capacity")?.as_f64());
    Service {
        name: wire.name,
        has_engines: engine.is_some(),
        kv_capacity: kv_capacity.map(|tokens| tokens as u32),
        health_path: wire.health_path.unwrap_or(DEFAULT_HEALTH_PATH),
        cold_rate: Some(wire.warmup_per_s).filter(|rate| *rate > 0.0),
    }
}

fn service_key(services: &[Service], name: &str) -> Option<ServiceKey> {
    let index = services.iter().position(|service| service.name == name)?;
    Some(ServiceKey(index as u16))
}
