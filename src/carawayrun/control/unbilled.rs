//! Unbilled usage that an agent keeps for its gateways.
//!
//! If a gateway dies before it has written its bills, this is the only record
//! of them. Usage is kept until the gateway, or the gateway that seals its
//! ledger, confirms that the request is in the table service. The number of
//! usages is bounded. At the limit the agent closes admission rather than lose
//! a bill.

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

/// Most usages that are kept.
const MAX_USAGES: usize = 50_000;

/// Most usages in one message.
const MAX_MESSAGE_USAGES: usize = 200;

/// Time between two messages with finished usage to a sealer.
const RESEND_INTERVAL: Millis = Millis(30_000);

/// Retry delay for clients while there is no room, in milliseconds.
const FULL_RETRY_MS: u64 = 2_000;

/// Unbilled usage by gateway.
#[derive(Debug, Default)]
pub(crate) struct UnbilledUsage {
    gateways: FxHashMap<NodeId, GatewayUsage>,
    count: usize,
    resent_at: Millis,
}

// Unbilled usage of one incarnation of a gateway.
#[derive(Debug, Default)]
struct GatewayUsage {
    usages: BTreeMap<UsageKey, Usage>,
    // Address of the gateway that seals the ledger and asked for the usage.
    // Usage that finishes later is sent to it.
    sealer_addr: Option<CompactString>,
}

// Identifies an attempt by its request's sequence and cascade step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UsageKey {
    sequence: u64,
    step: u32,
}

impl UnbilledUsage {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        let was_full = self.is_full();
        match event {
            Event::UsageReported(usage) => self.record_usage(usage, context),
            Event::MessageReceived(envelope) => self.handle_message(envelope, context),
            Event::Tick => self.resend_to_sealers(context),
            _ => return,
        }
        if self.is_full() != was_full {
            context.view_changed = true;
        }
    }

    /// Closed if there is no room for another usage.
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
        self.count >= MAX_USAGES
    }

    fn record_usage(&mut self, usage: &Usage, context: &mut Context) {
        let Some((gateway, key)) = usage_key(usage) else {
            return;
        };
        let unbilled = self.gateways.entry(gateway.clone()).or_default();
        if usage.finished && has_no_usage(usage) {
            self.count -= usize::from(unbilled.usages.remove(&key).is_some());
        } else if unbilled.usages.insert(key, usage.clone()).is_none() {
            self.count += 1;
        }
        if let Some(addr) = unbilled.sealer_addr.clone()
            && usage.finished
        {
            let total = unbilled.usages.len();
            send_held(&addr, &gateway, vec![usage.clone()], total, context);
        }
        self.remove_if_empty(&gateway);
    }

    fn handle_message(&mut self, envelope: &Envelope, context: &mut Context) {
        match &envelope.body {
            Some(Body::BillsFlushed(flushed)) => self.remove_flushed(flushed),
            Some(Body::BillsWant(want)) => {
                let addr = CompactString::from(envelope.reply_addr.as_str());
                let is_sealer = want.gateway != envelope.sender;
                self.send_usages(want, &addr, is_sealer, context);
            }
            _ => {}
        }
    }

    // Sends finished usage to sealers again until it is flushed, because
    // messages may be lost.
    fn resend_to_sealers(&mut self, context: &mut Context) {
        if context.now.since(self.resent_at) < RESEND_INTERVAL {
            return;
        }
        self.resent_at = context.now;
        for (gateway, unbilled) in &self.gateways {
            let Some(addr) = &unbilled.sealer_addr else {
                continue;
            };
            let finished = unbilled.usages.values().filter(|usage| usage.finished);
            let finished: Vec<Usage> = finished.take(MAX_MESSAGE_USAGES).cloned().collect();
            if !finished.is_empty() {
                send_held(addr, gateway, finished, unbilled.usages.len(), context);
            }
        }
    }

    // Drops finished usage of billed requests. Usage of an unfinished run stays,
    // because the bill may have been written without it.
    fn remove_flushed(&mut self, flushed: &BillsFlushed) {
        let Some(gateway) = flushed.gateway.as_ref().map(NodeId::from) else {
            return;
        };
        let Some(unbilled) = self.gateways.get_mut(&gateway) else {
            return;
        };
        let before = unbilled.usages.len();
        unbilled.usages.retain(|key, usage| {
            let billed =
                key.sequence <= flushed.watermark || flushed.sequences.contains(&key.sequence);
            !(billed && usage.finished)
        });
        self.count -= before - unbilled.usages.len();
        self.remove_if_empty(&gateway);
    }

    fn send_usages(
        &mut self,
        want: &BillsWant,
        addr: &CompactString,
        is_sealer: bool,
        context: &mut Context,
    ) {
        let Some(gateway) = want.gateway.as_ref().map(NodeId::from) else {
            return;
        };
        let unbilled = self.gateways.entry(gateway.clone()).or_default();
        if is_sealer {
            unbilled.sealer_addr = Some(addr.clone());
        }
        if unbilled.usages.is_empty() {
            send_held(addr, &gateway, Vec::new(), 0, context);
            return self.remove_if_empty(&gateway);
        }
        let usages: Vec<Usage> = unbilled.usages.values().cloned().collect();
        for part in usages.chunks(MAX_MESSAGE_USAGES) {
            send_held(addr, &gateway, part.to_vec(), usages.len(), context);
        }
    }

    fn remove_if_empty(&mut self, gateway: &NodeId) {
        // The sealer's address is kept even without usage: the gateway may
        // resume and start a request.
        let is_empty =
            |usage: &GatewayUsage| usage.usages.is_empty() && usage.sealer_addr.is_none();
        if self.gateways.get(gateway).is_some_and(is_empty) {
            self.gateways.remove(gateway);
        }
    }
}

fn usage_key(usage: &Usage) -> Option<(NodeId, UsageKey)> {
    let request = usage.request.as_ref()?;
    let gateway = request.gateway.as_ref()?;
    let key = UsageKey {
        sequence: request.sequence,
        step: usage.step,
    };
    Some((gateway.into(), key))
}

// True if no cost and no tokens were reported, that is the attempt did not run.
fn has_no_usage(usage: &Usage) -> bool {
    usage.cost_micros == 0 && usage.prompt_tokens == 0 && usage.completion_tokens == 0
}

// Sends usages of requests of `gateway` to `addr`, which is the gateway's own
// or its sealer's address. `total` is the number of the gateway's usages that
// are kept, over all messages.
fn send_held(
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
