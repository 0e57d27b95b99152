//! Cancellation of attempts whose answer is no longer needed.
//!
//! A gateway abandons an attempt if its client disconnects or another upstream
//! answers. It drops the connection to the agent, which may notice that late,
//! so it also sends a `Cancel` message. Calls to plain services are not
//! cancelled but left to complete, because a call that stops halfway is of no
//! use to anyone.

use compact_str::CompactString;

use super::context::Context;
use super::effect::{Effect, UpstreamAction};
use super::event::{Bill, Event};
use crate::peer::RequestId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{Cancel, Envelope};
use crate::resource::Backend;

/// Sends `Cancel` messages for abandoned attempts, and passes received ones to
/// the agent's traffic threads.
pub(super) fn handle(event: &Event, context: &mut Context) {
    match event {
        Event::BillDue(bill) if is_engine_request(bill, context) => send_cancels(bill, context),
        Event::MessageReceived(envelope) => {
            if let Some(Body::Cancel(cancel)) = &envelope.body {
                forward_cancel(envelope, cancel, context);
            }
        }
        _ => {}
    }
}

fn is_engine_request(bill: &Bill, context: &Context) -> bool {
    let service = context.config.services.by_name(&bill.service);
    service.is_some_and(|service| service.spec.backend == Backend::Engine)
}

fn send_cancels(bill: &Bill, context: &mut Context) {
    let request = RequestId {
        gateway: context.identity.node.clone(),
        sequence: bill.sequence,
    };
    for awaited in &bill.awaited {
        if let Some(addr) = agent_addr(&awaited.upstream, context) {
            let body = Body::Cancel(Cancel {
                request: Some((&request).into()),
            });
            context.send(&addr, body);
        }
    }
}

// Passes a cancellation on if it comes from the request's own gateway.
fn forward_cancel(envelope: &Envelope, cancel: &Cancel, context: &mut Context) {
    let Some(request) = &cancel.request else {
        return;
    };
    if request.gateway != envelope.sender {
        return;
    }
    if let Ok(request) = RequestId::try_from(request) {
        let action = UpstreamAction::Cancel(request);
        context.effects.push(Effect::Upstream(action));
    }
}

fn agent_addr(upstream: &str, context: &Context) -> Option<CompactString> {
    context
        .members
        .iter()
        .map(|(_, member)| member)
        .find(|member| member.upstream == upstream && member.is_present())
        .map(|member| member.peer_addr.clone())
}
