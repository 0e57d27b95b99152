//! Replication of the configuration to this node.
//!
//! A node takes a newer generation from the table service or from any peer, and
//! never an older one. Every envelope carries its sender's generation, so a
//! node that is behind notices it with the next message and requests the
//! changes from that peer; the node that accepts a change forwards it at once.
//! The table service is polled too, so that replication does not depend on the
//! peers alone; the polls of all nodes together stay within a fixed rate.
//!
//! A node that reaches neither the table service nor a peer whose configuration
//! has been confirmed since that peer's start can't tell whether its own is the
//! newest, and takes no requests.

mod history;
mod peers;
mod store;

#[cfg(test)]
pub(in crate::control) use self::history::{Snapshot, read_snapshot, write_snapshot};

use std::sync::Arc;

use tracing::{info, warn};

use self::history::History;
use self::peers::CatchUp;
use self::store::Poll;
use super::context::Context;
use super::effect::{Component, Effect};
use super::event::Event;
use super::time::Millis;
use super::view::Admission;
use crate::peer::message::envelope::Body;
use crate::resource::{Change, Config, Resource};

/// Time after the last confirmation of the configuration at which a node stops
/// taking requests.
///
/// A change reaches connected nodes within a few seconds, and a node without
/// contact stops taking requests after this time. Both together put a change
/// into force within 15 s on every node that takes requests.
pub const STALE_AFTER: Millis = Millis(10_000);

/// Time after which a caller that is refused for a stale configuration should
/// retry.
const STALE_RETRY_AFTER: Millis = Millis(1_000);

/// Generations between two snapshots in the object store, each written by the
/// node that accepted the change. A change that this node can't apply directly
/// gets no snapshot, so the gap may be longer.
const SNAPSHOT_INTERVAL: u64 = 32;

/// Configuration component of the control state.
#[derive(Debug, Default)]
pub(super) struct ConfigFollower {
    history: History,
    poll: Poll,
    catch_up: CatchUp,
    fresh_until: Option<Millis>,
    stale: bool,
    snapshot_requested: bool,
}

impl ConfigFollower {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::Tick => self.tick(context),
            Event::MessageReceived(envelope) => self.receive(envelope, context),
            Event::TableAnswered(ticket, result) if ticket.component == Component::Config => {
                self.handle_answer(ticket.number, result, context);
            }
            Event::ChangeAccepted(change) => self.accept_change(change, context),
            Event::GenerationSeen(generation) => self.catch_up_to(*generation, context),
            Event::SnapshotRead(body) => self.load_snapshot(body, context),
            _ => {}
        }
        self.update_freshness(context);
    }

    /// Whether the state of the configuration permits new requests.
    pub(super) fn admission(&self) -> Admission {
        if self.stale || self.fresh_until.is_none() {
            Admission::Closed {
                code: "stale_configuration",
                retry_after_ms: STALE_RETRY_AFTER.0,
            }
        } else {
            Admission::Open
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if !self.snapshot_requested {
            self.snapshot_requested = true;
            context.effects.push(Effect::ReadSnapshot);
        }
        self.tick_poll(context);
        self.tick_catch_up(context);
    }

    fn accept_change(&mut self, change: &Change, context: &mut Context) {
        if !self.apply_change(change, context) {
            self.catch_up_to(change.generation, context);
            return;
        }
        self.push_latest(context);
        if change.generation.is_multiple_of(SNAPSHOT_INTERVAL) {
            let snapshot = self.history.snapshot(&context.config);
            context.effects.push(Effect::WriteSnapshot(snapshot));
        }
    }

    // Applies `change` if it is the next one; false if it is any other.
    fn apply_change(&mut self, change: &Change, context: &mut Context) -> bool {
        if change.generation != context.config.generation + 1 {
            return false;
        }
        let next = context.config.with_change(change);
        self.history.push(change);
        install_config(next, context);
        true
    }

    // Installs a complete configuration if it is newer.
    fn install_snapshot(
        &mut self,
        generation: u64,
        resources: &[Resource],
        context: &mut Context,
    ) -> bool {
        if generation <= context.config.generation {
            return false;
        }
        self.history.clear();
        let next = context
            .config
            .with_unchecked_resources(generation, resources);
        install_config(next, context);
        true
    }

    fn update_freshness(&mut self, context: &mut Context) {
        let fresh_until = context
            .confirmed_at
            .map(|confirmed| confirmed + STALE_AFTER);
        if fresh_until != self.fresh_until {
            context.view_changed |= self.fresh_until.is_none();
            self.fresh_until = fresh_until;
            context
                .effects
                .extend(fresh_until.map(Effect::SetFreshUntil));
        }
        let stale = fresh_until.is_some_and(|until| context.now > until);
        if stale != self.stale {
            self.stale = stale;
            context.view_changed = true;
            context.publish_now = true;
            let generation = context.config.generation;
            warn!(name: "config.stale", stale, generation);
        }
    }

    fn load_snapshot(&mut self, body: &[u8], context: &mut Context) {
        match history::read_snapshot(body) {
            Ok(snapshot) => {
                self.install_snapshot(snapshot.generation, &snapshot.resources, context);
            }
            Err(error) => warn!(name: "config.snapshot_unusable", %error),
        }
    }

    // Forwards the latest change to a few members, which forward it in turn.
    fn push_latest(&mut self, context: &mut Context) {
        let changes = self
            .history
            .after(context.config.generation.saturating_sub(1));
        let body = Body::ConfigChanges(changes.unwrap_or_default());
        for key in peers::push_targets(context) {
            peers::send(key, body.clone(), context);
        }
    }
}

fn install_config(next: Config, context: &mut Context) {
    info!(name: "config.in_force", generation = next.generation);
    context.config = Arc::new(next);
    context.members.set_generation(context.config.generation);
    context.view_changed = true;
    context.publish_now = true;
}
