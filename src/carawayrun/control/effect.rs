//! Effects that the reducer returns.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;

use super::claims::{ClaimAnswer, ClaimTicket};
use super::time::Millis;
use super::view::View;
use crate::peer::RequestId;
use crate::peer::message;
use crate::store::table::TableCall;

/// A component of the control state that calls the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Component {
    /// Replication of the configuration.
    Config,
    /// Billing ledger.
    Ledger,
    /// Claims of idempotency keys.
    Claims,
    /// Leases of tasks, such as of the roll-outs.
    Leases,
    /// Orders to the upstream's engine.
    Orders,
    /// Counts for service-level objectives.
    Burn,
}

/// Identifies a call to the table service, to match its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Component that made the call.
    pub component: Component,
    /// Number of the call within the component.
    pub number: u64,
}

/// An effect that the event loop carries out.
#[derive(Debug)]
pub enum Effect {
    /// Sends a message to a peer address; the message may be lost.
    Send(CompactString, Box<message::Envelope>),
    /// Calls the table service; an [`super::Event::TableAnswered`]
    /// always follows.
    CallTable(Ticket, TableCall),
    /// Publishes a new view to the traffic threads.
    PublishView(Arc<View>),
    /// Sets the time until which the traffic threads treat the configuration as
    /// up to date.
    SetFreshUntil(Millis),
    /// Reads the newest snapshot of the configuration from the object store; an
    /// [`super::Event::SnapshotRead`] follows if there is one.
    ReadSnapshot,
    /// Writes a snapshot of the configuration to the object store.
    WriteSnapshot(Bytes),
    /// Answers the claim of a request for its idempotency key.
    AnswerClaim(ClaimTicket, ClaimAnswer),
    /// Has the agent's traffic threads act on its upstream.
    Upstream(UpstreamAction),
}

/// An action of an agent on its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Cancels a request that a gateway no longer needs.
    Cancel(RequestId),
    /// Sends an order to the engine.
    Order(EngineOrder),
}

/// An order to an engine to load or unload a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Fencing number; engines that check it refuse one lower than the highest
    /// they have seen.
    pub fence: u64,
    /// Action of the order.
    pub action: OrderAction,
    /// Name of the version.
    pub version: CompactString,
}

/// Action of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub enum OrderAction {
    /// Load the version.
    Load,
    /// Unload the version.
    Unload,
}

/// Effects, in the order of their execution.
pub type Effects = Vec<Effect>;
