//! The pure policy.

mod judge;
mod limits;
mod plan;
mod pools;
mod world;
