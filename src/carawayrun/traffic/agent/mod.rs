//! The agent: the process beside one upstream.
//!
//! It alone sends work to its upstream. A run passes `judge` (permitted by
//! this agent's own configuration), `ledger` (first arrival of its id),
//! `claim` (idempotency key), `admission` (a slot, or a refusal early), and
//! once more `judge` and the deadline directly before it is sent. `exchange`
//! passes the answer on and checks that it is whole.
//!
//! All of it runs on one thread, so its state needs no locks; the reducer is
//! reached through [`crate::node::Handle`].

mod admission;
mod authorization;
mod cancel;
mod claim;
mod exchange;
mod frames;
mod ledger;
mod not_dispatched;
mod pause_detector;
mod queue;
mod refusal;
mod run;
mod server;
mod settle;
mod sse;
mod stream_check;
mod upstream;
mod usage;
mod worker;

#[cfg(test)]
mod tests;

pub use self::server::{Agent, AgentSettings, SpawnAgentError, spawn};
