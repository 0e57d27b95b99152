//! Clients of the services that store durable state.
//!
//! [`table`] and [`feed`] define the interface. The clients here implement the
//! protocol of docs/PLATFORM.md, and [`crate::platform`] implements that of the
//! users' platform. Both make their HTTP calls through `call`.

pub(crate) mod call;
pub mod feed;
mod hosts;
pub mod invalid_rows;
mod objects;
pub(crate) mod pool;
pub mod table;
mod table_client;
#[cfg(test)]
mod tests;

pub use self::call::CallError;
pub use self::hosts::HostsClient;
pub use self::objects::ObjectClient;
pub use self::table_client::TableClient;
