//! The control state of one process.

use std::sync::Arc;

use compact_str::CompactString;

use super::TICK;
use super::burn::BurnCounts;
use super::cancel;
use super::claims::Claims;
use super::context::{Context, Lifecycle};
use super::effect::{Effect, Effects};
use super::event::Event;
use super::evidence::Evidence;
use super::follow::ConfigFollower;
use super::ledger::Ledger;
use super::member::{Membership, agent_views, member_views};
use super::orders::EngineOrders;
use super::rollout::Rollouts;
use super::share::LimitShares;
use super::time::Millis;
use super::unbilled::UnbilledUsage;
use super::view::{Admission, View};
use super::work::Leases;
use crate::peer::NodeId;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives callers' requests.
    Gateway,
    /// Serves one upstream.
    Agent,
}

/// Identity of this process, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name and incarnation.
    pub node: NodeId,
    /// Its role.
    pub role: Role,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port of its nng listener, as peers reach it.
    pub peer_addr: CompactString,
    /// host:port of its HTTP listener, as gateways reach it; empty for
    /// gateways.
    pub http_addr: CompactString,
    /// Name of the upstream that it serves; empty for gateways.
    pub upstream: CompactString,
}

/// The control state, with one field for each component.
#[derive(Debug)]
pub struct State {
    context: Context,
    membership: Membership,
    follower: ConfigFollower,
    leases: Leases,
    last_publish: Option<Millis>,
    claims: Claims,
    ledger: Ledger,
    unbilled: UnbilledUsage,
    orders: EngineOrders,
    burn: BurnCounts,
    evidence: Evidence,
    rollouts: Rollouts,
    limit_shares: LimitShares,
}

impl State {
    /// Creates the state of a process before its first event.
    ///
    /// `seed` seeds all random choices.
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            context: Context::new(identity, seed),
            membership: Membership::default(),
            follower: ConfigFollower::default(),
            leases: Leases::default(),
            last_publish: None,
            claims: Claims::default(),
            ledger: Ledger::default(),
            unbilled: UnbilledUsage::default(),
            orders: EngineOrders::default(),
            burn: BurnCounts::default(),
            evidence: Evidence::default(),
            rollouts: Rollouts::default(),
            limit_shares: LimitShares::default(),
        }
    }

    /// Handles one event and returns its effects.
    pub fn apply(&mut self, event: &Event, now: Millis) -> Effects {
        self.context.now = now;
        self.dispatch(event);
        if self.is_publishing_due() {
            self.publish();
        }
        std::mem::take(&mut self.context.effects)
    }

    /// The context that the components share, for tests and measurements.
    pub fn context(&self) -> &Context {
        &self.context
    }

    #[cfg(test)]
    pub(super) fn ledger_view(&self) -> super::view::LedgerView {
        self.ledger.view()
    }

    #[cfg(test)]
    pub(super) fn ledger_admission(&self) -> Admission {
        self.ledger.admission()
    }

    // Passes the event to each component in turn; a component ignores events
    // that it does not handle. A request to stop first sets the lifecycle and
    // forces a new view to be published.
    fn dispatch(&mut self, event: &Event) {
        if matches!(event, Event::StopRequested) {
            self.context.lifecycle = Lifecycle::Stopping;
            self.context.publish_now = true;
        }
        self.membership.handle(event, &mut self.context);
        self.follower.handle(event, &mut self.context);
        self.leases.handle(event, &mut self.context);
        self.claims.handle(event, &mut self.context);
        self.ledger.handle(event, &mut self.context);
        cancel::handle(event, &mut self.context);
        self.unbilled.handle(event, &mut self.context);
        self.orders.handle(event, &mut self.context);
        self.burn.handle(event, &mut self.context);
        self.evidence.handle(event, &mut self.context);
        self.rollouts
            .handle(event, &self.evidence, &mut self.leases, &mut self.context);
        self.limit_shares.handle(event, &mut self.context);
    }

    // Combines changes within one tick into one view, unless one is urgent.
    fn is_publishing_due(&self) -> bool {
        let interval_passed = |last| self.context.now.since(last) >= TICK;
        let changed = self.context.view_changed && self.last_publish.is_none_or(interval_passed);
        changed || self.context.publish_now
    }

    fn publish(&mut self) {
        self.context.view_changed = false;
        self.context.publish_now = false;
        self.last_publish = Some(self.context.now);
        let view = View {
            node: self.context.identity.node.clone(),
            config: Arc::clone(&self.context.config),
            agents: agent_views(&self.context),
            shares: self.limit_shares.views(&self.context),
            rollouts: self.rollouts.views(&self.context),
            suspended: self.rollouts.suspended(&self.context),
            admission: self.admission(),
            members: member_views(&self.context),
            estimates: self.evidence.estimates(),
            ledger: self.ledger.view(),
            burn: self.burn.sums(),
        };
        self.context
            .effects
            .push(Effect::PublishView(Arc::new(view)));
    }

    pub(super) fn admission(&self) -> Admission {
        if self.context.lifecycle != Lifecycle::Running {
            return Admission::Closed {
                code: "draining",
                retry_after_ms: 0,
            };
        }
        let parts = [
            self.follower.admission(),
            self.ledger.admission(),
            self.unbilled.admission(),
        ];
        let closed = parts.into_iter().find(|part| *part != Admission::Open);
        closed.unwrap_or(Admission::Open)
    }
}
