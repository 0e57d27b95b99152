//! The callers' side: takes requests and is responsible for their outcome.
//!
//! | file | job |
//! |---|---|
//! | `server` | the listener, and stopping it without cutting a request |
//! | `handler` | one caller's request from its head to its answer |
//! | `head`, `chat`, `plain` | reading what the caller sent |
//! | `completion` | one chat completion: session, plan, steps of a cascade |
//! | `plan`, `board` | which version answers, from the view in force |
//! | `session` | signed tokens that keep a session on its version |
//! | `pins` | versions of sessions that callers name by their own ids |
//! | `ratings` | ratings of answers, for learning and for gates |
//! | `run`, `attempt`, `frames` | sending runs to agents and checking what comes back |
//! | `account` | what one request used: limits, its bill and its outcome |
//! | `answer`, `refusal` | writing the answer |

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
