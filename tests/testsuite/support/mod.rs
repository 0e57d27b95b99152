//! A small world of real processes, and the histories of what they did.

mod bills;
pub(crate) mod budget;
mod caller;
mod history;
pub(crate) mod lengths;
pub(crate) mod limit;
mod manifest;
mod net;
pub(crate) mod paced;
pub(crate) mod platform;
mod process;
pub(crate) mod raw;
mod reach;
mod relay;
pub(crate) mod rest;
mod traffic;
mod world;

pub(crate) use self::caller::{Answer, Call, Caller, Ran};
pub(crate) use self::history::{CasOp, CasSpec, Recorder, Span, is_linearizable};
pub(crate) use self::manifest::{ASSOCIATION_KEY, LUZCENA_KEY, resource};
pub(crate) use self::net::{Net, unread_bytes};
pub(crate) use self::process::Process;
pub(crate) use self::relay::{Junk, Passing, Relay};
pub(crate) use self::traffic::{Exchange, Traffic};
pub(crate) use self::world::{World, WorldBuilder, eventually};

/// Milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.expect("the clock is after 1970").as_millis() as u64
}
