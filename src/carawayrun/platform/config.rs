//! Parses the operators' configuration from its row in the store.
//!
//! A configuration is read entry by entry: one that can't be used is left out and told, so
//! that it doesn't keep the others, such as a key that was taken away, out of force.

use compact_str::{CompactString, ToCompactString};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use snafu::{OptionExt, ResultExt, Snafu};

use super::number::Number;
use super::time::from_millis;
use crate::relay::catalog::{
    Catalog, EntryFault, Limits, Route, RouteKind, Service, ServiceKey, Target, Team, TeamKey,
};
use crate::store::table::Row;

/// Key of the row that holds the configuration.
pub(super) const CONFIG_KEY: &str = "config";

/// Path of health checks of a service that names none.
const DEFAULT_HEALTH_PATH: CompactString = CompactString::const_new("/");

/// Attempts of a route that does not set `max_attempts`.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// Greatest weight: the sum of any number of them is finite.
const MAX_WEIGHT: f64 = 1e100;

/// Why a configuration can't be used at all.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ConfigError {
    /// It is no object, or a list is missing or of another type.
    #[snafu(display("configuration: {source}"))]
    Malformed {
        /// Error of the parser, with its position.
        source: serde_json::Error,
    },
    /// The version is not a whole number, so that its place in their order is not known.
    #[snafu(display("configuration: version {version} is not a whole number"))]
    Version {
        /// The version as it is written.
        version: CompactString,
    },
}

/// Why an entry of a configuration can't be used.
#[derive(Debug)]
#[derive(Snafu)]
enum EntryError {
    #[snafu(display("{source}"))]
    Unreadable { source: serde_json::Error },
    #[snafu(display("names no known service with a weight above zero"))]
    UnknownService,
}

#[derive(Deserialize)]
struct WireConfig {
    version: Number,
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    limits: Option<Box<RawValue>>,
    tenants: Option<Vec<Box<RawValue>>>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: CompactString,
    hostname: CompactString,
    prefix: CompactString,
    /// `safe`, `unsafe` or `streaming`.
    route_type: CompactString,
    timeout_ms: Number,
    objective_ms: Option<Number>,
    priority: Option<Number>,
    /// Names of models, not sizes in bytes.
    sizes: Option<Vec<CompactString>>,
    /// Set if one service serves the route.
    service: Option<CompactString>,
    /// Set if several services share the route.
    backends: Option<Vec<WireBackend>>,
    max_attempts: Option<Number>,
    public: Option<bool>,
    stream_resume: Option<bool>,
}

/// What tells which requests a route is for.
#[derive(Deserialize)]
struct WirePlace {
    hostname: CompactString,
    prefix: CompactString,
}

/// What names an entry in messages.
#[derive(Deserialize)]
struct WireName {
    name: CompactString,
}

#[derive(Deserialize)]
struct WireBackend {
    service: CompactString,
    weight: Number,
}

#[derive(Deserialize)]
struct WireService {
    name: CompactString,
    /// Set if its upstreams are model engines.
    engine: Option<Box<RawValue>>,
    health_path: Option<CompactString>,
    /// Requests per second; zero if there is no limit.
    warmup_per_s: Option<Number>,
}

#[derive(Deserialize)]
struct WireEngine {
    kv_capacity: Option<Number>,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: Number,
    max_body_bytes: Number,
    header_timeout_ms: Number,
    idle_timeout_ms: Number,
}

#[derive(Deserialize)]
struct WireTenant {
    name: CompactString,
    api_keys: Vec<CompactString>,
    priority: Option<Number>,
}

/// Parses the catalog from the configuration's row; `None` for any other row. Entries that
/// can't be used are among the catalog's faults.
///
/// # Errors
///
/// [`ConfigError`] if nothing of the configuration can be used.
pub fn parse_catalog(row: &Row) -> Option<Result<Catalog, ConfigError>> {
    (row.key == CONFIG_KEY).then(|| parse_config(row.value.get()))
}

fn parse_config(text: &str) -> Result<Catalog, ConfigError> {
    let wire: WireConfig = serde_json::from_str(text).context(MalformedSnafu)?;
    let version = wire.version.exact_u64().context(VersionSnafu {
        version: wire.version.as_written(),
    })?;
    let mut catalog = Catalog {
        version,
        ..Catalog::default()
    };
    let faults = &mut catalog.faults;
    for raw in &wire.services {
        let service = read_entry(raw).map(convert_service);
        catalog
            .services
            .extend(keep("service", raw, service, faults));
    }
    for raw in &wire.routes {
        let wire = read_entry(raw);
        let route = wire.and_then(|wire| convert_route(wire, &catalog.services, faults));
        if let Some(route) = keep("route", raw, route, faults) {
            catalog.routes.push(route);
        } else if let Ok(place) = read_entry(raw) {
            catalog.routes.push(unusable_route(place, name_of(raw)));
        } else {
            catalog.has_unplaced_routes = true;
        }
    }
    for raw in wire.tenants.iter().flatten() {
        let Some(tenant) = keep("tenant", raw, read_entry::<WireTenant>(raw), faults) else {
            catalog.has_unread_teams = true;
            continue;
        };
        let team = TeamKey(catalog.teams.len() as u16);
        catalog.teams.push(Team {
            name: tenant.name,
            priority: tenant.priority.as_ref().map(Number::saturated_u32),
        });
        let keys = tenant.api_keys.into_iter().map(|key| (key, team));
        catalog.api_keys.extend(keys);
    }
    // Those of the configuration before may no longer hold, so the defaults apply.
    let limits = wire.limits.as_deref().and_then(|raw| {
        let limits = read_entry(raw).map(|limits| convert_limits(&limits));
        keep("limits", raw, limits, faults)
    });
    catalog.limits = limits.unwrap_or_default();
    Ok(catalog.indexed())
}

