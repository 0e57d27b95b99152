use std::net::SocketAddr;
use std::time::Duration;

use crate::relay::members::Members;
use crate::relay::rollout::OrderId;
use crate::relay::session_lists::{SessionLists, WAIT_TTL};

fn addr(n: u8) -> SocketAddr {
    format!("10.0.0.{n}:7340").parse().unwrap()
}

fn order(version: u64) -> OrderId {
    OrderId { era: 0, version }
}

fn are_complete(lists: &SessionLists, version: u64, others: &[u8]) -> bool {
    let others = others.iter().map(|n| addr(*n));
    lists.are_complete("engines", order(version), others)
}

#[test]
fn all_other_gateways_must_have_told() {
    let mut lists = SessionLists::default();
    assert!(are_complete(&lists, 3, &[]));
    lists.record("engines", order(3), addr(1));
    assert!(are_complete(&lists, 3, &[1]));
    assert!(!are_complete(&lists, 3, &[1, 2]));
    lists.record("engines", order(3), addr(2));
    assert!(are_complete(&lists, 3, &[1, 2]));
}

#[test]
fn lists_of_earlier_order_do_not_count() {
    let mut lists = SessionLists::default();
    lists.record("engines", order(3), addr(1));
    lists.record("engines", order(9), addr(2));
    lists.record("engines", order(3), addr(1));
    assert!(!are_complete(&lists, 9, &[1, 2]));
    assert!(!are_complete(&lists, 3, &[1]));
}

#[test]
fn silent_gateway_is_not_waited_for() {
    let mut members = Members::default();
    let second = Duration::from_secs(1);
    members.record_report(addr(1), None, second);
    members.record_report(addr(2), None, second * 5);
    members.record_listed(&[addr(3)], second * 5);
    let reporting: Vec<_> = members.reporting(addr(9), second * 5, WAIT_TTL).collect();
    assert_eq!(reporting, [addr(2)]);
}
