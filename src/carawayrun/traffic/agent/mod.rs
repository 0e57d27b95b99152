//! The agent: the process beside one upstream.
//!
//! Only the agent sends work to its upstream. A run passes these stages:
//!
//! 1. `ledger`: records the arrival and rejects duplicates
//! 2. `authorization`: checks the run against the agent's own configuration
//! 3. `claim`: claims the idempotency key
//! 4. `admission`: waits for a slot, or refuses early
//! 5. `authorization` and the deadline again, directly before the dispatch
//! 6. `exchange`: sends the run, forwards the answer and checks that it is
//!    complete
//!
//! All of them run on one thread, so their state needs no locks. They reach
//! the reducer through [`crate::node::Handle`].

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
