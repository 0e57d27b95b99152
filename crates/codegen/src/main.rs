//! Writes `src/carawayrun/peer/message.rs` from `proto/peer.proto`.
//!
//! Run it from the workspace root after a change of the schema. The build of
//! the product does not need it, since its output is committed.

use std::error::Error;

const SCHEMA: &str = "proto/peer.proto";
const INCLUDES: &str = "proto";
const OUT_DIR: &str = "src/carawayrun/peer";
/// The generator names its file after the package of the schema.
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
