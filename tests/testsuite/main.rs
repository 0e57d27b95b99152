//! Tests of the whole product.

mod burn;
mod policy;
mod resources;
mod writing;
