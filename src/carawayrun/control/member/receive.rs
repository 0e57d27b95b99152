//! Handling of received membership messages.

use super::directory::{Member, RecordOutcome, random_nonce};
use super::in_force::raise_generation;
use super::probe::RelayedPing;
use super::{Membership, UNTRACKED_NONCE, digest};
use crate::control::context::{Context, Lifecycle};
use crate::peer::message::envelope::Body;
use crate::peer::message::{self, Ack, Envelope, MemberDigest, MemberState, Ping, PingRequest};
use tracing::warn;

/// Maximum number of pending pings on behalf of other nodes.
const MAX_RELAYED_PINGS: usize = 32;

impl Membership {
    pub(super) fn receive(&mut self, envelope: &Envelope, context: &mut Context) {
        for record in &envelope.members {
            self.receive_record(record, context);
        }
        self.merge_generations(envelope, context);
        match &envelope.body {
            Some(Body::Ping(ping)) => self.answer_ping(ping.nonce, envelope, context),
            Some(Body::Ack(ack)) => self.receive_ack(ack, envelope, context),
            Some(Body::PingRequest(request)) => self.relay_ping(request, envelope, context),
            Some(Body::MemberDigest(theirs)) => self.answer_digest(theirs, envelope, context),
            _ => {}
        }
    }

    fn receive_record(&mut self, record: &message::Member, context: &mut Context) {
        match context.members.merge_record(record, context.now) {
            RecordOutcome::Unchanged => {}
            RecordOutcome::Changed(key) => {
                context.view_changed = true;
                self.gossip_queue.push(key, context.members.present_count());
            }
            RecordOutcome::ContradictsLocal => self.refute(record, context),
            RecordOutcome::Superseded => supersede(context),
        }
    }

    // Only this process raises its own version, so its record prevails.
    fn refute(&mut self, record: &message::Member, context: &mut Context) {
        let local = context.members.local_mut();
        local.version = local.version.max(record.version);
        self.raise_version(context);
    }

    fn merge_generations(&mut self, envelope: &Envelope, context: &mut Context) {
        if let Some(in_force) = &envelope.in_force {
            context.view_changed |= self.in_force.merge(&mut context.members, in_force);
        }
        let Some(sender) = &envelope.sender else {
            return;
        };
        let key = context.members.key(&sender.name);
        let Some(member) = key.and_then(|key| context.members.get_mut(key)) else {
            return;
        };
        if member.node.incarnation == sender.incarnation {
            context.view_changed |= raise_generation(member, envelope.generation);
        }
    }

    // The ack includes this node's record if the ping is an introduction to a
    // listed host, whose sender may not know this node.
    fn answer_ping(&mut self, nonce: u64, envelope: &Envelope, context: &mut Context) {
        let ack = Ack {
            nonce,
            load: context.members.local().load.clone(),
        };
        let introduce = nonce == UNTRACKED_NONCE;
        self.requeue_suspected(envelope, context);
        self.send(
            &envelope.reply_addr.as_str().into(),
            Some(Body::Ack(ack)),
            introduce,
            context,
        );
    }

    // Queues the sender's record again if it is suspected or dead, so that the
    // next ack carries it. A dead member is not pinged, so it learns only from
    // this ack that it is considered dead, and refutes it.
    fn requeue_suspected(&mut self, envelope: &Envelope, context: &mut Context) {
        let name = envelope.sender.as_ref().map(|sender| sender.name.as_str());
        let Some(key) = name.and_then(|name| context.members.key(name)) else {
            return;
        };
        let is_suspected =
            |member: &Member| matches!(member.state, MemberState::Suspect | MemberState::Dead);
        if context.members.get(key).is_some_and(is_suspected) {
            self.gossip_queue.push(key, context.members.present_count());
        }
    }

    fn receive_ack(&mut self, ack: &Ack, envelope: &Envelope, context: &mut Context) {
        if ack.nonce == UNTRACKED_NONCE {
            self.schedule_sync(context);
            return;
        }
        if let Some(probe) = self.probe.filter(|probe| probe.nonce == ack.nonce) {
            self.probe = None;
            if envelope.confirmed && envelope.generation <= context.config.generation {
                context.confirmed_at = context.confirmed_at.max(Some(probe.sent));
            }
            record_load(probe.target, ack, context);
            return;
        }
        let position = self
            .relays
            .iter()
            .position(|relay| relay.nonce == ack.nonce);
        let Some(relay) = position.map(|index| self.relays.swap_remove(index)) else {
            return;
        };
        let forwarded = Ack {
            nonce: relay.origin_nonce,
            load: ack.load.clone(),
        };
        self.send(
            &relay.reply_addr,
            Some(Body::Ack(forwarded)),
            false,
            context,
        );
    }

    fn relay_ping(&mut self, request: &PingRequest, envelope: &Envelope, context: &mut Context) {
        if self.relays.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let nonce = random_nonce(&mut context.rng);
        self.relays.push(RelayedPing {
            nonce,
            origin_nonce: request.nonce,
            reply_addr: envelope.reply_addr.as_str().into(),
            sent: context.now,
        });
        let addr = request.target_addr.as_str().into();
        self.send(&addr, Some(Body::Ping(Ping { nonce })), false, context);
    }

    fn answer_digest(&mut self, theirs: &MemberDigest, envelope: &Envelope, context: &mut Context) {
        let members =
            digest::differing_records(&context.members, &theirs.buckets, &mut context.rng);
        if theirs.reply {
            self.digests_differ = !members.is_empty();
            if self.digests_differ {
                self.schedule_sync(context);
            }
        }
        if theirs.reply && members.is_empty() {
            return;
        }
        let body = (!theirs.reply).then(|| {
            Body::MemberDigest(MemberDigest {
                buckets: digest::buckets(&context.members),
                reply: true,
            })
        });
        let answer = Envelope {
            members,
            ..context.envelope(body)
        };
        context.send_envelope(&envelope.reply_addr.as_str().into(), answer);
    }
}

fn supersede(context: &mut Context) {
    if context.lifecycle != Lifecycle::Superseded {
        context.lifecycle = Lifecycle::Superseded;
        context.publish_now = true;
        warn!(name: "member.superseded", node = %context.identity.node);
    }
}

fn record_load(target: super::MemberKey, ack: &Ack, context: &mut Context) {
    let now = context.now;
    let Some(member) = context.members.get_mut(target) else {
        return;
    };
    if ack.load.is_some() && member.state != MemberState::Dead {
        member.load.clone_from(&ack.load);
        member.load_time = now;
        context.view_changed = true;
    }
}
