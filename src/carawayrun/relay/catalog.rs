//! What the operators declared, as the data path reads it.
//!
//! A catalog is immutable: a change makes a new one. Keys are indices into its
//! arenas and hold for one catalog only.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// A service of a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u16);

/// A team of a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u16);

/// A route of a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub u16);

/// Routes, services and teams of one configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Number of the configuration; newer ones are greater.
    pub version: u64,
    /// Routes by [`RouteKey`].
    pub routes: Vec<Route>,
    /// Services by [`ServiceKey`].
    pub services: Vec<Service>,
    /// Teams by [`TeamKey`].
    pub teams: Vec<Team>,
    /// Team of each API key.
    pub api_keys: FxHashMap<CompactString, TeamKey>,
    /// Bounds on what clients may send.
    pub limits: Limits,
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
    /// A stream of events; `resumable` where another upstream may go on after
    /// the last event that was delivered.
    Stream {
        /// True where it may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// True where a request that may have run can be sent once more.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// True for streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests of a host and path go, and within which bounds.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name given by the operators.
    pub name: CompactString,
    /// Host name that it serves.
    pub host: CompactString,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub prefix: CompactString,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time a client is kept waiting for the end of its answer.
    pub timeout: Duration,
    /// Latency objective: of the whole answer, or of the first event.
    pub objective: Duration,
    /// Rank among routes; zero goes first.
    pub priority: u8,
    /// Models to choose from, the smallest first; empty where the client names one.
    pub models: Vec<CompactString>,
    /// Services and their weights.
    pub targets: Vec<Target>,
    /// Most upstreams on which one request may run.
    pub max_attempts: u32,
    /// True where no API key is asked for.
    pub public: bool,
}

/// A service that takes a share of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceKey,
    /// Its share, relative to the other targets'.
    pub weight: u32,
}

/// A service behind the routes.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name under which its upstreams register.
    pub name: CompactString,
    /// True where its upstreams are model engines.
    pub has_engines: bool,
}

/// A team, with what its keys allow.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name that upstreams are told.
    pub name: CompactString,
    /// Rank that goes before the route's; zero goes first.
    pub priority: Option<u8>,
}

/// Bounds on what a client may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time to send the head.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds before any configuration is known: generous, as nothing is served.
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

    /// The route of a host and a path: the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let keys = self.by_host.get(host)?;
        keys.iter()
            .copied()
            .find(|key| path.starts_with(self.route(*key).prefix.as_str()))
    }

    /// The route of a key of this catalog.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[usize::from(key.0)]
    }

    /// The service of a key of this catalog.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }

    /// The shortest latency objective of the routes of a service; none where
    /// they have none.
    pub fn shortest_objective(&self, key: ServiceKey) -> Option<Duration> {
        self.objectives.get(&key).copied()
    }

    /// The team of a key of this catalog.
    pub fn team(&self, key: TeamKey) -> &Team {
        &self.teams[usize::from(key.0)]
    }
}
