//! Snapshot of the control state that the control thread publishes to the traffic
//! thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use super::catalog::Catalog;
use super::evacuation::Evacuation;
use super::evidence::RolloutEvidence;
use super::readers::Confirmation;
use super::rollout::OrderId;
use super::tally::RouteEvidence;

new_key_type! {
    /// Key of one incarnation of an upstream; a restart under the same name gets
    /// a new key.
    pub struct UpstreamKey;
}

/// A registered upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Upstream {
    /// Name of the registration.
    pub name: CompactString,
    /// Start of this incarnation, in milliseconds since the Unix epoch; zero if
    /// not registered.
    pub born_ms: u64,
    /// Its service.
    pub service: CompactString,
    /// Its listen address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Its software version.
    pub version: CompactString,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// True once it has announced that it is leaving.
    pub is_leaving: bool,
}

/// Routing of a service's requests during and after a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// Service of the roll-out.
    pub service: CompactString,
    /// The new version.
    pub to: CompactString,
    /// The order.
    pub order: OrderId,
    /// True until the roll-out has completed or been reverted.
    pub is_open: bool,
    /// Share of the requests without a session that the new version gets.
    pub share: f64,
    /// Share of the sessions that the new version gets.
    pub session_share: f64,
    /// True once sessions on the old version may move to the new one.
    pub moves_sessions: bool,
    /// Versions that must get no traffic.
    pub withdrawn: Vec<CompactString>,
    /// Start on the boot clock, as seen by this gateway. Sessions that it does
    /// not know may be older.
    pub started_at: Duration,
}

impl RolloutView {
    /// Returns true while a part of the new sessions goes to the new version and the
    /// others stay where they are.
    pub fn is_canary(&self) -> bool {
        self.share > 0.0 && self.share < 1.0 && !self.moves_sessions
    }
}

/// Evidence that this gateway has about an open roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct OutcomesView {
    /// Service of the roll-out.
    pub service: CompactString,
    /// The order.
    pub order: OrderId,
    /// Outcomes at this gateway.
    pub evidence: RolloutEvidence,
    /// Attempts at this gateway, by route.
    pub routes: RouteEvidence,
    /// True once this gateway has withdrawn the new version.
    pub is_withdrawn: bool,
}

/// Control state that the data path needs, as of the moment at which the control
/// thread published it to the traffic thread.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Latest configuration; `None` until the first one is read.
    pub catalog: Option<Arc<Catalog>>,
    /// Registered upstreams.
    pub upstreams: Arc<SlotMap<UpstreamKey, Upstream>>,
    /// Open roll-outs, and completed ones that still affect routing.
    pub rollouts: Vec<RolloutView>,
    /// Data centres that are ordered out of service.
    pub evacuations: Vec<Evacuation>,
    /// Confirmations of this gateway's own reads of the store's tables, by table
    /// number.
    pub reads: Vec<(u32, Confirmation)>,
    /// Evidence about open roll-outs, reported to the other gateways.
    pub outcomes: Vec<OutcomesView>,
    /// True once all data that decides the routing of requests was read.
    pub is_synced: bool,
    /// Addresses to which reports for the other gateways are sent.
    pub peers: Vec<SocketAddr>,
    /// True once the gateways that are listed in the store were read.
    pub is_listed: bool,
    /// Time on the boot clock at which the configuration was known to be current.
    pub confirmed_at: Duration,
    /// True while other gateways are known to hold a newer configuration or newer orders.
    pub is_behind: bool,
}
