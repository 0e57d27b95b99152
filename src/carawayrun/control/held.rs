//! Copies of usage that an agent holds until it is billed.
//!
//! A gateway that dies before it has written its bills leaves no other trace
//! of them than these copies. They are kept until the gateway, or whoever
//! seals its ledger, says that the request is in the table service. There is
//! room for a bounded number; when it is used up, the agent takes no new work
//! rather than lose a bill.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::context::Context;
use super::event::Event;
use super::time::Millis;
use super::view::Admission;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{BillsFlushed, BillsHeld, BillsWant, Envelope, Usage};

/// Most usages that are held.
const MAX_HELD: usize = 50_000;

/// Most usages in one message.
const MAX_SENT: usize = 200;

/// Time between two offers of what a sealer asked for.
const OFFER_PERIOD: Millis = Millis(30_000);

/// When a caller should come back while there is no room, in milliseconds.
const FULL_RETRY_MS: u64 = 2_000;

/// The concern.
#[derive(Debug, Default)]
pub(crate) struct Held {
    gateways: FxHashMap<NodeId, Copies>,
    count: usize,
    offered_at: Millis,
}

// The copies of one gateway's life.
#[derive(Debug, Default)]
struct Copies {
    usages: BTreeMap<Attempt, Usage>,
    // Where to send those that end from now on: a sealer asked for them.
    wanted_by: Option<CompactString>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    sequence: u64,
    step: u32,
}

impl Held {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        let was_full = self.is_full();
        match event {
            Event::UsageReported(usage) => self.used(usage, context),
            Event::MessageReceived(envelope) => self.received(envelope, context),
            Event::Tick => self.offer(context),
            _ => return,
        }
        if self.is_full() != was_full {
            context.view_changed = true;
        }
    }

    /// Closed where there is no room for another usage.
    pub(crate) fn admission(&self) -> Admission {
        if self.is_full() {
            Admission::Closed {
                code: "store_unavailable",
                retry_after_ms: FULL_RETRY_MS,
            }
        } else {
            Admission::Open
        }
    }

    fn is_full(&self) -> bool {
        self.count >= MAX_HELD
    }

    fn used(&mut self, usage: &Usage, context: &mut Context) {
        let Some((gateway, attempt)) = attempt(usage) else {
            return;
        };
        let copies = self.gateways.entry(gateway.clone()).or_default();
        if usage.finished && is_free(usage) {
            self.count -= usize::from(copies.usages.remove(&attempt).is_some());
        } else if copies.usages.insert(attempt, usage.clone()).is_none() {
            self.count += 1;
        }
        if let Some(addr) = copies.wanted_by.clone()
            && usage.finished
        {
            let total = copies.usages.len();
            send(&addr, &gateway, vec![usage.clone()], total, context);
        }
        self.forget_empty(&gateway);
    }

    fn received(&mut self, envelope: &Envelope, context: &mut Context) {
        match &envelope.body {
            Some(Body::BillsFlushed(flushed)) => self.flushed(flushed),
            Some(Body::BillsWant(want)) => {
                let addr = CompactString::from(envelope.reply_addr.as_str());
                let sealing = want.gateway != envelope.sender;
                self.wanted(want, &addr, sealing, context);
            }
            _ => {}
        }
    }

    // Messages may be lost, so what a sealer wants is sent until it is flushed.
    fn offer(&mut self, context: &mut Context) {
        if context.now.since(self.offered_at) < OFFER_PERIOD {
            return;
        }
        self.offered_at = context.now;
        for (gateway, copies) in &self.gateways {
            let Some(addr) = &copies.wanted_by else {
                continue;
            };
            let ended = copies.usages.values().filter(|usage| usage.finished);
            let ended: Vec<Usage> = ended.take(MAX_SENT).cloned().collect();
            if !ended.is_empty() {
                send(addr, gateway, ended, copies.usages.len(), context);
            }
        }
    }

    // What is still running stays, as it may have been billed without it.
    fn flushed(&mut self, flushed: &BillsFlushed) {
        let Some(gateway) = flushed.gateway.as_ref().map(NodeId::from) else {
            return;
        };
        let Some(copies) = self.gateways.get_mut(&gateway) else {
            return;
        };
        let before = copies.usages.len();
        copies.usages.retain(|attempt, usage| {
            let billed = attempt.sequence <= flushed.watermark
                || flushed.sequences.contains(&attempt.sequence);
            !(billed && usage.finished)
        });
        self.count -= before - copies.usages.len();
        self.forget_empty(&gateway);
    }

    fn wanted(
        &mut self,
        want: &BillsWant,
        addr: &CompactString,
        sealing: bool,
        context: &mut Context,
    ) {
        let Some(gateway) = want.gateway.as_ref().map(NodeId::from) else {
            return;
        };
        let copies = self.gateways.entry(gateway.clone()).or_default();
        if sealing {
            copies.wanted_by = Some(addr.clone());
        }
        if copies.usages.is_empty() {
            send(addr, &gateway, Vec::new(), 0, context);
            return self.forget_empty(&gateway);
        }
        let usages: Vec<Usage> = copies.usages.values().cloned().collect();
        for part in usages.chunks(MAX_SENT) {
            send(addr, &gateway, part.to_vec(), usages.len(), context);
        }
    }

    fn forget_empty(&mut self, gateway: &NodeId) {
        // A gateway that wakes again may still have started something.
        let is_empty = |copies: &Copies| copies.usages.is_empty() && copies.wanted_by.is_none();
        if self.gateways.get(gateway).is_some_and(is_empty) {
            self.gateways.remove(gateway);
        }
    }
}

fn attempt(usage: &Usage) -> Option<(NodeId, Attempt)> {
    let request = usage.request.as_ref()?;
    let gateway = request.gateway.as_ref()?;
    let attempt = Attempt {
        sequence: request.sequence,
        step: usage.step,
    };
    Some((gateway.into(), attempt))
}

// An attempt that did not begin.
fn is_free(usage: &Usage) -> bool {
    usage.cost_micros == 0 && usage.prompt_tokens == 0 && usage.completion_tokens == 0
}

// `total` is the number of usages held for the gateway, over all messages.
fn send(
    addr: &CompactString,
    gateway: &NodeId,
    usages: Vec<Usage>,
    total: usize,
    context: &mut Context,
) {
    let held = BillsHeld {
        gateway: Some(gateway.into()),
        usages,
        total: u32::try_from(total).unwrap_or(u32::MAX),
    };
    context.send(addr, Body::BillsHeld(held));
}
