//! Membership by gossip, based on the SWIM protocol.
//!
//! Every node pings one other member a second. If no ack arrives, two other
//! members are asked to ping it too; if there is still no ack, the member is
//! suspected, gets no new requests, and is declared dead unless it refutes the
//! suspicion in time by raising the version of its record. A node that leaves
//! announces it. The platform's host list lags, so it only serves as a hint
//! which hosts to ping and which members are leaving.
//!
//! The number of messages of a node does not depend on the number of members,
//! except for the dissemination of changes, which grows with its logarithm.

mod digest;
mod directory;
mod gossip;
mod in_force;
mod probe;
mod receive;
mod views;

pub use self::directory::{Directory, Member, MemberKey};
pub(super) use self::views::{agent_views, member_views};

use compact_str::CompactString;
use rand::Rng;
use rand::seq::IndexedRandom;
use tracing::info;

use self::directory::random_nonce;
use self::gossip::GossipQueue;
use self::in_force::InForceTracker;
use self::probe::{Probe, ProbeOrder, RelayedPing};
use super::context::Context;
use super::event::{Event, HostEntry};
use super::time::Millis;
use crate::peer::message::envelope::Body;
use crate::peer::message::{self, Envelope, MemberDigest, MemberState, Ping, PingRequest};

/// Time between two pings of a node.
const PROBE_PERIOD: Millis = Millis(1_000);

/// Time without an ack after which other members are asked to ping the target.
const ACK_TIMEOUT: Millis = Millis(300);

/// Number of members that are asked to ping an unresponsive target.
const RELAYS_PER_PROBE: usize = 2;

/// Time between two rounds of gossip messages while records are queued.
const GOSSIP_PERIOD: Millis = Millis(200);

/// Number of members that get a gossip message in each round.
const GOSSIP_FANOUT: usize = 2;

/// Number of members to which this node announces directly that it is leaving.
const LEAVE_FANOUT: usize = 8;

/// Time from suspicion to death with ten members or fewer; grows with the
/// logarithm of their number.
const SUSPICION_TIMEOUT: Millis = Millis(1_500);

/// Time between two exchanges of digests while they agree.
const SYNC_PERIOD: Millis = Millis(10_000);

/// Time between two exchanges of digests after one that differed.
const SYNC_RETRY_PERIOD: Millis = Millis(1_000);

/// Time between two rounds of pings to listed hosts that are not members.
const JOIN_PERIOD: Millis = Millis(1_000);

/// Number of such hosts that are pinged in each round.
const JOIN_FANOUT: usize = 3;

/// Time between two sweeps for expired suspicions and old dead members.
const SWEEP_PERIOD: Millis = Millis(500);

/// Time for which a dead member's record is kept, so that late messages don't
/// revive it.
const DEAD_RETENTION: Millis = Millis(120_000);

/// Gap between two events above which this process was stopped or starved, so
/// that missing acks are no evidence against other members.
const STALL_THRESHOLD: Millis = Millis(700);

/// Nonce of introductory pings, whose acks are not matched to a probe.
const UNTRACKED_NONCE: u64 = 0;

/// Membership component of the control state.
#[derive(Debug, Default)]
pub(super) struct Membership {
    gossip_queue: GossipQueue,
    in_force: InForceTracker,
    probe_order: ProbeOrder,
    probe: Option<Probe>,
    relays: Vec<RelayedPing>,
    listed_hosts: Vec<HostEntry>,
    digests_differ: bool,
    last_event: Millis,
    next_probe: Millis,
    next_gossip: Millis,
    next_sync: Millis,
    next_join: Millis,
    next_sweep: Millis,
}

impl Membership {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        self.reset_after_stall(context);
        match event {
            Event::Tick => self.tick(context),
            Event::MessageReceived(envelope) => self.receive(envelope, context),
            Event::HostsListed(hosts) => self.update_hosts(hosts, context),
            Event::LoadChanged(load) => self.update_load(load, context),
            Event::StopRequested => self.announce_leaving(context),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        self.check_probe(context);
        if advance_if_due(&mut self.next_probe, PROBE_PERIOD, context) {
            self.start_probe(context);
        }
        if advance_if_due(&mut self.next_gossip, GOSSIP_PERIOD, context) {
            self.gossip(context);
        }
        if advance_if_due(&mut self.next_join, JOIN_PERIOD, context) {
            self.ping_unknown_hosts(context);
        }
        let sync_period = if self.digests_differ {
            SYNC_RETRY_PERIOD
        } else {
            SYNC_PERIOD
        };
        if advance_if_due(&mut self.next_sync, sync_period, context) {
            self.send_digest(context);
        }
        if advance_if_due(&mut self.next_sweep, SWEEP_PERIOD, context) {
            self.sweep(context);
        }
    }

