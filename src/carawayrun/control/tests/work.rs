//! Leases: one holder at a time, and no effect of a former holder.

use serde_json::value::{RawValue, to_raw_value};

use super::world::{Table, identity};
use crate::control::context::Context;
use crate::control::{Effect, Event, Leases, Millis, TICK, WriteOutcome, WriteResult};
use crate::store::table::{Put, TableError, Transaction};

const LEASE_NAME: &str = "rollout/scene";

/// One node that contends for the lease in a shared table.
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

    /// Commits a row that represents an effect of the task.
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
fn one_node_holds_the_lease_and_another_takes_over_after_it_stops() {
    let mut table = Table::default();
    let (mut a, mut b) = (Worker::new(0), Worker::new(1));
    let now = run(&mut [&mut a, &mut b], &mut table, Millis(0), Millis(60_000));
    assert!(a.holds_lease());
    run(&mut [&mut b], &mut table, now, Millis(30_000));
    assert!(b.holds_lease());
    assert_eq!(b.leases.held_fence(LEASE_NAME, b.context.now), Some(2));
}

#[test]
fn a_stopping_holder_releases_the_lease_at_once() {
    let mut table = Table::default();
    let (mut a, mut b) = (Worker::new(0), Worker::new(1));
    let now = run(&mut [&mut a, &mut b], &mut table, Millis(0), Millis(20_000));
    a.leases.handle(&Event::StopRequested, &mut a.context);
    a.answer(&mut table);
    run(&mut [&mut b], &mut table, now, Millis(5_000));
    assert!(b.holds_lease());
}

#[test]
fn a_holder_that_resumes_after_a_takeover_has_no_effect() {
    let mut table = Table::default();
    let (mut a, mut b) = (Worker::new(0), Worker::new(1));
    let now = run(&mut [&mut a, &mut b], &mut table, Millis(0), Millis(20_000));
    assert!(a.holds_lease());
    let later = run(&mut [&mut b], &mut table, now, Millis(40_000));
    assert!(b.holds_lease());
    // Its clock still shows `now`, as if it had paused after its last check.
    a.commit_effect("stale")
        .expect("the lease has not expired on its clock");
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
fn a_holder_whose_lease_expired_reads_the_row_before_it_acts() {
    let mut table = Table::default();
    let mut a = Worker::new(0);
    let now = run(&mut [&mut a], &mut table, Millis(0), Millis(20_000));
    let later = now + Millis(30_000);
    a.context.now = later;
    assert!(a.commit_effect("early").is_none(), "its lease has expired");
    run(&mut [&mut a], &mut table, later, Millis(1_000));
    assert!(a.holds_lease());
    assert_eq!(
        a.leases.held_fence(LEASE_NAME, a.context.now),
        Some(1),
        "no other node acquired the lease"
    );
}

#[test]
fn a_write_whose_answer_was_lost_is_reported_as_applied() {
    let mut table = Table::default();
    let mut a = Worker::new(0);
    let now = run(&mut [&mut a], &mut table, Millis(0), Millis(5_000));
    table.lose_answers = 1;
    let write = a.commit_effect("once").unwrap();
    a.answer(&mut table);
    assert_eq!(a.outcome(), None, "the outcome is not known yet");
    assert!(
        a.commit_effect("twice").is_none(),
        "no further write before the outcome is known"
    );
    run(&mut [&mut a], &mut table, now, Millis(5_000));
    let result = WriteResult::Applied;
    assert_eq!(a.outcome(), Some(WriteOutcome { write, result }));
    assert_eq!(effect(&table), Some("\"once\""));
}

#[test]
fn a_delayed_write_fails_once_it_was_reported_as_refused() {
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
    assert!(table.call(late).is_err(), "the delayed write must fail");
    assert_eq!(effect(&table), None);
}
