//! Tests of the whole product.
//!
//! The modules that start real processes build a small world with
//! `support::WorldBuilder`, let callers and operators work against it while
//! faults strike, and check the history of what everyone saw.

mod support;

mod answers;
mod billing;
mod broken_off;
mod burn;
mod commands;
mod configuration;
mod control;
mod crowds;
mod deadly;
mod departing;
mod draining;
mod drawn;
mod early;
mod evacuated;
mod flooded;
mod hosts;
mod interrupted;
mod joined;
mod kept;
mod large_config;
mod leaving;
mod limits;
mod odd_config;
mod odd_rows;
mod offered;
mod once;
mod openapi;
mod operating;
mod path;
mod paused;
mod pipelined;
mod platform;
mod policy;
mod reloaded;
mod repeated;
mod resources;
mod restarted;
mod resting;
mod restored;
mod retries;
mod rollouts;
mod sessions;
mod silenced;
mod slow_peers;
mod soak;
mod stopping;
mod unframed;
mod waiting;
mod writing;
