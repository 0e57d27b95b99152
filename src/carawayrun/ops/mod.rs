//! Operators' commands and the resource API.
