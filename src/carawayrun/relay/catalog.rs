//! Routes, services and teams of the operators' configuration.
//!
//! A catalog is immutable: a change creates a new one. Keys are indices into its
//! arenas and are valid for one catalog only.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// Key of a service in a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u16);

/// Key of a team in a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u16);

/// Key of a route in a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub u16);

/// Routes, services and teams of one configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Generation of the configuration; newer ones are greater.
    pub version: u64,
    /// Routes by [`RouteKey`].
    pub routes: Vec<Route>,
    /// Services by [`ServiceKey`].
    pub services: Vec<Service>,
    /// Teams by [`TeamKey`].
    pub teams: Vec<Team>,
    /// Team of each API key.
    pub api_keys: FxHashMap<CompactString, TeamKey>,
    /// Limits on client requests.
    pub limits: Limits,
    /// Entries of the configuration that can't be used, or only in part.
    pub faults: Vec<EntryFault>,
    /// True if an entry of a route can't be read as far as the requests that it is for.
    pub has_unplaced_routes: bool,
    /// True if an entry of a team can't be read, so that an unknown key may be one of its.
    pub has_unread_teams: bool,
    /// Routes of each host name, the longest prefix first.
    pub(crate) by_host: FxHashMap<CompactString, Vec<RouteKey>>,
    /// Shortest latency objective of each service.
    pub(crate) objectives: FxHashMap<ServiceKey, Duration>,
}

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// A stream of events; if `resumable`, another upstream may continue it after
    /// the last event delivered.
    Stream {
        /// True if it may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns true if a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns true for streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Targets and limits of the requests for a host and path.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name given by the operators.
    pub name: CompactString,
    /// Host name that it matches.
    pub host: CompactString,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: CompactString,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Latency objective: of the whole answer, or of the first event.
    pub objective: Duration,
    /// Priority among routes; zero is the highest.
    pub priority: u32,
    /// Models to choose from, smallest first; empty if the client names one.
    pub models: Vec<CompactString>,
    /// Services and their weights. Empty if the route can't be used: its requests are
    /// refused, and go to no other route.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// True if no API key is required.
    pub public: bool,
}

/// Service that gets a share of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceKey,
    /// Weight relative to the other targets: finite, and not below zero.
    pub weight: f64,
}

/// A service behind the routes.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name under which its upstreams register.
    pub name: CompactString,
    /// True if its upstreams are model engines.
    pub has_engines: bool,
    /// Tokens that the memory of one of its engines holds, if the configuration says so.
    pub kv_capacity: Option<u32>,
    /// Path of its upstreams' health checks.
    pub health_path: CompactString,
    /// Requests per second that one of its upstreams takes while it is cold; `None` if it
    /// has no such limit.
    pub cold_rate: Option<f64>,
}

/// A team of API key owners.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name that is sent to upstreams.
    pub name: CompactString,
    /// Priority, which precedes the route's; zero is the highest.
    pub priority: Option<u32>,
}

/// An entry of a configuration that can't be used, or only in part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryFault {
    /// What the entry is.
    pub kind: &'static str,
    /// Its name; empty if it has none that can be read.
    pub name: CompactString,
    /// Why it can't be used.
    pub reason: CompactString,
}

/// Limits on the size and the speed of client requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the head.
    pub head_timeout: Duration,
    /// Time limit for idle connections.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits before any configuration is known: generous, since no request is
    /// served.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Indexes the routes by host and by service; call once after all fields are set.
    #[must_use]
    pub fn indexed(mut self) -> Self {
        self.by_host.clear();
        self.objectives.clear();
        for (index, route) in self.routes.iter().enumerate() {
            let keys = self.by_host.entry(route.host.clone()).or_default();
            keys.push(RouteKey(index as u16));
            for target in route.targets.iter().filter(|_| !route.objective.is_zero()) {
                let shortest = self.objectives.entry(target.service);
                let shortest = shortest.or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
        }
        for keys in self.by_host.values_mut() {
            keys.sort_by_key(|key| usize::MAX - self.routes[usize::from(key.0)].prefix.len());
        }
        self
    }

    /// Finds the route of a host and a path: the one with the longest matching
    /// prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let keys = self.by_host.get(host)?;
        keys.iter()
            .copied()
            .find(|key| path.starts_with(self.route(*key).prefix.as_str()))
    }

    /// Returns the route of a key of this catalog.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[usize::from(key.0)]
    }

    /// Returns the service of a key of this catalog.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }

    /// Returns true if no request needs an API key.
    pub fn is_open(&self) -> bool {
        self.teams.is_empty() && !self.has_unread_teams
    }

    /// Shortest latency objective of a service's routes, if any has one.
    pub fn shortest_objective(&self, key: ServiceKey) -> Option<Duration> {
        self.objectives.get(&key).copied()
    }

    /// Returns the team of a key of this catalog.
    pub fn team(&self, key: TeamKey) -> &Team {
        &self.teams[usize::from(key.0)]
    }
}
