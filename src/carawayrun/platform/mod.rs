//! Adapter to the users' platform: translates its settings file, its store's
//! calls and rows, and the headers of requests, answers and upstreams.
//!
//! Nothing here decides. What the platform calls machine, zone, tenant and back
//! end is host, data centre, team and upstream in the rest of the program.

mod config;
mod headers;
mod report;
mod rollout;
mod servers;
mod settings;
mod store;
#[cfg(test)]
mod tests;

pub use self::config::{ConfigError, catalog};
pub use self::headers::{
    Inbound, Outbound, answer, answer_headers, inbound, outbound, refusal_headers,
};
pub use self::report::{read_report, report_request};
pub(crate) use self::rollout::ordered_service;
pub use self::rollout::{note, order, status};
pub use self::servers::{RegistrationError, upstream};
pub use self::settings::{SettingsError, load};
pub use self::store::{Keyspace, StoreClient};
