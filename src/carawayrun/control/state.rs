//! The control state of one process.

use std::sync::Arc;

use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::claims::Claims;
use super::effect::{Effect, Effects};
use super::event::Event;
use super::time::Millis;
use super::view::{Admission, View};
use crate::peer::NodeId;
use crate::policy::Estimates;
use crate::resource::Config;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes callers' requests.
    Gateway,
    /// Stands before one upstream.
    Agent,
}

/// Who this process is, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// This life.
    pub node: NodeId,
    /// What it does.
    pub role: Role,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// host:port of its nng listener, as peers reach it.
    pub peer_addr: CompactString,
    /// host:port of its HTTP listener, as gateways reach it; empty for gateways.
    pub http_addr: CompactString,
    /// Name of the upstream it stands before; empty for gateways.
    pub upstream: CompactString,
}

/// What all concerns share while one event is handled.
#[derive(Debug)]
pub struct Context {
    /// This process.
    pub identity: Identity,
    /// The time of the event.
    pub now: Millis,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Effects of the event so far.
    pub out: Effects,
    /// Set by a concern whose part of the view changed.
    pub changed: bool,
    /// Source of all random choices.
    pub rng: SmallRng,
}

/// The control state: one field per concern.
#[derive(Debug)]
pub struct State {
    context: Context,
    claims: Claims,
}

impl State {
    /// The state at the start of a process, before its first event.
    ///
    /// `seed` feeds all random choices.
    pub fn new(identity: Identity, seed: u64) -> Self {
        let context = Context {
            identity,
            now: Millis(0),
            config: Arc::new(Config::empty()),
            out: Effects::new(),
            changed: true,
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            context,
            claims: Claims::default(),
        }
    }

    /// Handles one event and returns what is to be done.
    pub fn apply(&mut self, event: Event, now: Millis) -> Effects {
        self.context.now = now;
        self.dispatch(event);
        self.publish();
        std::mem::take(&mut self.context.out)
    }

    // Each concern looks at the event in turn and ignores what is not its own.
    fn dispatch(&mut self, event: Event) {
        self.claims.handle(&event, &mut self.context);
        drop(event);
    }

    fn publish(&mut self) {
        if !std::mem::take(&mut self.context.changed) {
            return;
        }
        let view = View {
            node: self.context.identity.node.clone(),
            config: Arc::clone(&self.context.config),
            agents: Vec::new(),
            shares: rustc_hash::FxHashMap::default(),
            rollouts: Vec::new(),
            suspended: Vec::new(),
            estimates: Arc::new(Estimates::default()),
            admission: Admission::Open,
            members: Vec::new(),
            ledger: super::view::LedgerView::default(),
        };
        self.context.out.push(Effect::Publish(Arc::new(view)));
    }
}
