//! The callers' side: takes requests and is responsible for their outcome.
