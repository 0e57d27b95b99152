//! Tests of parsing, frame validation, send errors and session tokens.

mod attempt;
mod chat;
mod frames;
mod headers;
mod plain;
mod session;
