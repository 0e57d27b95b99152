//! Operators' commands and the resource API.

pub mod why;