    // After a stall of this process the pending probe is dropped and suspicions
    // start again, since acks may have been missed.
    fn reset_after_stall(&mut self, context: &mut Context) {
        let gap = context.now.since(self.last_event);
        self.last_event = context.now;
        if gap <= STALL_THRESHOLD {
            return;
        }
        self.probe = None;
        let suspects: Vec<MemberKey> = context
            .members
            .peers()
            .filter(|(_, member)| member.state == MemberState::Suspect)
            .map(|(key, _)| key)
            .collect();
        for key in suspects {
            context
                .members
                .set_state(key, MemberState::Suspect, context.now);
        }
    }

    // Ends the previous probe, suspecting its target if no ack arrived, and
    // sends the next ping.
    fn start_probe(&mut self, context: &mut Context) {
        if let Some(probe) = self.probe.take() {
            self.suspect(probe, context);
        }
        let Some(target) = self.probe_order.next(&context.members, &mut context.rng) else {
            return;
        };
        let Some(member) = context.members.get(target) else {
            return;
        };
        let (addr, incarnation) = (member.peer_addr.clone(), member.node.incarnation);
        let nonce = random_nonce(&mut context.rng);
        self.probe = Some(Probe {
            target,
            incarnation,
            nonce,
            sent: context.now,
            relayed: false,
        });
        self.send(&addr, Some(Body::Ping(Ping { nonce })), true, context);
    }

    fn check_probe(&mut self, context: &mut Context) {
        let now = context.now;
        self.relays
            .retain(|relay| now.since(relay.sent) < PROBE_PERIOD);
        let Some(probe) = self.probe.as_mut() else {
            return;
        };
        if probe.relayed || now.since(probe.sent) < ACK_TIMEOUT {
            return;
        }
        probe.relayed = true;
        let probe = *probe;
        self.ask_relays(probe, context);
    }

    fn ask_relays(&mut self, probe: Probe, context: &mut Context) {
        let Some(target) = context.members.get(probe.target).cloned() else {
            return;
        };
        let eligible =
            |member: &Member| member.state == MemberState::Alive && member.node != target.node;
        for key in context
            .members
            .sample(&mut context.rng, RELAYS_PER_PROBE, eligible)
        {
            let request = PingRequest {
                nonce: probe.nonce,
                target: target.node.name.to_string(),
                target_addr: target.peer_addr.to_string(),
            };
            self.send_to(key, Some(Body::PingRequest(request)), context);
        }
    }

    // A leaving member already gets no new requests, so without an ack it is
    // declared dead at once.
    fn suspect(&mut self, probe: Probe, context: &mut Context) {
        let Some(member) = context.members.get(probe.target) else {
            return;
        };
        let state = match member.state {
            _ if member.node.incarnation != probe.incarnation => return,
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            _ => return,
        };
        self.declare(probe.target, state, context);
    }

