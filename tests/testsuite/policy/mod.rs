//! The pure policy.

mod evaluation;
mod limits;
mod plan;
mod pools;
mod world;
