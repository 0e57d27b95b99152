//! The callers' side of the data path: accepts requests and is responsible for
//! their outcome.
//!
//! | file | job |
//! |---|---|
//! | `server` | the listener and its graceful stop |
//! | `handler` | one request, from its headers to its response |
//! | `headers`, `chat`, `plain` | parsing of requests |
//! | `auth`, `admission`, `limits` | whether a request is admitted |
//! | `completion` | one chat completion: session, plan and cascade steps |
//! | `plan`, `snapshot` | which version answers, by the current view |
//! | `session` | signed tokens that pin a session to its version |
//! | `pins` | stored pins of sessions that callers name by ids of their own |
//! | `ratings` | ratings of answers, for estimates and for gates |
//! | `run`, `attempt`, `frames` | sending runs to agents and validating their answers |
//! | `tracker` | usage, bill and outcome of one request |
//! | `answer`, `refusal` | responses |

mod admission;
mod answer;
mod attempt;
mod auth;
mod chat;
mod clock;
mod completion;
mod frames;
mod handler;
mod headers;
mod limits;
mod models;
mod pins;
mod plain;
mod plan;
mod ratings;
mod refusal;
mod run;
mod server;
mod session;
mod shared;
mod snapshot;
mod tracker;

#[cfg(test)]
mod tests;

pub use self::server::{Gateway, GatewaySettings, StopOutcome, bind};
