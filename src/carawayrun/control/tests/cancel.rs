//! Only the gateway that sent a request can cancel it.

use test_case::test_case;

use super::world::identity;
use crate::control::{Effect, Event, Millis, State, UpstreamAction};
use crate::peer::message::envelope::Body;
use crate::peer::message::{Cancel, Envelope};
use crate::peer::{NodeId, RequestId};

#[test_case("gw-1", true; "from its gateway")]
#[test_case("gw-2", false; "from another gateway")]
fn only_the_gateway_of_a_request_can_cancel_it(sender: &str, is_forwarded: bool) {
    let gateway = |name: &str| NodeId {
        name: name.into(),
        incarnation: 1,
    };
    let request = RequestId {
        gateway: gateway("gw-1"),
        sequence: 4,
    };
    let cancel = Cancel {
        request: Some((&request).into()),
    };
    let envelope = Envelope {
        sender: Some((&gateway(sender)).into()),
        body: Some(Body::Cancel(cancel)),
        ..Envelope::default()
    };
    let mut state = State::new(identity(0, 1), 1);
    let effects = state.apply(&Event::MessageReceived(Box::new(envelope)), Millis(0));
    let expected = UpstreamAction::Cancel(request);
    let found = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Upstream(action) if *action == expected));
    assert_eq!(found, is_forwarded);
}
