//! Exchange of configuration changes with peers.

use super::{ConfigFollower, history};
use crate::control::context::Context;
use crate::control::member::{Member, MemberKey};
use crate::control::time::Millis;
use crate::peer::message::envelope::Body;
use crate::peer::message::{ConfigChanges, ConfigWant, Envelope};
use tracing::warn;

/// Time after which changes that did not arrive are requested again.
const REQUEST_TIMEOUT: Millis = Millis(500);

/// Number of members to which a new change is pushed.
const PUSH_FANOUT: usize = 3;

/// Maximum number of generations gained from one message after which the latest
/// change is forwarded. A node that gains more is catching up on changes that
/// the other members have already.
const MAX_PUSH_GAIN: u64 = 4;

/// Progress of catching up with the newest known generation.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    /// Newest generation known to exist.
    pub(super) newest: u64,
    requested_at: Option<Millis>,
}

impl ConfigFollower {
    pub(super) fn receive(&mut self, envelope: &Envelope, context: &mut Context) {
        match &envelope.body {
            Some(Body::ConfigWant(want)) => self.send_changes(want.from, envelope, context),
            Some(Body::ConfigChanges(changes)) => self.receive_changes(changes, context),
            _ => {}
        }
        self.catch_up.newest = self.catch_up.newest.max(envelope.generation);
        if self.is_behind(context) && self.can_request(context) {
            self.request_changes(&envelope.reply_addr.as_str().into(), context);
        }
    }

    /// Catches up to `generation` from the table service and from a peer.
    pub(super) fn catch_up_to(&mut self, generation: u64, context: &mut Context) {
        self.catch_up.newest = self.catch_up.newest.max(generation);
        if self.is_behind(context) {
            self.poll_soon(context);
            self.request_from_peer(context);
        }
    }

    pub(super) fn tick_catch_up(&mut self, context: &mut Context) {
        if self.is_behind(context) && self.can_request(context) {
            self.request_from_peer(context);
        }
    }

    fn is_behind(&self, context: &Context) -> bool {
        self.catch_up.newest > context.config.generation
    }

    fn can_request(&self, context: &Context) -> bool {
        let waited = |requested_at| context.now.since(requested_at) >= REQUEST_TIMEOUT;
        self.catch_up.requested_at.is_none_or(waited)
    }

    fn request_from_peer(&mut self, context: &mut Context) {
        let generation = context.config.generation;
        let newer = |member: &Member| member.generation > generation;
        let chosen = context.members.sample(&mut context.rng, 1, newer);
        let addr = chosen
            .first()
            .and_then(|key| context.members.get(*key))
            .map(|member| member.peer_addr.clone());
        if let Some(addr) = addr {
            self.request_changes(&addr, context);
        }
    }

    fn request_changes(&mut self, addr: &compact_str::CompactString, context: &mut Context) {
        self.catch_up.requested_at = Some(context.now);
        let from = context.config.generation;
        context.send(addr, Body::ConfigWant(ConfigWant { from }));
    }

    fn send_changes(&mut self, from: u64, envelope: &Envelope, context: &mut Context) {
        if from >= context.config.generation {
            return;
        }
        let retained = self.history.after(from);
        let changes = retained.unwrap_or_else(|| ConfigChanges {
            changes: Vec::new(),
            snapshot: self.history.snapshot(&context.config),
        });
        context.send(
            &envelope.reply_addr.as_str().into(),
            Body::ConfigChanges(changes),
        );
    }

    fn receive_changes(&mut self, changes: &ConfigChanges, context: &mut Context) {
        let before = context.config.generation;
        if !changes.snapshot.is_empty() {
            self.load_snapshot(&changes.snapshot, context);
        }
        for change in &changes.changes {
            if change.generation <= context.config.generation {
                continue;
            }
            match history::read_change(change) {
                Ok(read) if read.generation == change.generation => {
                    self.apply_change(&read, context);
                }
                Ok(_) => warn!(name: "config.change_unusable", generation = change.generation),
                Err(error) => warn!(name: "config.change_unusable", %error),
            }
        }
        let gained = context.config.generation - before;
        if gained > 0 {
            self.catch_up.requested_at = None;
        }
        if (1..=MAX_PUSH_GAIN).contains(&gained) && changes.snapshot.is_empty() {
            self.push_latest(context);
        }
    }
}

/// Selects the members to which a new change is pushed, from those not known to
/// have it.
pub(super) fn push_targets(context: &mut Context) -> Vec<MemberKey> {
    let generation = context.config.generation;
    let behind = |member: &Member| member.generation < generation;
    context
        .members
        .sample(&mut context.rng, PUSH_FANOUT, behind)
}

pub(super) fn send(key: MemberKey, body: Body, context: &mut Context) {
    let addr = context
        .members
        .get(key)
        .map(|member| member.peer_addr.clone());
    if let Some(addr) = addr {
        context.send(&addr, body);
    }
}
