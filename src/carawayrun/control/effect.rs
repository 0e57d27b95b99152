//! What the reducer wants done.

use std::sync::Arc;

use compact_str::CompactString;

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
}

/// Effects in the order in which they are to be carried out.
pub type Effects = Vec<Effect>;
