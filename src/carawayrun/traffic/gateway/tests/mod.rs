//! Reading requests, checking frames, session tokens.

mod attempt;
mod chat;
mod frames;
mod headers;
mod plain;
mod session;
