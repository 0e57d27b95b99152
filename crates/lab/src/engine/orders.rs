//! Orders to load and unload versions.

use serde::{Deserialize, Serialize};

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Action {
    Load,
    Unload,
}

/// Order for the engine, as received.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Order {
    pub(crate) fence: u64,
    pub(crate) action: Action,
    pub(crate) version: String,
}

/// Loaded versions, accepted orders and the highest fencing number so far.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) loaded: Vec<String>,
    pub(crate) accepted: Vec<Order>,
    fence: u64,
}

impl Orders {
    pub(crate) fn new(loaded: Vec<String>) -> Self {
        Self {
            loaded,
            ..Self::default()
        }
    }

    /// Accepts an order unless its fencing number is outdated. The error is the
    /// highest fencing number so far.
    pub(crate) fn accept(&mut self, order: &Order, ignore_fencing: bool) -> Result<(), u64> {
        if order.fence < self.fence && !ignore_fencing {
            return Err(self.fence);
        }
        self.fence = self.fence.max(order.fence);
        self.accepted.push(order.clone());
        Ok(())
    }

    pub(crate) fn load(&mut self, version: &str) {
        if !self.is_loaded(version) {
            self.loaded.push(version.to_owned());
        }
    }

    pub(crate) fn unload(&mut self, version: &str) {
        self.loaded.retain(|loaded| loaded != version);
    }

    pub(crate) fn is_loaded(&self, version: &str) -> bool {
        self.loaded.iter().any(|loaded| loaded == version)
    }
}
