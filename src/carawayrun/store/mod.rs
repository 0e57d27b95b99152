//! Clients of the services that keep what must last.
//!
//! [`table`] and [`feed`] are the interface; the clients here speak the
//! protocol of docs/PLATFORM.md, and [`crate::platform`] speaks that of the
//! users' platform. Both make their calls by `call`.

pub(crate) mod call;
pub mod feed;
mod hosts;
mod objects;
pub mod table;
mod table_client;

pub use self::call::CallError;
pub use self::hosts::HostsClient;
pub use self::objects::ObjectClient;
pub use self::table_client::TableClient;
