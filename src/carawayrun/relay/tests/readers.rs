use std::time::Duration;

use crate::relay::readers::{Confirmation, FollowedTable, ReadDecision};
use crate::relay::store_clock::StoreClock;

const FRESH: Duration = Duration::from_millis(950);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn followed(content: u64, read_ms: u64) -> FollowedTable {
    let mut followed = FollowedTable::default();
    followed.insert_row("config", content);
    followed.record_read(at(read_ms));
    followed
}

fn confirmation(followed: &FollowedTable) -> Confirmation {
    followed.own_confirmation().unwrap()
}

#[test]
fn a_gateway_alone_reads() {
    assert_eq!(
        followed(1, 100).decide_read("b", at(200), FRESH),
        ReadDecision::Read
    );
}

#[test]
fn one_of_two_gives_way() {
    let mut a = followed(1, 100);
    let mut b = followed(1, 100);
    a.record_peer("b", confirmation(&b));
    b.record_peer("a", confirmation(&a));
    assert_eq!(a.decide_read("a", at(200), FRESH), ReadDecision::Read);
    assert_eq!(
        b.decide_read("b", at(200), FRESH),
        ReadDecision::Wait(at(850))
    );
}

#[test]
fn the_next_one_takes_over_when_confirmations_stop() {
    let a = followed(1, 100);
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&a));
    assert_eq!(b.decide_read("b", at(1_100), FRESH), ReadDecision::Read);
}

#[test]
fn the_same_rows_are_confirmed_without_a_call() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(1, 700)));
    assert_eq!(b.confirmed_at(), Some(at(700)));
    assert_eq!(
        b.decide_read("b", at(800), FRESH),
        ReadDecision::Wait(at(850))
    );
}

#[test]
fn other_rows_are_read_at_once_and_confirm_nothing() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(2, 700)));
    assert_eq!(b.confirmed_at(), Some(at(100)));
    assert_eq!(b.decide_read("b", at(710), FRESH), ReadDecision::Read);
    // It has read since: the other one is behind now.
    b.insert_row("config", 3);
    b.record_read(at(720));
    assert_eq!(
        b.decide_read("b", at(730), FRESH),
        ReadDecision::Wait(at(920))
    );
}

#[test]
fn reports_that_overtake_each_other_take_nothing_back() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(1, 700)));
    b.record_peer("a", confirmation(&followed(2, 400)));
    assert_eq!(b.confirmed_at(), Some(at(700)));
}

#[test]
fn a_row_that_is_gone_changes_the_digest() {
    let mut one = followed(1, 100);
    let before = confirmation(&one).digest;
    one.insert_row("rollout/a", 5);
    one.record_read(at(200));
    assert_ne!(confirmation(&one).digest, before);
    one.remove_row("rollout/a");
    one.record_read(at(300));
    assert_eq!(confirmation(&one).digest, before);
}

// Slow answers show the store's clock as of earlier.
#[test]
fn the_fastest_answer_tells_the_stores_clock_best() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.now(at(50)), None);
    clock.observe(at(1_000), at(5_240));
    clock.observe(at(1_500), at(5_504));
    clock.observe(at(2_000), at(6_900));
    assert_eq!(clock.now(at(7_004)), Some(at(3_000)));
    assert_eq!(clock.boot_time(at(3_000)), Some(at(7_004)));
}