fn read_entry<T: DeserializeOwned>(raw: &RawValue) -> Result<T, EntryError> {
    serde_json::from_str(raw.get()).context(UnreadableSnafu)
}

// The value of an entry; records why there is none.
fn keep<T>(
    kind: &'static str,
    raw: &RawValue,
    read: Result<T, EntryError>,
    faults: &mut Vec<EntryFault>,
) -> Option<T> {
    let error = match read {
        Ok(value) => return Some(value),
        Err(error) => error,
    };
    faults.push(EntryFault {
        kind,
        name: name_of(raw),
        reason: error.to_compact_string(),
    });
    None
}

// The name of an entry, if that can be read.
fn name_of(raw: &RawValue) -> CompactString {
    let named = serde_json::from_str::<WireName>(raw.get());
    named.map(|named| named.name).unwrap_or_default()
}

fn convert_route(
    wire: WireRoute,
    services: &[Service],
    faults: &mut Vec<EntryFault>,
) -> Result<Route, EntryError> {
    let mut targets = Vec::new();
    let mut add_target = |name: &CompactString, weight| {
        if let Some(service) = service_key(services, name) {
            targets.push(Target { service, weight });
        } else {
            faults.push(EntryFault {
                kind: "route",
                name: wire.name.clone(),
                reason: CompactString::from(format!("names the unknown service {name}")),
            });
        }
    };
    if let Some(service) = &wire.service {
        add_target(service, 1.0);
    }
    for backend in wire.backends.iter().flatten() {
        add_target(
            &backend.service,
            backend.weight.value().clamp(0.0, MAX_WEIGHT),
        );
    }
    let has_target = targets.iter().any(|target| target.weight > 0.0);
    snafu::ensure!(has_target, UnknownServiceSnafu);
    let is_resumable = wire.stream_resume.unwrap_or_default();
    let kind = match wire.route_type.as_str() {
        "safe" => RouteKind::Idempotent,
        "streaming" => RouteKind::Stream {
            resumable: is_resumable,
        },
        // Requests of unknown route types run at most once.
        _ => RouteKind::Once,
    };
    let max_attempts = wire.max_attempts.as_ref().map(Number::saturated_u32);
    Ok(Route {
        name: wire.name,
        host: wire.hostname.to_lowercase(),
        prefix: wire.prefix,
        kind,
        timeout: from_millis(wire.timeout_ms.value()),
        objective: from_millis(wire.objective_ms.map_or(0.0, |limit| limit.value())),
        priority: wire.priority.map_or(0, |rank| rank.saturated_u32()),
        models: wire.sizes.unwrap_or_default(),
        targets,
        max_attempts: max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        public: wire.public.unwrap_or_default(),
    })
}

// Keeps the place of a route that can't be used, so that its requests go to no other route.
fn unusable_route(place: WirePlace, name: CompactString) -> Route {
    Route {
        name,
        host: place.hostname.to_lowercase(),
        prefix: place.prefix,
        kind: RouteKind::Once,
        timeout: from_millis(0.0),
        objective: from_millis(0.0),
        priority: 0,
        models: Vec::new(),
        targets: Vec::new(),
        max_attempts: DEFAULT_MAX_ATTEMPTS,
        public: false,
    }
}

fn convert_service(wire: WireService) -> Service {
    let engine = wire.engine.as_deref();
    let engine_fields = engine.and_then(|raw| read_entry::<WireEngine>(raw).ok());
    let kv_capacity = engine_fields.and_then(|engine| engine.kv_capacity);
    let cold_rate = wire.warmup_per_s.map(|rate| rate.value());
    Service {
        name: wire.name,
        has_engines: engine.is_some(),
        kv_capacity: kv_capacity.as_ref().map(Number::saturated_u32),
        health_path: wire.health_path.unwrap_or(DEFAULT_HEALTH_PATH),
        cold_rate: cold_rate.filter(|rate| *rate > 0.0),
    }
}

fn convert_limits(wire: &WireLimits) -> Limits {
    Limits {
        head_bytes: wire.max_header_bytes.value() as usize,
        body_bytes: wire.max_body_bytes.value() as usize,
        head_timeout: from_millis(wire.header_timeout_ms.value()),
        idle_timeout: from_millis(wire.idle_timeout_ms.value()),
    }
}

fn service_key(services: &[Service], name: &str) -> Option<ServiceKey> {
    let index = services.iter().position(|service| service.name == name)?;
    Some(ServiceKey(index as u16))
}
