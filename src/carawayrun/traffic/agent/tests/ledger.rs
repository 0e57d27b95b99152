//! No run is dispatched twice, whatever messages arrive in whatever order.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::control::Millis;
use crate::peer::message::Ran;
use crate::peer::{NodeId, RequestId};
use crate::traffic::agent::ledger::{Arrival, RunKey, RunLedger};

const EXPIRY: Millis = Millis(1_000);

fn key(sequence: u64) -> RunKey {
    incarnation_key(1, sequence)
}

fn incarnation_key(incarnation: u64, sequence: u64) -> RunKey {
    let gateway = NodeId {
        name: "gw-1".into(),
        incarnation,
    };
    RunKey {
        request: RequestId { gateway, sequence },
        step: 0,
    }
}

#[test]
fn second_arrival_is_a_duplicate() {
    let mut ledger = RunLedger::default();
    let Arrival::New(ticket) = ledger.record_arrival(key(1), 0, false, EXPIRY) else {
        panic!("the first arrival is new");
    };
    let again = ledger.record_arrival(key(1), 0, false, EXPIRY);
    assert!(
        matches!(again, Arrival::Duplicate(Ran::Unknown)),
        "{again:?}"
    );
    let ticket = ledger.dispatch(ticket).unwrap();
    ledger.record_end(&ticket, Ran::Yes);
    let again = ledger.record_arrival(key(1), 1, false, EXPIRY);
    assert!(matches!(again, Arrival::Duplicate(Ran::Yes)), "{again:?}");
}

#[test]
fn late_arrival_of_a_settled_run_is_refused() {
    let mut ledger = RunLedger::default();
    assert_eq!(ledger.settle(key(1), EXPIRY), Ran::No);
    let late = ledger.record_arrival(key(1), 0, true, EXPIRY);
    assert!(matches!(late, Arrival::Refused), "{late:?}");
}

#[test]
fn run_settled_in_the_queue_is_not_dispatched() {
    let mut ledger = RunLedger::default();
    let Arrival::New(ticket) = ledger.record_arrival(key(1), 0, false, EXPIRY) else {
        panic!("the first arrival is new");
    };
    assert_eq!(ledger.settle(key(1), EXPIRY), Ran::No);
    assert!(ledger.dispatch(ticket).is_none());
}

#[test_case(true; "idempotent")]
#[test_case(false; "not idempotent")]
fn newer_attempt_after_a_dispatch_is_accepted_only_if_idempotent(idempotent: bool) {
    let mut ledger = RunLedger::default();
    let Arrival::New(ticket) = ledger.record_arrival(key(1), 0, idempotent, EXPIRY) else {
        panic!("the first arrival is new");
    };
    let ticket = ledger.dispatch(ticket).unwrap();
    ledger.record_end(&ticket, Ran::Unknown);
    let next = ledger.record_arrival(key(1), 1, idempotent, EXPIRY);
    assert_eq!(matches!(next, Arrival::New(_)), idempotent, "{next:?}");
}

#[test]
fn newer_attempt_after_a_refusal_is_accepted() {
    let mut ledger = RunLedger::default();
    let Arrival::New(ticket) = ledger.record_arrival(key(1), 0, false, EXPIRY) else {
        panic!("the first arrival is new");
    };
    ledger.record_refusal(&ticket);
    let same = ledger.record_arrival(key(1), 0, false, EXPIRY);
    assert!(matches!(same, Arrival::Refused), "{same:?}");
    let next = ledger.record_arrival(key(1), 1, false, EXPIRY);
    assert!(matches!(next, Arrival::New(_)), "{next:?}");
}

#[test]
fn evicted_run_is_refused_and_settled_as_unknown() {
    let mut ledger = RunLedger::default();
    let Arrival::New(ticket) = ledger.record_arrival(key(5), 0, false, EXPIRY) else {
        panic!("the first arrival is new");
    };
    let ticket = ledger.dispatch(ticket).unwrap();
    ledger.evict_expired(EXPIRY);
    let running = ledger.record_arrival(key(5), 0, false, EXPIRY);
    assert!(matches!(running, Arrival::Duplicate(_)), "{running:?}");
    ledger.record_end(&ticket, Ran::Yes);
    ledger.evict_expired(EXPIRY + EXPIRY);
    let late = ledger.record_arrival(key(5), 0, false, EXPIRY);
    assert!(matches!(late, Arrival::Refused), "{late:?}");
    assert_eq!(ledger.settle(key(5), EXPIRY), Ran::Unknown);
    let next = ledger.record_arrival(key(6), 0, false, EXPIRY);
    assert!(matches!(next, Arrival::New(_)), "{next:?}");
    let earlier_incarnation = ledger.record_arrival(incarnation_key(0, 9), 0, false, EXPIRY);
    assert!(
        matches!(earlier_incarnation, Arrival::Refused),
        "{earlier_incarnation:?}"
    );
}

// Non-idempotent runs arrive repeatedly and are settled, refused, dispatched and
// evicted in random order: none is dispatched twice, and none that was settled
// as not run is dispatched.
#[test]
fn random_event_orders_dispatch_each_run_at_most_once() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = RunLedger::default();
        let mut queued = Vec::new();
        let mut dispatched = Vec::new();
        let mut counts: BTreeMap<RunKey, u32> = BTreeMap::new();
        let mut settled: BTreeMap<RunKey, Ran> = BTreeMap::new();
        let mut now = Millis(0);
        for _ in 0..400 {
            now = now + Millis(rng.random_range(0..50));
            let key = key(rng.random_range(0..20));
            match rng.random_range(0..7) {
                0 | 1 => {
                    let attempt = rng.random_range(0..3);
                    if let Arrival::New(ticket) =
                        ledger.record_arrival(key, attempt, false, now + EXPIRY)
                    {
                        queued.push(ticket);
                    }
                }
                2 if !queued.is_empty() => {
                    let ticket = queued.swap_remove(rng.random_range(0..queued.len()));
                    if let Some(ticket) = ledger.dispatch(ticket) {
                        let key = ticket.key().clone();
                        assert_ne!(settled.get(&key), Some(&Ran::No), "seed {seed}: {key:?}");
                        *counts.entry(key).or_default() += 1;
                        dispatched.push(ticket);
                    }
                }
                3 if !queued.is_empty() => {
                    let ticket = queued.swap_remove(rng.random_range(0..queued.len()));
                    ledger.record_refusal(&ticket);
                }
                4 if !dispatched.is_empty() => {
                    let ticket = dispatched.swap_remove(rng.random_range(0..dispatched.len()));
                    ledger.record_end(&ticket, Ran::Yes);
                }
                5 => {
                    let ran = ledger.settle(key.clone(), now + EXPIRY);
                    settled.insert(key, ran);
                }
                _ => ledger.evict_expired(now),
            }
        }
        assert!(
            counts.values().all(|&count| count == 1),
            "seed {seed}: {counts:?}"
        );
    }
}
