//! Unit tests of the relay's modules.

mod budget;
mod cascade;
mod connection;
mod control;
mod departures;
mod drain;
mod events;
mod fingerprint;
mod fleet;
mod health;
mod loads;
mod losses;
mod placement;
mod progress;
mod quarantine;
mod queue;
mod rate_limit;
mod readers;
mod request_quarantine;
mod rests;
mod rollout;
mod rollout_trials;
mod session_lists;
mod sessions;
mod stalls;
mod usual_time;
