//! Cancels that gateways send to agents.
//!
//! A gateway that is connected cancels by dropping the connection; the message
//! is for one that has lost it.

use super::context::Context;
use super::effect::{Effect, UpstreamAction};
use super::event::Event;
use crate::peer::RequestId;
use crate::peer::message::envelope::Body;

/// Passes a gateway's cancel on to the traffic; only the gateway that took the
/// request may cancel it.
pub(super) fn handle(event: &Event, context: &mut Context) {
    let Event::Received(envelope) = event else {
        return;
    };
    let Some(Body::Cancel(cancel)) = &envelope.body else {
        return;
    };
    let Some(request) = &cancel.request else {
        return;
    };
    if request.gateway != envelope.sender {
        return;
    }
    if let Ok(request) = RequestId::try_from(request) {
        let action = UpstreamAction::Cancel(request);
        context.out.push(Effect::Upstream(action));
    }
}
