//! Which gateways have told their sessions of an open roll-out.
//!
//! A session may have begun at any gateway before the roll-out. Once all have told
//! which sessions they keep on the old version, a session that none of them names is
//! new and may start on the new version. Otherwise it would take the longest pause
//! of a session until that is known, which may be most of the canary phase.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

use super::rollout::OrderId;

/// Time after its last report after which a gateway is not waited for. Longer than
/// a round of reports among four hundred gateways.
pub const WAIT_TTL: Duration = Duration::from_secs(3);

/// Gateways that have told their sessions, by service and order.
#[derive(Debug, Default)]
pub struct SessionLists {
    told: FxHashMap<CompactString, (OrderId, FxHashSet<SocketAddr>)>,
}

impl SessionLists {
    /// Records that a gateway has told all its sessions of a roll-out.
    pub fn record(&mut self, service: &str, order: OrderId, from: SocketAddr) {
        let (known, told) = self.told.entry(service.into()).or_default();
        if *known < order {
            *known = order;
            told.clear();
        }
        if *known == order {
            told.insert(from);
        }
    }

    /// Returns true if all of `others` have told their sessions.
    pub fn are_complete(
        &self,
        service: &str,
        order: OrderId,
        mut others: impl Iterator<Item = SocketAddr>,
    ) -> bool {
        let told = self.told.get(service);
        let told = told.filter(|(known, _)| *known == order);
        others.all(|other| told.is_some_and(|(_, told)| told.contains(&other)))
    }
}
