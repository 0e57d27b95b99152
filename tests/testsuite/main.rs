//! Tests of the whole product.

mod burn;
mod control;
mod policy;
mod resources;
mod writing;
