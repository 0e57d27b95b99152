//! Unit tests of the agent's parts that need no network.

mod admission;
mod ledger;
mod pause_detector;
mod queue;
mod stream_check;
