//! The data path of gateway and agent.
//!
//! A [`gateway`] takes callers' requests, chooses a version and an upstream,
//! and sends runs to the [`agent`] that stands before it.

pub mod agent;
mod code;
pub mod gateway;

pub use self::code::{Code, UnknownCodeError};
