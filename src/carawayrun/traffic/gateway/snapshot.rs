//! The state that plans and choices of upstreams are based on, rebuilt when the
//! view changes.

use std::sync::Arc;

use crate::control::View;
use crate::policy::{Pools, Split};

/// A view with the pools and traffic splits derived from it.
#[derive(Debug)]
pub(super) struct RoutingSnapshot {
    pub(super) view: Arc<View>,
    pub(super) pools: Pools,
    pub(super) splits: Vec<Split>,
}

impl RoutingSnapshot {
    pub(super) fn new(view: Arc<View>) -> Self {
        Self {
            pools: view.pools(),
            splits: view.splits(),
            view,
        }
    }
}
