//! What all HTTP listeners of the workspace share: starting one, reading a
//! bounded body and writing an answer.
//!
//! The listeners of the gateway, the agent and the lab's stand-ins differ only
//! in their handler, so sockets, workers and limits are set up here once.

mod body;
mod send_error;
mod server;

pub use self::body::{ReadBodyError, json, json_text, read_body, stream, text};
pub use self::send_error::may_have_been_sent;
pub use self::server::{Listener, ServerOptions, bind, serve};
