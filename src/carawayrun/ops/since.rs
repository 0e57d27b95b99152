//! Since when a condition has been as it is, as one gateway saw it.

use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::api::ConditionView;
use super::clock::now_text;
use crate::resource::{Kind, Resource};

/// Most conditions that are remembered; beyond it all times start anew.
const CAPACITY: usize = 65_536;

/// Times of the last change of conditions, shared by the listener's threads.
///
/// A condition is looked at when it is read, so its time is that of the first
/// read after the change.
#[derive(Debug, Clone, Default)]
pub(super) struct SinceTimes {
    seen: Arc<Mutex<FxHashMap<ConditionId, Seen>>>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct ConditionId {
    kind: Kind,
    resource: CompactString,
    condition: CompactString,
}

#[derive(Debug)]
struct Seen {
    reason: CompactString,
    since: CompactString,
}

impl SinceTimes {
    pub(super) fn since(&self, resource: &Resource, condition: &ConditionView) -> CompactString {
        let id = ConditionId {
            kind: resource.kind,
            resource: resource.metadata.name.clone(),
            condition: condition.name.clone(),
        };
        let mut seen = self
            .seen
            .lock()
            .expect("no thread panics while it holds the times");
        match seen.get(&id) {
            Some(before) if before.reason == condition.reason => before.since.clone(),
            _ => {
                let since = now_text();
                if seen.len() >= CAPACITY {
                    seen.clear();
                }
                seen.insert(
                    id,
                    Seen {
                        reason: condition.reason.clone(),
                        since: since.clone(),
                    },
                );
                since
            }
        }
    }
}
