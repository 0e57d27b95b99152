//! Tests of the whole product.

mod policy;
mod resources;
mod writing;
