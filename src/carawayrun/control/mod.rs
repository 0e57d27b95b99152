//! The reducer over all control events, with effects as data.
//!
//! [`State::apply`] takes one [`Event`] and the time, and pushes [`Effect`]s.
//! It does no I/O and reads no clock; the loop in `node` does both. Each
//! component has its own module and handles events in a fixed order.

mod burn;
mod cancel;
mod candidates;
mod claims;
mod context;
mod effect;
mod event;
mod evidence;
mod follow;
mod ledger;
mod member;
mod orders;
mod owner;
mod rollout;
mod share;
mod state;
mod time;
mod unbilled;
mod view;
mod work;

#[cfg(test)]
mod tests;

pub use self::claims::{
    ClaimAnswer, ClaimEnd, ClaimRequest, ClaimTicket, MAX_STORED_ANSWER_BYTES, StoredAnswer,
    StoredChunk,
};
pub use self::context::{Context, Lifecycle};
pub use self::effect::{
    Component, Effect, Effects, EngineOrder, OrderAction, Ticket, UpstreamAction,
};
pub use self::event::{
    AwaitedStep, Bill, BillStep, Event, HostEntry, OrderResult, Rating, RequestOutcome,
};
pub use self::follow::STALE_AFTER;
pub use self::ledger::MAX_IN_FLIGHT;
pub use self::member::{Directory, Member, MemberKey};
pub use self::state::{Identity, Role, State};
pub use self::time::Millis;
pub use self::view::{
    Admission, AgentView, LedgerView, LimitShareView, MemberView, RolloutPhase, RolloutView, View,
};

pub use self::work::{Leases, WriteOutcome, WriteResult};

/// Time between two [`Event::Tick`]s.
pub const TICK: Millis = Millis(100);
