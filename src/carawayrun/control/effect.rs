//! What the reducer wants done.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;

use super::time::Millis;
use super::view::View;
use crate::peer::message;
use crate::platform::table::TableCall;

/// The concern that made a call to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Concern {
    /// Following the configuration.
    Config,
    /// Billing.
    Ledger,
    /// Idempotency keys.
    Claims,
    /// Roll-outs and other control work.
    Work,
    /// Orders to the engine.
    Orders,
}

/// Ties an answer of the table service to its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Who called.
    pub concern: Concern,
    /// Number of the call within the concern.
    pub number: u64,
}

/// One effect.
#[derive(Debug)]
pub enum Effect {
    /// Sends a message to a peer address; may be lost.
    Send(CompactString, Box<message::Envelope>),
    /// Calls the table service; an [`super::Event::Stored`] follows, always.
    Store(Ticket, TableCall),
    /// Publishes a new view to the traffic threads.
    Publish(Arc<View>),
    /// Tells the traffic threads until when the configuration is known to be
    /// the newest.
    Fresh(Millis),
    /// Reads the newest snapshot of the configuration from the object store; an
    /// [`super::Event::SnapshotRead`] follows where there is one.
    ReadSnapshot,
    /// Writes a snapshot of the configuration to the object store.
    WriteSnapshot(Bytes),
}

/// Effects in the order in which they are to be carried out.
pub type Effects = Vec<Effect>;
