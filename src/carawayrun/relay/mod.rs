//! A gateway that reaches upstreams directly, without agents.
//!
//! Requests pass unchanged: host and path choose a route, the route a service,
//! and the service's upstreams register themselves in the store. Two threads:
//! the control thread follows the store and runs the reducer ([`control`]), the
//! traffic thread serves clients from the newest [`view::View`]. Hosts keep
//! nothing; what must last is in the store.
//!
//! | module | job |
//! |---|---|
//! | [`catalog`] | routes, services and teams of one configuration |
//! | [`control`] | the reducer: events in, effects out |
//! | [`rollout`] | how a roll-out moves on |
//! | [`placement`] | which upstream runs a request |
//! | [`cascade`] | which model answers |
//! | [`budget`] | how many requests may be sent once more |
//! | [`health`] | what own attempts say about an upstream |
//! | [`losses`] | whether a lost request is held against its version |
//! | [`events`] | whole events of a stream |

mod admission;
mod boot_clock;
pub mod budget;
pub mod cascade;
pub mod catalog;
mod client;
mod connection;
pub mod control;
pub mod events;
mod exchange;
mod fleet;
mod follow;
mod gossip;
pub mod health;
mod latency;
pub mod loads;
pub mod losses;
pub mod message;
mod metrics;
pub mod placement;
mod probe;
pub mod readers;
mod request_log;
mod responder;
pub mod rollout;
mod serve;
pub mod sessions;
pub mod store_clock;
#[cfg(test)]
mod tests;
mod traffic;
pub mod view;

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

pub use self::serve::{BindError, Relay, bind};

/// How a relay is set up.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Name of the host.
    pub node: CompactString,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Where clients' requests come in.
    pub listen: SocketAddr,
    /// Where the balancer asks whether to send clients here.
    pub ready_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// Where reports of the other gateways come in.
    pub peer_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Time after which a leaving upstream must get no new work.
    pub drain_limit: Duration,
    /// Time after which a withdrawn API key must be refused, whatever happens.
    pub revocation_limit: Duration,
    /// Share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Repeats allowed for each request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Repeats allowed besides.
    pub retry_slack: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Longest pause within a session.
    pub session_gap: Duration,
    /// Descriptors that the process may have open.
    pub max_descriptors: u32,
}

impl RelaySettings {
    // What can't change while the process runs.
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
