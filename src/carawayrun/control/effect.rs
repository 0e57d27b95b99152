//! What the reducer wants done.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;

use super::claims::{ClaimAnswer, ClaimTicket};
use super::time::Millis;
use super::view::View;
use crate::peer::RequestId;
use crate::peer::message;
use crate::store::table::TableCall;

/// The concern that made a call to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Component {
    /// Following the configuration.
    Config,
    /// Billing.
    Ledger,
    /// Idempotency keys.
    Claims,
    /// Leases of tasks, such as of the roll-outs.
    Leases,
    /// Orders to the engine.
    Orders,
    /// Counts for service-level objectives.
    Burn,
}

/// Ties an answer of the table service to its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Who called.
    pub component: Component,
    /// Number of the call within the concern.
    pub number: u64,
}

/// One effect.
#[derive(Debug)]
pub enum Effect {
    /// Sends a message to a peer address; may be lost.
    Send(CompactString, Box<message::Envelope>),
    /// Calls the table service; an [`super::Event::TableAnswered`] follows, always.
    CallTable(Ticket, TableCall),
    /// Publishes a new view to the traffic threads.
    PublishView(Arc<View>),
    /// Tells the traffic threads until when the configuration is known to be
    /// the newest.
    SetFreshUntil(Millis),
    /// Reads the newest snapshot of the configuration from the object store; an
    /// [`super::Event::SnapshotRead`] follows where there is one.
    ReadSnapshot,
    /// Writes a snapshot of the configuration to the object store.
    WriteSnapshot(Bytes),
    /// Answers a request that asked for its idempotency key.
    AnswerClaim(ClaimTicket, ClaimAnswer),
    /// Gives the traffic threads of an agent something to do at its upstream.
    Upstream(UpstreamAction),
}

/// What an agent does at its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Cancels a request; a gateway no longer wants it.
    Cancel(RequestId),
    /// Orders the engine.
    Order(EngineOrder),
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Fencing number; engines that check it refuse a lower one than they saw.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
    /// Name of the version.
    pub version: CompactString,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub enum OrderAction {
    /// Load the version.
    Load,
    /// Unload the version.
    Unload,
}

/// Effects in the order in which they are to be carried out.
pub type Effects = Vec<Effect>;
