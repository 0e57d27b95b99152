//! Changes from peers and to peers.

use super::{Follow, history};
use crate::control::context::Context;
use crate::control::member::{Member, MemberKey};
use crate::control::time::Millis;
use crate::peer::message::envelope::Body;
use crate::peer::message::{ConfigChanges, ConfigWant, Envelope};
use tracing::warn;

/// Time after which changes that did not come are asked for again.
const WANT_TIMEOUT: Millis = Millis(500);

/// Number of members that a new change is pushed to.
const PUSH_FANOUT: usize = 3;

/// Most changes in one message that are passed on; more mean catching up,
/// which concerns nobody else.
const MAX_PUSHED: u64 = 4;

/// What this node is after.
#[derive(Debug, Default)]
pub(super) struct Wanted {
    /// Newest generation that is known to exist.
    pub(super) newest: u64,
    asked: Option<Millis>,
}

impl Follow {
    pub(super) fn receive(&mut self, envelope: &Envelope, context: &mut Context) {
        match &envelope.body {
            Some(Body::ConfigWant(want)) => self.serve(want.from, envelope, context),
            Some(Body::ConfigChanges(changes)) => self.take_changes(changes, context),
            _ => {}
        }
        self.wanted.newest = self.wanted.newest.max(envelope.generation);
        if self.is_behind(context) && self.may_ask(context) {
            self.ask(&envelope.reply_addr.as_str().into(), context);
        }
    }

    /// Goes after `generation`, at the table service and at the peers.
    pub(super) fn wish(&mut self, generation: u64, context: &mut Context) {
        self.wanted.newest = self.wanted.newest.max(generation);
        if self.is_behind(context) {
            self.poll_soon(context);
            self.ask_somebody(context);
        }
    }

    pub(super) fn tick_wanted(&mut self, context: &mut Context) {
        if self.is_behind(context) && self.may_ask(context) {
            self.ask_somebody(context);
        }
    }

    fn is_behind(&self, context: &Context) -> bool {
        self.wanted.newest > context.config.generation
    }

    fn may_ask(&self, context: &Context) -> bool {
        let waited = |asked| context.now.since(asked) >= WANT_TIMEOUT;
        self.wanted.asked.is_none_or(waited)
    }

    fn ask_somebody(&mut self, context: &mut Context) {
        let generation = context.config.generation;
        let newer = |member: &Member| member.generation > generation;
        let chosen = context.members.sample(&mut context.rng, 1, newer);
        let addr = chosen
            .first()
            .and_then(|key| context.members.get(*key))
            .map(|member| member.peer_addr.clone());
        if let Some(addr) = addr {
            self.ask(&addr, context);
        }
    }

    fn ask(&mut self, addr: &compact_str::CompactString, context: &mut Context) {
        self.wanted.asked = Some(context.now);
        let from = context.config.generation;
        context.send(addr, Body::ConfigWant(ConfigWant { from }));
    }

    fn serve(&mut self, from: u64, envelope: &Envelope, context: &mut Context) {
        if from >= context.config.generation {
            return;
        }
        let kept = self.history.after(from);
        let changes = kept.unwrap_or_else(|| ConfigChanges {
            changes: Vec::new(),
            snapshot: self.history.snapshot(&context.config),
        });
        context.send(
            &envelope.reply_addr.as_str().into(),
            Body::ConfigChanges(changes),
        );
    }

    fn take_changes(&mut self, changes: &ConfigChanges, context: &mut Context) {
        let before = context.config.generation;
        if !changes.snapshot.is_empty() {
            self.take_snapshot(&changes.snapshot, context);
        }
        for change in &changes.changes {
            if change.generation <= context.config.generation {
                continue;
            }
            match history::read_change(change) {
                Ok(read) if read.generation == change.generation => {
                    self.apply(&read, context);
                }
                Ok(_) => warn!(name: "config.change_unusable", generation = change.generation),
                Err(error) => warn!(name: "config.change_unusable", %error),
            }
        }
        let gained = context.config.generation - before;
        if gained > 0 {
            self.wanted.asked = None;
        }
        if (1..=MAX_PUSHED).contains(&gained) && changes.snapshot.is_empty() {
            self.push_latest(context);
        }
    }
}

/// The members that a new change is pushed to: those not known to have it.
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
