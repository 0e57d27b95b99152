//! One binary with all integration tests.

mod policy;
