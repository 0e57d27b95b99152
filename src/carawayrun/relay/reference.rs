//! What a roll-out's row keeps of the outcomes of the old versions.
//!
//! Gateways keep outcomes in memory only. If all of them are restarted after traffic
//! has moved, nothing else tells how often requests of the service usually fail.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, Outcomes};
use super::route_test::MIN_REFERENCE;
use super::tally::{RouteDigest, Tally};

/// Outcomes of the old versions since the order, in whole numbers, which survive being
/// written and read unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Reference {
    answered: u32,
    failed: u32,
    slow: u32,
    timed: u32,
    late: u32,
    routes: BTreeMap<u32, RouteReference>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteReference {
    answered: u32,
    failed: u32,
    times: Vec<u32>,
}

impl Reference {
    /// Returns the outcomes of the old versions; `None` if they are too few to compare with.
    pub fn of(evidence: &Evidence) -> Option<Self> {
        let old = &evidence.outcomes.all.old;
        if old.answered < MIN_REFERENCE {
            return None;
        }
        let largest = evidence.routes.largest();
        let routes = largest.routes.iter().map(|(route, tallies)| {
            let old = &tallies.all.old;
            let reference = RouteReference {
                answered: whole(old.answered),
                failed: whole(old.failed),
                times: old.times.iter().copied().map(whole).collect(),
            };
            (route.0, reference)
        });
        Some(Self {
            answered: whole(old.answered),
            failed: whole(old.failed),
            slow: whole(old.slow),
            timed: whole(old.timed),
            late: whole(old.late),
            routes: routes.collect(),
        })
    }

    /// Takes the place of the outcomes of the old versions in `evidence` if these are too
    /// few to compare with.
    pub fn complete(&self, evidence: &mut Evidence) {
        let old = &mut evidence.outcomes.all.old;
        if old.answered >= MIN_REFERENCE {
            return;
        }
        *old = Outcomes {
            answered: self.answered.into(),
            failed: self.failed.into(),
            slow: self.slow.into(),
            timed: self.timed.into(),
            late: self.late.into(),
        };
        for (route, reference) in &self.routes {
            let mut old = Tally {
                answered: reference.answered.into(),
                failed: reference.failed.into(),
                ..Tally::default()
            };
            for (bin, count) in old.times.iter_mut().zip(&reference.times) {
                *bin = f64::from(*count);
            }
            let tallies = evidence.routes.routes.entry(RouteDigest(*route));
            tallies.or_default().all.old = old;
        }
    }
}

fn whole(count: f64) -> u32 {
    count.round() as u32
}
