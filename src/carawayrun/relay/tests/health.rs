use std::time::Duration;

use crate::relay::health::Health;

const NOW: Duration = Duration::from_secs(100);

// Guards against repeated sends to displaced upstreams. After half of the upstreams
// had crashed and others had started at their addresses, before the old
// registrations expired, each request was sent to several of them in turn.
#[test]
fn displaced_upstream_is_ejected_until_registration_expires() {
    let mut health = Health::default();
    health.record_displaced(NOW);
    assert!(health.is_ejected(NOW + Duration::from_millis(3_600)));
}

#[test]
fn refusing_upstream_is_ejected_briefly() {
    let mut health = Health::default();
    health.record_refusal(NOW, Duration::from_millis(150));
    assert!(health.is_ejected(NOW + Duration::from_millis(149)));
    assert!(!health.is_ejected(NOW + Duration::from_millis(150)));
}

#[test]
fn unreachable_upstream_is_ejected_for_longer_each_time() {
    let mut health = Health::default();
    health.record_unreachable(NOW);
    assert!(!health.is_ejected(NOW + Duration::from_millis(300)));
    health.record_unreachable(NOW);
    assert!(health.is_ejected(NOW + Duration::from_millis(599)));
    health.record_answer(NOW, false);
    health.record_unreachable(NOW);
    assert!(!health.is_ejected(NOW + Duration::from_millis(300)));
}

// All gateways avoid a failing upstream; without decay none would detect its
// recovery.
#[test]
fn failure_rate_decays_without_attempts() {
    let mut health = Health::default();
    for _ in 0..10 {
        health.record_answer(NOW, true);
    }
    assert!(health.failure_rate(NOW) > 0.7);
    assert!(health.failure_rate(NOW + Duration::from_secs(20)) < 0.05);
}
