//! The pure parts of the agent: ledger, queue, events and whole answers.

mod admission;
mod ledger;
mod pause_detector;
mod queue;
mod stream_check;
