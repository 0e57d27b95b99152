use std::time::Duration;

use crate::relay::health::Health;

const NOW: Duration = Duration::from_secs(100);

// Half of the upstreams crash, and others start at their addresses while the
// old registrations are still there: each request met several of them.
#[test]
fn an_upstream_that_was_displaced_is_left_out_until_its_registration_lapses() {
    let mut health = Health::default();
    health.record_displaced(NOW);
    assert!(health.is_ejected(NOW + Duration::from_millis(3_600)));
}

#[test]
fn an_upstream_without_room_is_asked_again_soon() {
    let mut health = Health::default();
    health.record_full(NOW, Duration::from_millis(150));
    assert!(health.is_ejected(NOW + Duration::from_millis(149)));
    assert!(!health.is_ejected(NOW + Duration::from_millis(150)));
}

#[test]
fn an_upstream_that_stays_away_is_tried_more_and_more_seldom() {
    let mut health = Health::default();
    health.record_unreachable(NOW);
    assert!(!health.is_ejected(NOW + Duration::from_millis(300)));
    health.record_unreachable(NOW);
    assert!(health.is_ejected(NOW + Duration::from_millis(599)));
    health.record_answer(NOW, false);
    health.record_unreachable(NOW);
    assert!(!health.is_ejected(NOW + Duration::from_millis(300)));
}

// All gateways avoid an upstream that failed; without time nobody would learn
// that it is well again.
#[test]
fn failures_are_forgotten_where_nothing_is_tried() {
    let mut health = Health::default();
    for _ in 0..10 {
        health.record_answer(NOW, true);
    }
    assert!(health.failure_rate(NOW) > 0.7);
    assert!(health.failure_rate(NOW + Duration::from_secs(20)) < 0.05);
}
