//! A gateway that reaches upstreams directly, without agents.
//!
//! Requests are forwarded unchanged: host and path select a route, the route a
//! service, and the service's upstreams register themselves in the store. The
//! control thread follows the store and runs the reducer ([`control`]); the
//! traffic thread serves clients from the latest [`view::View`]. Hosts have no
//! durable state; it is kept in the store.
//!
//! | module | purpose |
//! |---|---|
//! | [`catalog`] | routes, services and teams of one configuration |
//! | [`control`] | the reducer, from events to effects |
//! | [`rollout`] | phases of a roll-out |
//! | [`evidence`] | evidence about the new version of a roll-out |
//! | [`route_test`] | comparison of versions, route by route |
//! | [`mod@reference`] | what a roll-out's row keeps of the old versions |
//! | [`tally`] | counts of attempts by route, for that evidence |
//! | [`placement`] | choice of a request's upstream |
//! | [`outage`] | outages of the store, as a gateway sees them |
//! | [`pace`] | pace of each engine relative to the usual one |
//! | [`prompts`] | shared prompt parts that engines still hold |
//! | [`cascade`] | choice of a request's model |
//! | [`budget`] | retry budget |
//! | [`rate_limit`] | shares of the rates that upstreams name |
//! | [`allowance`] | parts of the requests that upstreams take which may be cold |
//! | [`departures`] | upstreams that say that they are leaving |
//! | `drain` | planned stop |
//! | [`evacuation`] | data centres that operators order out of service |
//! | [`queue`] | order of requests that wait for room |
//! | `shares` | fair shares among teams |
//! | [`rests`] | rest that upstreams ask for |
//! | `restarts` | upstreams that started again under their names |
//! | [`health`] | health of upstreams, from own attempts |
//! | `health_check` | health checks of restarted upstreams |
//! | [`losses`] | attribution of lost requests to versions |
//! | [`quarantine`] | requests and prompt parts under which upstreams crash |
//! | [`events`] | framing of event streams |
//! | [`progress`] | limits on bytes that bring no progress |
//! | [`liveness`] | peers that no longer answer |
//! | [`memory`] | account of the memory held for clients and upstreams |

mod admission;
pub mod allowance;
mod body;
mod boot_clock;
pub mod budget;
pub mod cascade;
pub mod catalog;
mod client;
mod connection;
pub mod control;
pub mod departures;
mod drain;
pub mod evacuation;
pub mod events;
pub mod evidence;
mod exchange;
pub mod fingerprint;
mod fleet;
mod follow;
mod gossip;
pub mod health;
mod health_check;
mod latency;
pub mod liveness;
pub mod loads;
pub mod losses;
pub mod members;
pub mod memory;
pub mod message;
mod metrics;
mod moving_rate;
pub mod outage;
pub mod pace;
pub mod placement;
mod probe;
pub mod progress;
pub mod prompts;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod readers;
pub mod reference;
mod request_log;
mod responder;
mod restarts;
pub mod rests;
pub mod rollout;
pub mod route_test;
mod serve;
mod service_time;
mod session_lists;
pub mod sessions;
pub mod shares;
mod stalls;
pub mod store_clock;
pub mod tally;
#[cfg(test)]
mod tests;
mod traffic;
mod usual_time;
pub mod view;

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use self::allowance::ColdTolerance;
use self::shares::TeamWeights;

pub use self::probe::{EVACUATIONS_PATH, QUARANTINE_PATH};
pub use self::serve::{BindError, Relay, bind};

/// Settings of a relay.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Name of the host.
    pub node: CompactString,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address for the balancer's readiness probes.
    pub ready_listen: SocketAddr,
    /// Listen address for metrics.
    pub metrics_listen: SocketAddr,
    /// Listen address for the other gateways' reports.
    pub peer_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time between SIGTERM and the kill of the process.
    pub grace: Duration,
    /// Time after which a leaving upstream must get no new work.
    pub drain_limit: Duration,
    /// Time after the order from which a data centre out of service must get no new work;
    /// `None` if operators give no such orders.
    pub evacuation_limit: Option<Duration>,
    /// Time after which a withdrawn API key must be refused, also without the
    /// store.
    pub revocation_limit: Duration,
    /// Limit on the share of a service's requests that a bad version may get; the
    /// canary share is a fraction of it.
    pub exposure_share: f64,
    /// Requests that a bad version may get in addition to that share.
    pub exposure_slack: f64,
    /// Retries allowed for each request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed in addition, over all gateways.
    pub retry_slack: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Longest pause within a session.
    pub session_gap: Duration,
    /// Requests that cold upstreams may get beyond the rate that their service names.
    pub cold_tolerance: ColdTolerance,
    /// Weights of the teams that compete for places at plain services.
    pub team_weights: TeamWeights,
    /// Limit of the process on open file descriptors.
    pub max_descriptors: u32,
    /// Memory of the host that the process may use, in bytes.
    pub host_memory: u64,
}

impl RelaySettings {
    // Addresses, which can't change while the process runs.
    fn addresses(&self) -> [SocketAddr; 5] {
        [
            self.listen,
            self.ready_listen,
            self.metrics_listen,
            self.peer_listen,
            self.store,
        ]
    }
}
