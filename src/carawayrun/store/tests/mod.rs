//! Unit tests of the clients.

mod call;
mod pool;
