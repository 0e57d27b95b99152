//! Generates `src/carawayrun/peer/message.rs` from `proto/peer.proto`.
//!
//! Run it in the workspace root after changing the schema. Its output is
//! committed, so that building carawayrun does not run it.

use std::error::Error;

const SCHEMA: &str = "proto/peer.proto";
const INCLUDES: &str = "proto";
const OUT_DIR: &str = "src/carawayrun/peer";
/// Named by `prost_build` after the package of the schema.
const GENERATED_FILE: &str = "src/carawayrun/peer/carawayrun.peer.rs";
const OUTPUT_FILE: &str = "src/carawayrun/peer/message.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let schema = protox::compile([SCHEMA], [INCLUDES])?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(OUT_DIR)
        .compile_fds(schema)?;
    std::fs::rename(GENERATED_FILE, OUTPUT_FILE)?;
    Ok(())
}
