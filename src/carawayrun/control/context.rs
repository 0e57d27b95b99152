//! Context shared by the components of the control state.

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

/// Lifecycle of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// In normal operation.
    Running,
    /// Draining before it stops.
    Stopping,
    /// Replaced by a later incarnation of its name; takes no new requests.
    Superseded,
}

/// Context that all components share while one event is handled.
#[derive(Debug)]
pub struct Context {
    /// This process.
    pub identity: Identity,
    /// The time of the event.
    pub now: Millis,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// All known members, including this process.
    pub members: Directory,
    /// Latest time at which the configuration is known to have been the newest:
    /// when the read of the table service that confirmed it was sent, or the
    /// ping to a peer whose configuration has been confirmed since its start.
    /// Once set, it is never reset to `None`.
    pub confirmed_at: Option<Millis>,
    /// Lifecycle of this process.
    pub lifecycle: Lifecycle,
    /// Effects of the event so far.
    pub effects: Effects,
    /// Set by a component whose part of the view changed.
    pub view_changed: bool,
    /// Set by a component whose change of the view must be published at once.
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

    /// Builds an envelope from this process with `body`.
    pub(crate) fn envelope(&self, body: Option<Body>) -> Envelope {
        Envelope {
            sender: Some((&self.identity.node).into()),
            reply_addr: self.identity.peer_addr.to_string(),
            generation: self.config.generation,
            members: Vec::new(),
            // Confirmed at least once since the start; stays true.
            confirmed: self.confirmed_at.is_some(),
            in_force: None,
            body,
        }
    }

    /// Queues an envelope for the node that listens on `addr`; does nothing if
    /// `addr` is empty.
    pub(crate) fn send_envelope(&mut self, addr: &CompactString, envelope: Envelope) {
        if addr.is_empty() {
            return;
        }
        let effect = Effect::Send(addr.clone(), Box::new(envelope));
        self.effects.push(effect);
    }

    /// Queues a message body for the node that listens on `addr`.
    pub(crate) fn send(&mut self, addr: &CompactString, body: Body) {
        let envelope = self.envelope(Some(body));
        self.send_envelope(addr, envelope);
    }
}
