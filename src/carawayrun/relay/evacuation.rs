//! Data centres that operators order out of service.
//!
//! Load pattern: a third of the upstreams goes away within seconds, and the others get its
//! requests with caches that lack their prompts. The share of the data centre falls to
//! zero well before the bound, so that the others fill their caches meanwhile and relays
//! that learn of the order late keep it too.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::rollout::OrderId;

/// Fraction of the bound at which nothing more is sent. Half of the bound is left for the
/// wait of a chosen request for its connection (0.3 s), a late thread and a link where
/// packets wait. A relay that reads the order later than this sends nothing from the read
/// on: the age of its knowledge is at most two calls without an answer (1.5 s and 0.9 s)
/// and the longest pause between calls (2.25 s), which is less than the bound of 5 s.
const EMPTY_FRACTION: f64 = 0.5;

/// A data centre that is ordered out of service. Times are on the boot clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: CompactString,
    /// The order.
    pub id: OrderId,
    /// Time at which this gateway read it first.
    pub read_at: Duration,
    /// Time at which it was known not to be there yet; `None` if that can't be told.
    pub ordered_after: Option<Duration>,
}

impl Evacuation {
    /// Share of its usual requests that the data centre gets at `now`, 0 to 1. `limit` is
    /// the time after the order from which it must get none.
    pub fn share(&self, limit: Duration, now: Duration) -> f64 {
        let empty_at = self
            .ordered_after
            .map(|at| at + limit.mul_f64(EMPTY_FRACTION));
        let Some(empty_at) = empty_at.filter(|at| now < *at) else {
            return 0.0;
        };
        let left = empty_at.saturating_sub(now);
        let whole = empty_at.saturating_sub(self.read_at);
        left.div_duration_f64(whole).min(1.0)
    }
}

/// A data centre that is out of service, as a gateway shows it to operators.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EvacuatedDataCentre {
    /// The data centre.
    pub data_centre: CompactString,
    /// Version of the order's row.
    pub row_version: u64,
    /// Restores of the store before the row was read.
    pub era: u64,
    /// Time since this gateway read the order first.
    pub since_ms: u64,
    /// Age of the last confirmation that the order stands.
    pub confirmed_ms: u64,
    /// Share of its usual requests that this gateway sends there.
    pub share: f64,
    /// Gateways that hold the same orders, with this one.
    pub gateways: u32,
    /// Gateways that this one hears of, with itself.
    pub known_gateways: u32,
    /// Upstreams there.
    pub upstreams: u32,
    /// Requests of all gateways that run there.
    pub running: u32,
}
