//! The data path of gateway and agent.
//!
//! A [`gateway`] receives callers' requests, chooses a version and an upstream
//! for each, and sends runs to the [`agent`] of that upstream.

pub mod agent;
mod code;
pub mod gateway;

pub use self::code::{Code, UnknownCodeError};
