//! All integration tests, one binary.

mod control;
