//! Unbilled usage at an agent is kept until it is flushed.

use crate::control::context::Context;
use crate::control::unbilled::UnbilledUsage;
use crate::control::{Admission, Effect, Event, Identity, Millis, Role, State};
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{BillsFlushed, BillsHeld, BillsWant, Envelope, RequestId, Usage};

const SEALER: &str = "10.0.0.9:1";

fn agent() -> State {
    State::new(identity(), 1)
}

fn identity() -> Identity {
    Identity {
        node: NodeId {
            name: "agent".into(),
            incarnation: 1,
        },
        role: Role::Agent,
        data_centre: "vacoas".into(),
        peer_addr: "10.0.0.1:1".into(),
        http_addr: "10.0.0.1:2".into(),
        upstream: "lathe-1".into(),
    }
}

fn gateway() -> NodeId {
    NodeId {
        name: "gw-1".into(),
        incarnation: 7,
    }
}

fn sealer() -> NodeId {
    NodeId {
        name: "gw-2".into(),
        incarnation: 3,
    }
}

fn usage_event(sequence: u64, finished: bool) -> Event {
    let usage = Usage {
        request: Some(RequestId {
            gateway: Some((&gateway()).into()),
            sequence,
        }),
        cost_micros: if finished { 5 } else { 0 },
        finished,
        ..Usage::default()
    };
    Event::UsageReported(Box::new(usage))
}

fn record_usage(agent: &mut State, sequence: u64, finished: bool) -> Vec<BillsHeld> {
    held_messages(agent.apply(&usage_event(sequence, finished), Millis(0)))
}

fn message_event(body: Body) -> Event {
    let envelope = Envelope {
        sender: Some((&sealer()).into()),
        reply_addr: SEALER.to_owned(),
        body: Some(body),
        ..Envelope::default()
    };
    Event::MessageReceived(Box::new(envelope))
}

fn deliver(agent: &mut State, body: Body) -> Vec<BillsHeld> {
    held_messages(agent.apply(&message_event(body), Millis(0)))
}

fn request_held(agent: &mut State) -> Vec<(u64, bool)> {
    let want = BillsWant {
        gateway: Some((&gateway()).into()),
    };
    let answers = deliver(agent, Body::BillsWant(want));
    answers.iter().flat_map(attempts).collect()
}

fn flush(agent: &mut State, watermark: u64, sequences: &[u64]) {
    deliver(
        agent,
        Body::BillsFlushed(flushed_message(watermark, sequences)),
    );
}

fn flushed_message(watermark: u64, sequences: &[u64]) -> BillsFlushed {
    BillsFlushed {
        gateway: Some((&gateway()).into()),
        watermark,
        sequences: sequences.to_vec(),
    }
}

fn held_messages(effects: Vec<Effect>) -> Vec<BillsHeld> {
    let sent = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send(_, envelope) => Some(envelope),
        _ => None,
    });
    sent.filter_map(|envelope| match envelope.body {
        Some(Body::BillsHeld(held)) => Some(held),
        _ => None,
    })
    .collect()
}

fn attempts(held: &BillsHeld) -> Vec<(u64, bool)> {
    let attempt = |usage: &Usage| {
        let sequence = usage.request.as_ref().map_or(0, |request| request.sequence);
        (sequence, usage.finished)
    };
    held.usages.iter().map(attempt).collect()
}

#[test]
fn unflushed_usage_is_sent_to_a_sealer() {
    let mut agent = agent();
    for sequence in 1..=5 {
        record_usage(&mut agent, sequence, false);
        record_usage(&mut agent, sequence, true);
    }
    record_usage(&mut agent, 6, false);
    flush(&mut agent, 2, &[4]);
    assert_eq!(request_held(&mut agent), [(3, true), (5, true), (6, false)]);
}

#[test]
fn usage_that_finishes_after_a_sealers_request_is_sent_to_the_sealer() {
    let mut agent = agent();
    record_usage(&mut agent, 1, false);
    assert_eq!(request_held(&mut agent), [(1, false)]);
    let sent = record_usage(&mut agent, 1, true);
    assert_eq!(
        sent.iter().flat_map(attempts).collect::<Vec<_>>(),
        [(1, true)]
    );
    flush(&mut agent, 1, &[]);
    assert_eq!(request_held(&mut agent), []);
}

#[test]
fn flushed_usage_is_kept_while_its_run_is_unfinished() {
    let mut agent = agent();
    record_usage(&mut agent, 1, false);
    flush(&mut agent, 1, &[]);
    assert_eq!(request_held(&mut agent), [(1, false)]);
}

#[test]
fn admission_closes_when_the_usage_limit_is_reached() {
    let mut context = Context::new(identity(), 1);
    let mut unbilled = UnbilledUsage::default();
    for sequence in 0..50_000 {
        assert_eq!(unbilled.admission(), Admission::Open);
        unbilled.handle(&usage_event(sequence, true), &mut context);
    }
    let full = Admission::Closed {
        code: "store_unavailable",
        retry_after_ms: 2_000,
    };
    assert_eq!(unbilled.admission(), full);
    let flushed = Body::BillsFlushed(flushed_message(10, &[]));
    unbilled.handle(&message_event(flushed), &mut context);
    assert_eq!(unbilled.admission(), Admission::Open);
}
