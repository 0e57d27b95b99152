//! What the control thread tells the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use super::catalog::Catalog;
use super::readers::Confirmation;
use super::rollout::RolloutEvidence;

new_key_type! {
    /// An upstream's incarnation; a restart under the same name gets a new key.
    pub struct UpstreamKey;
}

/// An upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Upstream {
    /// Name of the registration.
    pub name: CompactString,
    /// Start of this incarnation, in milliseconds since the Unix epoch; zero
    /// where it does not say.
    pub born_ms: u64,
    /// Service it belongs to.
    pub service: CompactString,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Data centre it runs in.
    pub data_centre: CompactString,
    /// Version of its software.
    pub version: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True from its notice of leaving on.
    pub is_leaving: bool,
}

/// Which version of a service may take what.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// Service whose traffic moves.
    pub service: CompactString,
    /// The new version.
    pub to: CompactString,
    /// Share of sessions and of other requests that the new version takes.
    pub share: f64,
    /// Versions that must get nothing.
    pub withdrawn: Vec<CompactString>,
    /// When this gateway saw it begin, on the boot clock. Sessions that it does
    /// not know may be older.
    pub started_at: Duration,
}

impl RolloutView {
    /// True while a part of the traffic goes to the new version.
    pub fn is_partial(&self) -> bool {
        self.share > 0.0 && self.share < 1.0
    }
}

/// What this gateway saw of a roll-out whose outcome is open.
#[derive(Debug, Clone, PartialEq)]
pub struct OutcomesView {
    /// Service whose traffic moves.
    pub service: CompactString,
    /// Version of the order's row.
    pub order: u64,
    /// What was seen.
    pub evidence: RolloutEvidence,
}

/// Everything the data path needs to know, at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The newest configuration; none before the first one was read.
    pub catalog: Option<Arc<Catalog>>,
    /// Upstreams that may take work.
    pub upstreams: Arc<SlotMap<UpstreamKey, Upstream>>,
    /// Roll-outs, open ones and those whose outcome still binds.
    pub rollouts: Vec<RolloutView>,
    /// What this gateway read of the store's tables itself.
    pub reads: Vec<(u32, Confirmation)>,
    /// What the other gateways are told of open roll-outs.
    pub outcomes: Vec<OutcomesView>,
    /// True once everything was read that decides where a request goes.
    pub is_synced: bool,
    /// Where the other gateways take reports.
    pub peers: Vec<SocketAddr>,
    /// Moment on the boot clock at which the configuration was known to be the
    /// newest one.
    pub confirmed_at: Duration,
}
