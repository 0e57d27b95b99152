//! Reading requests, checking frames, session tokens.

mod chat;
mod frames;
mod head;
mod plain;
mod session;
