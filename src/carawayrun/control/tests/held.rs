//! An agent keeps every usage until it is billed.

use crate::control::context::Context;
use crate::control::held::Held;
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

fn used(sequence: u64, finished: bool) -> Event {
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

fn use_of(agent: &mut State, sequence: u64, finished: bool) -> Vec<BillsHeld> {
    held(agent.apply(&used(sequence, finished), Millis(0)))
}

fn received(body: Body) -> Event {
    let envelope = Envelope {
        sender: Some((&sealer()).into()),
        reply_addr: SEALER.to_owned(),
        body: Some(body),
        ..Envelope::default()
    };
    Event::MessageReceived(Box::new(envelope))
}

fn receive(agent: &mut State, body: Body) -> Vec<BillsHeld> {
    held(agent.apply(&received(body), Millis(0)))
}

fn want(agent: &mut State) -> Vec<(u64, bool)> {
    let want = BillsWant {
        gateway: Some((&gateway()).into()),
    };
    let answers = receive(agent, Body::BillsWant(want));
    answers.iter().flat_map(attempts).collect()
}

fn flush(agent: &mut State, watermark: u64, sequences: &[u64]) {
    receive(agent, Body::BillsFlushed(flushed(watermark, sequences)));
}

fn flushed(watermark: u64, sequences: &[u64]) -> BillsFlushed {
    BillsFlushed {
        gateway: Some((&gateway()).into()),
        watermark,
        sequences: sequences.to_vec(),
    }
}

fn held(effects: Vec<Effect>) -> Vec<BillsHeld> {
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
fn what_is_not_flushed_is_shown_to_a_sealer() {
    let mut agent = agent();
    for sequence in 1..=5 {
        use_of(&mut agent, sequence, false);
        use_of(&mut agent, sequence, true);
    }
    use_of(&mut agent, 6, false);
    flush(&mut agent, 2, &[4]);
    assert_eq!(want(&mut agent), [(3, true), (5, true), (6, false)]);
}

#[test]
fn what_ends_after_a_sealer_asked_is_sent_to_it() {
    let mut agent = agent();
    use_of(&mut agent, 1, false);
    assert_eq!(want(&mut agent), [(1, false)]);
    let sent = use_of(&mut agent, 1, true);
    assert_eq!(
        sent.iter().flat_map(attempts).collect::<Vec<_>>(),
        [(1, true)]
    );
    flush(&mut agent, 1, &[]);
    assert_eq!(want(&mut agent), []);
}

#[test]
fn a_run_that_is_flushed_while_it_runs_is_kept_until_it_ends() {
    let mut agent = agent();
    use_of(&mut agent, 1, false);
    flush(&mut agent, 1, &[]);
    assert_eq!(want(&mut agent), [(1, false)]);
}

#[test]
fn without_room_no_new_work_is_taken() {
    let mut context = Context::new(identity(), 1);
    let mut held = Held::default();
    for sequence in 0..50_000 {
        assert_eq!(held.admission(), Admission::Open);
        held.handle(&used(sequence, true), &mut context);
    }
    let full = Admission::Closed {
        code: "store_unavailable",
        retry_after_ms: 2_000,
    };
    assert_eq!(held.admission(), full);
    let flushed = Body::BillsFlushed(flushed(10, &[]));
    held.handle(&received(flushed), &mut context);
    assert_eq!(held.admission(), Admission::Open);
}
