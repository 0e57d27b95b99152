//! The operators' resource API, served on its own listener.
//!
//! Reads use the node's view, so they work while the table service is down.
//! Writes go to the table service by compare-and-set ([`WriteTransaction`]) and
//! are then posted to the control thread of the node that accepted them.

pub mod api;
mod burn;
mod client;
mod clock;
mod condition_times;
mod difference;
mod handler;
mod operators;
mod refusal;
mod routes;
mod server;
mod status;
mod store;
mod transaction;
mod watch;
pub mod why;
mod writes;

#[cfg(test)]
mod tests;

pub use self::client::{Client, ClientError};
pub use self::difference::{change_summary, item_difference, item_verb};
pub use self::handler::OPENAPI;
pub use self::operators::{OperatorKey, Operators, ParseOperatorKeyError};
pub use self::routes::{ROUTES, Route, RouteInfo};
pub use self::server::{OperatorListener, Options, bind};
pub use self::transaction::{NextAction, WriteError, WriteTransaction};
