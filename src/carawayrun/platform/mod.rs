//! Clients of the platform's services.
//!
//! The protocols are described in docs/PLATFORM.md; the stand-ins of the lab
//! crate speak the same.

pub mod table;
