//! The pure parts of the agent: ledger, queue, events and whole answers.

mod admission;
mod ledger;
mod pulse;
mod queue;
mod whole;