    fn sweep(&mut self, context: &mut Context) {
        let now = context.now;
        let timeout = suspicion_timeout(context.members.present_count());
        let expired: Vec<MemberKey> = context
            .members
            .peers()
            .filter(|(_, member)| member.state == MemberState::Suspect)
            .filter(|(_, member)| now.since(member.since) >= timeout)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.declare(key, MemberState::Dead, context);
        }
        context.members.drop_dead(now - DEAD_RETENTION);
    }

    fn declare(&mut self, key: MemberKey, state: MemberState, context: &mut Context) {
        context.members.set_state(key, state, context.now);
        context.view_changed = true;
        self.gossip_queue.push(key, context.members.present_count());
        if let Some(member) = context.members.get(key) {
            info!(name: "member.state", member = %member.node, state = state.as_str_name());
        }
    }

    // Brings the next exchange of digests forward after a difference.
    fn schedule_sync(&mut self, context: &Context) {
        self.digests_differ = true;
        self.next_sync = self.next_sync.min(context.now + SYNC_RETRY_PERIOD);
    }

    fn gossip(&mut self, context: &mut Context) {
        if self.gossip_queue.is_empty() {
            return;
        }
        for key in context
            .members
            .sample(&mut context.rng, GOSSIP_FANOUT, Member::is_present)
        {
            self.send_to(key, None, context);
        }
    }

    fn send_digest(&mut self, context: &mut Context) {
        let chosen = context
            .members
            .sample(&mut context.rng, 1, Member::is_present);
        let body = Body::MemberDigest(MemberDigest {
            buckets: digest::buckets(&context.members),
            reply: false,
        });
        for key in chosen {
            self.send_to(key, Some(body.clone()), context);
        }
    }

    // Listed hosts that are not members are new or were partitioned; a ping
    // introduces this node to them, and their ack introduces them.
    fn ping_unknown_hosts(&mut self, context: &mut Context) {
        let known = |host: &&HostEntry| {
            let key = context.members.key(&host.name);
            key.and_then(|key| context.members.get(key))
                .is_some_and(Member::is_present)
        };
        let unknown: Vec<&HostEntry> = self
            .listed_hosts
            .iter()
            .filter(|host| !known(host))
            .collect();
        let chosen: Vec<CompactString> = unknown
            .choose_multiple(&mut context.rng, JOIN_FANOUT)
            .map(|host| host.peer_addr.clone())
            .collect();
        for addr in chosen {
            let body = Body::Ping(Ping {
                nonce: UNTRACKED_NONCE,
            });
            self.send(&addr, Some(body), true, context);
        }
    }

    // Stores the platform's host list and updates each known member's
    // `listed_leaving` from it.
    fn update_hosts(&mut self, hosts: &[HostEntry], context: &mut Context) {
        self.listed_hosts = hosts.to_vec();
        for host in hosts {
            let Some(key) = context.members.key(&host.name) else {
                continue;
            };
            if let Some(member) = context.members.get_mut(key)
                && member.listed_leaving != host.leaving
            {
                member.listed_leaving = host.leaving;
                context.view_changed = true;
            }
        }
    }

    // The numbers of running and queued requests change with every request;
    // acks of pings and agents' answers to runs carry them. Only a change of
    // the warm versions or the slots raises the record's version.
    fn update_load(&mut self, load: &message::Load, context: &mut Context) {
        let now = context.now;
        let local = context.members.local_mut();
        let known = local.load.replace(load.clone());
        local.load_time = now;
        context.view_changed = true;
        let same = known.is_some_and(|known| known.warm == load.warm && known.slots == load.slots);
        if !same {
            self.raise_version(context);
        }
    }

    fn announce_leaving(&mut self, context: &mut Context) {
        let local = context.members.local_key();
        context
            .members
            .set_state(local, MemberState::Leaving, context.now);
        self.raise_version(context);
        for key in context
            .members
            .sample(&mut context.rng, LEAVE_FANOUT, Member::is_present)
        {
            self.send_to(key, None, context);
        }
    }

    fn raise_version(&mut self, context: &mut Context) {
        context.members.local_mut().version += 1;
        context.view_changed = true;
        let local = context.members.local_key();
        self.gossip_queue
            .push(local, context.members.present_count());
    }

    fn send_to(&mut self, key: MemberKey, body: Option<Body>, context: &mut Context) {
        let addr = context
            .members
            .get(key)
            .map(|member| member.peer_addr.clone());
        if let Some(addr) = addr {
            self.send(&addr, body, false, context);
        }
    }

    fn send(
        &mut self,
        addr: &CompactString,
        body: Option<Body>,
        introduce: bool,
        context: &mut Context,
    ) {
        let mut members = self.gossip_queue.take(&context.members);
        if introduce {
            members.push(context.members.local().record());
        }
        let envelope = Envelope {
            members,
            in_force: Some(self.in_force.bits(&context.members)),
            ..context.envelope(body)
        };
        context.send_envelope(addr, envelope);
    }
}

fn advance_if_due(next: &mut Millis, period: Millis, context: &mut Context) -> bool {
    if context.now < *next {
        return false;
    }
    // Jitter of up to a tenth either way, so that nodes don't synchronize.
    let jitter = context.rng.random_range(0..=period.0 / 5);
    *next = context.now + period + Millis(jitter) - Millis(period.0 / 10);
    true
}

fn suspicion_timeout(members: usize) -> Millis {
    let log_members = (members.max(10) as f64).log10();
    Millis((SUSPICION_TIMEOUT.0 as f64 * log_members) as u64)
}
