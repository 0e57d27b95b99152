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
fn single_gateway_reads() {
    assert_eq!(
        followed(1, 100).decide_read("b", at(200), FRESH),
        ReadDecision::Read
    );
}

#[test]
fn second_reader_waits_for_first() {
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
fn next_gateway_reads_after_confirmations_expire() {
    let a = followed(1, 100);
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&a));
    assert_eq!(b.decide_read("b", at(1_100), FRESH), ReadDecision::Read);
}

#[test]
fn matching_digest_confirms_rows_without_read() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(1, 700)));
    assert_eq!(b.confirmed_at(), Some(at(700)));
    assert_eq!(
        b.decide_read("b", at(800), FRESH),
        ReadDecision::Wait(at(850))
    );
}

#[test]
fn different_digest_triggers_read_and_confirms_nothing() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(2, 700)));
    assert_eq!(b.confirmed_at(), Some(at(100)));
    assert_eq!(b.decide_read("b", at(710), FRESH), ReadDecision::Read);
    // After its own read, the other gateway's confirmation is older.
    b.insert_row("config", 3);
    b.record_read(at(720));
    assert_eq!(
        b.decide_read("b", at(730), FRESH),
        ReadDecision::Wait(at(920))
    );
}

#[test]
fn older_confirmation_is_ignored() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(1, 700)));
    b.record_peer("a", confirmation(&followed(2, 400)));
    assert_eq!(b.confirmed_at(), Some(at(700)));
}

#[test]
fn removed_row_changes_digest() {
    let mut one = followed(1, 100);
    let before = confirmation(&one).digest;
    one.insert_row("rollout/a", 5);
    one.record_read(at(200));
    assert_ne!(confirmation(&one).digest, before);
    one.remove_row("rollout/a");
    one.record_read(at(300));
    assert_eq!(confirmation(&one).digest, before);
}

// Slow responses carry outdated store times.
#[test]
fn fastest_response_determines_store_clock() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.now(at(50)), None);
    clock.observe(at(1_000), at(5_240));
    clock.observe(at(1_500), at(5_504));
    clock.observe(at(2_000), at(6_900));
    assert_eq!(clock.now(at(7_004)), Some(at(3_000)));
    assert_eq!(clock.boot_time(at(3_000)), Some(at(7_004)));
}
