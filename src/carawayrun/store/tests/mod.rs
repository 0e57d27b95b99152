//! Unit tests of the clients.

mod pool;
