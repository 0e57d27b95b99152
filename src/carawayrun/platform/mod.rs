//! Adapter to the users' platform: translates its settings file, its store's
//! calls and rows, the headers of requests and answers, and load reports.
//!
//! This module makes no decisions. What the platform calls machine, zone, tenant
//! and server (or back end) is host, data centre, team and upstream in the rest of
//! the program. The `backends` of a route in the configuration are services.

mod config;
#[cfg(test)]
mod config_tests;
mod evacuation;
mod headers;
mod number;
mod registrations;
mod report;
mod rollout;
mod settings;
mod store;
#[cfg(test)]
mod tests;
mod time;

pub use self::config::{ConfigError, parse_catalog};
pub(crate) use self::evacuation::evacuated_data_centre;
pub use self::headers::{
    InboundRequest, OutboundHeaders, answer_headers, parse_answer, parse_request, refusal_headers,
    request_id, upstream_request,
};
pub use self::registrations::{RegistrationError, parse_registration};
pub use self::report::{health_request, parse_report, report_request};
pub(crate) use self::rollout::order_service;
pub use self::rollout::{parse_order, put_transaction, rollout_transaction};
pub use self::settings::{SettingsError, load_settings};
pub use self::store::{Keyspace, StoreClient};
