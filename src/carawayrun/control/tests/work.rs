//! Control work: one holder at a time, and none that woke late has an effect.

use serde_json::value::{RawValue, to_raw_value};

use super::world::{Table, identity};
use crate::control::context::Context;
use crate::control::{Effect, Event, Leases, Millis, TICK, WriteOutcome, WriteResult};
use crate::store::table::{Put, TableError, Transaction};

const LEASE_NAME: &str = "rollout/scene";

/// One node's part in the work, before a table that all share.
struct Worker {
    leases: Leases,
    context: Context,
}

impl Worker {
    fn new(index: usize) -> Self {
        let mut leases = Leases::default();
        leases.contend(LEASE_NAME);
        Self {
            leases,
            context: Context::new(identity(index, 1), index as u64),
        }
    }

    fn tick(&mut self, table: &mut Table, now: Millis) {
        self.context.now = now;
        self.leases.handle(&Event::Tick, &mut self.context);
        self.answer(table);
    }

    fn answer(&mut self, table: &mut Table) {
        while let Some(effect) = self.context.effects.pop() {
            if let Effect::CallTable(ticket, call) = effect {
                let event = Event::TableAnswered(ticket, table.call(call));
                self.leases.handle(&event, &mut self.context);
            }
        }
    }

    fn holds_lease(&self) -> bool {
        self.leases
            .held_fence(LEASE_NAME, self.context.now)
            .is_some()
    }

    /// Writes a row that stands for an effect of the work.
    fn commit_effect(&mut self, text: &str) -> Option<u64> {
        let put = Put {
            key: "effect".into(),
            value: to_raw_value(text).unwrap(),
        };
        let transaction = Transaction {
            puts: vec![put],
            ..Transaction::default()
        };
        let state = RawValue::NULL.to_owned();
        self.leases
            .commit(LEASE_NAME, state, transaction, &mut self.context)
    }

    fn outcome(&mut self) -> Option<WriteOutcome> {
        self.leases.take_outcome(LEASE_NAME)
    }
}

fn run(workers: &mut [&mut Worker], table: &mut Table, from: Millis, span: Millis) -> Millis {
    let mut now = from;
    while now < from + span {
        now = now + TICK;
        for worker in workers.iter_mut() {
            worker.tick(table, now);
        }
        let holders = workers.iter().filter(|worker| worker.holds_lease()).count();
        assert!(holders <= 1, "{holders} holders at {now:?}");
    }
    now
}

fn effect(table: &Table) -> Option<&str> {
    table.rows.get("effect").map(|row| row.value.get())
}

#[test]
fn one_of_several_holds_it_and_another_follows_when_it_is_gone() {
    let mut table = Table::default();
    let (mut a, mut b) = (Worker::new(0), Worker::new(1));
    let now = run(&mut [&mut a, &mut b], &mut table, Millis(0), Millis(60_000));
    assert!(a.holds_lease());
    run(&mut [&mut b], &mut table, now, Millis(30_000));
    assert!(b.holds_lease());
    assert_eq!(b.leases.held_fence(LEASE_NAME, b.context.now), Some(2));
}

#[test]
fn a_holder_that_stops_gives_it_up_at_once() {
    let mut table = Table::default();
    let (mut a, mut b) = (Worker::new(0), Worker::new(1));
    let now = run(&mut [&mut a, &mut b], &mut table, Millis(0), Millis(20_000));
    a.leases.handle(&Event::StopRequested, &mut a.context);
    a.answer(&mut table);
    run(&mut [&mut b], &mut table, now, Millis(5_000));
    assert!(b.holds_lease());
}

#[test]
fn a_holder_that_wakes_after_its_lease_has_no_effect() {
    let mut table = Table::default();
    let (mut a, mut b) = (Worker::new(0), Worker::new(1));
    let now = run(&mut [&mut a, &mut b], &mut table, Millis(0), Millis(20_000));
    assert!(a.holds_lease());
    let later = run(&mut [&mut b], &mut table, now, Millis(40_000));
    assert!(b.holds_lease());
    // It still believes that it is `now`, as if it paused after its last check.
    a.commit_effect("stale")
        .expect("it believes that it holds the work");
    a.answer(&mut table);
    assert_eq!(effect(&table), None);
    assert_eq!(
        a.outcome().map(|outcome| outcome.result),
        Some(WriteResult::Refused)
    );
    a.tick(&mut table, later);
    assert!(!a.holds_lease());
    assert!(a.commit_effect("stale").is_none());
}

#[test]
fn a_holder_that_wakes_before_anybody_followed_reads_before_it_acts() {
    let mut table = Table::default();
    let mut a = Worker::new(0);
    let now = run(&mut [&mut a], &mut table, Millis(0), Millis(20_000));
    let later = now + Millis(30_000);
    a.context.now = later;
    assert!(a.commit_effect("early").is_none(), "its lease has lapsed");
    run(&mut [&mut a], &mut table, later, Millis(1_000));
    assert!(a.holds_lease());
    assert_eq!(
        a.leases.held_fence(LEASE_NAME, a.context.now),
        Some(1),
        "nobody else had it"
    );
}

#[test]
fn a_write_whose_answer_was_lost_is_found_to_have_taken_effect() {
    let mut table = Table::default();
    let mut a = Worker::new(0);
    let now = run(&mut [&mut a], &mut table, Millis(0), Millis(5_000));
    table.lose_answers = 1;
    let write = a.commit_effect("once").unwrap();
    a.answer(&mut table);
    assert_eq!(a.outcome(), None, "it can't be told yet");
    assert!(
        a.commit_effect("twice").is_none(),
        "nothing more before it is settled"
    );
    run(&mut [&mut a], &mut table, now, Millis(5_000));
    let result = WriteResult::Applied;
    assert_eq!(a.outcome(), Some(WriteOutcome { write, result }));
    assert_eq!(effect(&table), Some("\"once\""));
}

#[test]
fn a_write_that_was_lost_on_its_way_can_take_no_effect_once_settled() {
    let mut table = Table::default();
    let mut a = Worker::new(0);
    let now = run(&mut [&mut a], &mut table, Millis(0), Millis(5_000));
    let write = a.commit_effect("late").unwrap();
    let Some(Effect::CallTable(ticket, late)) = a.context.effects.pop() else {
        panic!("no call");
    };
    let lost = TableError::Lost {
        message: "timeout".into(),
    };
    a.leases
        .handle(&Event::TableAnswered(ticket, Err(lost)), &mut a.context);
    run(&mut [&mut a], &mut table, now, Millis(5_000));
    let result = WriteResult::Refused;
    assert_eq!(a.outcome(), Some(WriteOutcome { write, result }));
    assert!(table.call(late).is_err(), "it arrives after all");
    assert_eq!(effect(&table), None);
}
