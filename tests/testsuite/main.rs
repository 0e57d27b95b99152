//! Tests of the whole product.

mod burn;
mod commands;
mod openapi;
mod policy;
mod resources;
mod writing;
