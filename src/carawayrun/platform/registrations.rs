//! Parses the registrations of upstreams from their rows in the store.

use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

use super::number::Number;
use super::time::from_millis;
use crate::relay::control::Registration;
use crate::relay::view::Upstream;
use crate::store::table::Row;

/// Why a registration can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum RegistrationError {
    /// A field is missing or of another type.
    #[snafu(display("registration {key}: {source}"))]
    Malformed {
        /// Name of the registration.
        key: CompactString,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The state is neither `ready` nor `draining`.
    #[snafu(display("registration {key}: unknown state `{state}`"))]
    UnknownState {
        /// Name of the registration.
        key: CompactString,
        /// State in the row.
        state: CompactString,
    },
}

#[derive(Deserialize)]
struct WireServer {
    service: CompactString,
    address: SocketAddr,
    zone: CompactString,
    version: CompactString,
    /// Requests that run at once, not the size of a batch in tokens.
    batch_slots: Number,
    /// `ready` or `draining`.
    state: CompactString,
    /// Number of writes by this process.
    sequence: Option<Number>,
    /// Start of the process, in milliseconds since the Unix epoch.
    born: Option<Number>,
    /// Time for which it stays cold.
    warmup_left_ms: Option<Number>,
}

/// Parses a registration.
///
/// # Errors
///
/// [`RegistrationError`] if the row is no usable registration.
pub fn parse_registration(row: &Row) -> Result<Registration, RegistrationError> {
    let key = row.key.clone();
    let wire: WireServer =
        serde_json::from_str(row.value.get()).context(MalformedSnafu { key: key.clone() })?;
    let state = wire.state;
    ensure!(
        state == "ready" || state == "draining",
        UnknownStateSnafu { key, state }
    );
    let upstream = Upstream {
        name: row.key.to_compact_string(),
        born_ms: wire.born.map_or(0, |born| born.saturated_u64()),
        service: wire.service,
        addr: wire.address,
        data_centre: wire.zone,
        version: wire.version,
        slots: wire.batch_slots.saturated_u32(),
        is_leaving: state == "draining",
    };
    Ok(Registration {
        upstream,
        sequence: wire.sequence.as_ref().map(Number::saturated_u64),
        cold_for: from_millis(wire.warmup_left_ms.map_or(0.0, |left| left.value())),
        version: row.version,
    })
}
