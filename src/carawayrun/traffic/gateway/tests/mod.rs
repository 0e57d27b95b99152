//! Reading requests, checking frames, session tokens.

mod attempt;
mod chat;
mod frames;
mod head;
mod plain;
mod session;
