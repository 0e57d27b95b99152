//! Clients of the platform's services.
//!
//! The protocols are described in docs/PLATFORM.md; the stand-ins of the lab
//! crate speak the same.

mod call;
mod hosts;
mod objects;
pub mod table;
mod table_client;

pub use self::call::CallError;
pub use self::hosts::HostsClient;
pub use self::objects::ObjectClient;
pub use self::table_client::TableClient;
