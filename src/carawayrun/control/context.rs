//! What the concerns of the control state share.

use std::sync::Arc;

use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::effect::{Effect, Effects};
use super::member::Directory;
use super::state::Identity;
use super::time::Millis;
use crate::peer::message::Envelope;
use crate::peer::message::envelope::Body;
use crate::resource::Config;

/// Whether a process goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It does.
    Running,
    /// It was told to stop, and drains.
    Stopping,
    /// A later life of its name exists, so it takes nothing new.
    Superseded,
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
    /// All known members, this process included.
    pub members: Directory,
    /// Latest time at which the configuration was known to be the newest: a
    /// read of the table service or a ping of a peer that knew was sent then.
    pub confirmed_at: Option<Millis>,
    /// Whether this process goes on.
    pub lifecycle: Lifecycle,
    /// Effects of the event so far.
    pub effects: Effects,
    /// Set by a concern whose part of the view changed.
    pub view_changed: bool,
    /// Set by a concern whose part of the view has to be seen at once.
    pub publish_now: bool,
    /// Source of all random choices.
    pub rng: SmallRng,
}

impl Context {
    pub(super) fn new(identity: Identity, seed: u64) -> Self {
        Self {
            members: Directory::new(&identity),
            identity,
            now: Millis(0),
            config: Arc::new(Config::empty()),
            confirmed_at: None,
            lifecycle: Lifecycle::Running,
            effects: Effects::new(),
            view_changed: true,
            publish_now: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// An envelope of this process with `body`.
    pub(crate) fn envelope(&self, body: Option<Body>) -> Envelope {
        Envelope {
            sender: Some((&self.identity.node).into()),
            reply_addr: self.identity.peer_addr.to_string(),
            generation: self.config.generation,
            members: Vec::new(),
            confirmed: self.confirmed_at.is_some(),
            in_force: None,
            body,
        }
    }

    /// Has an envelope sent to the node that listens on `addr`.
    pub(crate) fn send_envelope(&mut self, addr: &CompactString, envelope: Envelope) {
        if addr.is_empty() {
            return;
        }
        let effect = Effect::Send(addr.clone(), Box::new(envelope));
        self.effects.push(effect);
    }

    /// Has a body sent to the node that listens on `addr`.
    pub(crate) fn send(&mut self, addr: &CompactString, body: Body) {
        let envelope = self.envelope(Some(body));
        self.send_envelope(addr, envelope);
    }
}
