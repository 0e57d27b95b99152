use std::time::Duration;

use crate::relay::readers::{Confirmation, FollowedTable, ReadDecision};
use crate::relay::store_clock::StoreClock;

const ERA: u64 = 1;

const TTL: Duration = Duration::from_millis(950);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn followed(content: u64, read_ms: u64) -> FollowedTable {
    let mut followed = FollowedTable::default();
    followed.insert_row("config", content);
    followed.record_read(ERA, millis(read_ms));
    followed
}

fn confirmation(followed: &FollowedTable) -> Confirmation {
    followed.own_confirmation().unwrap()
}

#[test]
fn single_gateway_reads() {
    assert_eq!(
        followed(1, 100).decide_read("b", millis(200), TTL),
        ReadDecision::Read
    );
}

#[test]
fn gateway_with_least_name_reads_and_others_wait() {
    let mut a = followed(1, 100);
    let mut b = followed(1, 100);
    a.record_peer("b", confirmation(&b));
    b.record_peer("a", confirmation(&a));
    assert_eq!(a.decide_read("a", millis(200), TTL), ReadDecision::Read);
    assert_eq!(
        b.decide_read("b", millis(200), TTL),
        ReadDecision::Wait(millis(850))
    );
}

#[test]
fn next_gateway_reads_after_confirmations_expire() {
    let a = followed(1, 100);
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&a));
    assert_eq!(b.decide_read("b", millis(1_100), TTL), ReadDecision::Read);
}

#[test]
fn matching_digest_confirms_rows_without_read() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(1, 700)));
    assert_eq!(b.confirmed_at(ERA), Some(millis(700)));
    assert_eq!(
        b.decide_read("b", millis(800), TTL),
        ReadDecision::Wait(millis(850))
    );
}

#[test]
fn different_digest_triggers_read_and_confirms_nothing() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(2, 700)));
    assert_eq!(b.confirmed_at(ERA), Some(millis(100)));
    assert_eq!(b.decide_read("b", millis(710), TTL), ReadDecision::Read);
    // After its own read, the other gateway's confirmation is older.
    b.insert_row("config", 3);
    b.record_read(ERA, millis(720));
    assert_eq!(
        b.decide_read("b", millis(730), TTL),
        ReadDecision::Wait(millis(920))
    );
}

// A changed row of the reader took back what it had confirmed before: after the next
// read it looked as if the store had been away since the own read before that. Seen on
// mwlsa-lathe, scale-2.
#[test]
fn confirmation_outlasts_later_change() {
    let mut b = followed(1, 100);
    let mut a = followed(1, 700);
    b.record_peer("a", confirmation(&a));
    a.insert_row("config", 2);
    a.record_read(ERA, millis(1_500));
    b.record_peer("a", confirmation(&a));
    assert_eq!(b.confirmed_at(ERA), Some(millis(700)));
    b.insert_row("config", 2);
    b.record_read(ERA, millis(1_530));
    assert_eq!(b.confirmed_at(ERA), Some(millis(1_530)));
    // Nor does it count in another era.
    b.record_read(ERA + 1, millis(400));
    assert_eq!(b.confirmed_at(ERA), None);
    assert_eq!(b.confirmed_at(ERA + 1), Some(millis(400)));
}

#[test]
fn older_confirmation_is_ignored() {
    let mut b = followed(1, 100);
    b.record_peer("a", confirmation(&followed(1, 700)));
    b.record_peer("a", confirmation(&followed(2, 400)));
    assert_eq!(b.confirmed_at(ERA), Some(millis(700)));
}

#[test]
fn removal_of_added_row_restores_digest() {
    let mut one = followed(1, 100);
    let before = confirmation(&one).digest;
    one.insert_row("rollout/a", 5);
    one.record_read(ERA, millis(200));
    assert_ne!(confirmation(&one).digest, before);
    one.remove_row("rollout/a");
    one.record_read(ERA, millis(300));
    assert_eq!(confirmation(&one).digest, before);
}

// After a restore of the store, the same versions stand for other rows.
#[test]
fn same_digest_of_another_era_confirms_nothing() {
    let mut b = followed(1, 100);
    let mut a = confirmation(&followed(1, 700));
    a.era = ERA + 1;
    b.record_peer("a", a);
    assert_eq!(b.confirmed_at(ERA), Some(millis(100)));
    assert_eq!(b.confirmed_at(ERA + 1), None);
    assert_eq!(b.decide_read("b", millis(710), TTL), ReadDecision::Read);
    // A gateway that has not noticed the restore is not the reader.
    b.record_read(ERA + 1, millis(720));
    b.record_peer("a", confirmation(&followed(1, 800)));
    b.record_read(ERA + 2, millis(730));
    assert_eq!(b.decide_read("b", millis(740), TTL), ReadDecision::Read);
}

// Slow responses carry outdated store times.
#[test]
fn fastest_response_determines_store_clock() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.now(millis(50)), None);
    clock.observe(millis(1_000), millis(5_240));
    clock.observe(millis(1_500), millis(5_504));
    clock.observe(millis(2_000), millis(6_900));
    assert_eq!(clock.now(millis(7_004)), Some(millis(3_000)));
    assert_eq!(clock.boot_time(millis(3_000)), Some(millis(7_004)));
}

// A read that may have missed a change asks for it at once: an answer that is held
// back hides a connection that went silent.
#[test]
fn gateway_that_may_miss_change_does_not_wait_for_one() {
    let mut b = followed(1, 100);
    assert!(!b.is_behind(millis(200), TTL));
    assert!(b.is_behind(millis(1_050), TTL));
    let mut a = followed(1, 600);
    b.record_peer("a", confirmation(&a));
    assert!(!b.is_behind(millis(1_050), TTL));
    a.insert_row("config", 2);
    a.record_read(ERA, millis(700));
    b.record_peer("a", confirmation(&a));
    assert!(b.is_behind(millis(700), TTL));
    assert!(FollowedTable::default().is_behind(millis(0), TTL));
}

#[test]
fn lag_lasts_from_first_newer_confirmation_to_own_read() {
    let mut b = followed(1, 100);
    assert_eq!(b.lag(millis(150)), None);
    b.record_peer("a", confirmation(&followed(2, 200)));
    b.record_peer("a", confirmation(&followed(3, 500)));
    assert_eq!(b.lag(millis(900)), Some(millis(700)));
    b.insert_row("config", 3);
    b.record_read(ERA, millis(950));
    assert_eq!(b.lag(millis(1_000)), None);
}
