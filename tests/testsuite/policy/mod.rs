//! Tests of the decision logic in `carawayrun::policy`.

mod evaluation;
mod limits;
mod plan;
mod pools;
mod world;
