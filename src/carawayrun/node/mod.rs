//! A running process: threads, sockets and the loop around the reducer.
//!
//! [`spawn`] starts the control thread and returns a [`Handle`], by which the
//! traffic threads see the control state and post events to it.

mod claim_tickets;
mod counters;
mod handle;
mod run;
mod settings;
mod spawn;

pub use self::counters::Counters;
pub use self::handle::{ClaimReply, Handle};
pub use self::settings::{NodeSettings, PlatformSettings};
pub use self::spawn::{SpawnError, spawn};
