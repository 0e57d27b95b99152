//! Times at which this gateway observed conditions of resources change.

use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::api::ConditionView;
use super::clock::now_rfc3339;
use crate::resource::{Kind, Resource};

/// Maximum number of conditions tracked; at the limit all times are reset.
const MAX_CONDITIONS: usize = 65_536;

/// Times of the last transitions of conditions, shared by the listener's
/// threads.
///
/// Conditions are evaluated only when they are read, so the time of a
/// transition is that of the first read after it.
#[derive(Debug, Clone, Default)]
pub(super) struct ConditionTimes {
    transitions: Arc<Mutex<FxHashMap<ConditionId, Transition>>>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct ConditionId {
    kind: Kind,
    resource: CompactString,
    condition: CompactString,
}

#[derive(Debug)]
struct Transition {
    reason: CompactString,
    since: CompactString,
}

impl ConditionTimes {
    /// Returns the time at which the reason of `condition` last changed.
    pub(super) fn transition_time(
        &self,
        resource: &Resource,
        condition: &ConditionView,
    ) -> CompactString {
        let id = ConditionId {
            kind: resource.kind,
            resource: resource.metadata.name.clone(),
            condition: condition.name.clone(),
        };
        let mut transitions = self
            .transitions
            .lock()
            .expect("no thread panics while it holds the lock");
        match transitions.get(&id) {
            Some(before) if before.reason == condition.reason => before.since.clone(),
            _ => {
                let since = now_rfc3339();
                if transitions.len() >= MAX_CONDITIONS {
                    transitions.clear();
                }
                transitions.insert(
                    id,
                    Transition {
                        reason: condition.reason.clone(),
                        since: since.clone(),
                    },
                );
                since
            }
        }
    }
}
