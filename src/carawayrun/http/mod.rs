//! Shared code of the workspace's HTTP listeners: starting a listener, reading
//! a bounded body and building a response.
//!
//! The listeners of the gateway, the agent and the lab's simulated services
//! differ only in their handlers, so sockets, workers and limits are set up
//! here once.

mod body;
mod client;
mod send_error;
mod server;

pub use self::body::{ReadBodyError, json, json_text, read_body, stream, text};
pub(crate) use self::client::connector;
pub use self::send_error::may_have_been_sent;
pub use self::server::{Listener, ServerOptions, bind, serve};
