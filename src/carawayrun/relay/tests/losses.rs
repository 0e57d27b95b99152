use std::time::Duration;

use slotmap::SlotMap;
use test_case::test_case;

use crate::relay::losses::{Loss, LossTracker};
use crate::relay::tally::RouteDigest;
use crate::relay::view::UpstreamKey;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstreams() -> Vec<UpstreamKey> {
    let mut upstreams = SlotMap::with_key();
    (0..4).map(|_| upstreams.insert(())).collect()
}

// A good version was withdrawn because a quarter of all upstreams crashed while
// it took over all traffic. Seen on luzcena-ne-grown, scale-2.
#[test]
fn losses_during_correlated_crashes_do_not_count() {
    let upstreams = upstreams();
    let mut losses = LossTracker::default();
    for _ in 0..20 {
        losses.record_loss(
            "engines",
            "v2",
            RouteDigest::OTHERS,
            Loss::Unanswered,
            millis(1_000),
        );
    }
    losses.record_unreachable(upstreams[0], "engines", "v1", millis(1_200));
    losses.record_unreachable(upstreams[1], "engines", "v1", millis(1_900));
    assert!(losses.take_attributed(millis(1_999)).is_empty());
    assert!(losses.take_attributed(millis(2_000)).is_empty());
    assert!(losses.take_attributed(millis(9_000)).is_empty());
}

#[test_case("engines", "v2", 1_200; "only upstreams of its version crashed")]
#[test_case("plain", "v1", 1_200; "upstreams of another service crashed")]
#[test_case("engines", "v1", 3_000; "other upstreams crashed later")]
fn loss_counts_against_its_version(service: &str, version: &str, crashed: u64) {
    let upstreams = upstreams();
    let mut losses = LossTracker::default();
    losses.record_loss(
        "engines",
        "v2",
        RouteDigest::OTHERS,
        Loss::Unanswered,
        millis(1_000),
    );
    for upstream in &upstreams {
        losses.record_unreachable(*upstream, service, version, millis(crashed));
    }
    assert_eq!(
        losses.take_attributed(millis(4_000)),
        [(
            "engines".into(),
            "v2".into(),
            RouteDigest::OTHERS,
            Loss::Unanswered
        )]
    );
}

// One crashed upstream counts once, however often it is tried.
#[test]
fn repeated_failures_of_one_upstream_do_not_excuse_loss() {
    let upstreams = upstreams();
    let mut losses = LossTracker::default();
    losses.record_loss(
        "engines",
        "v2",
        RouteDigest::OTHERS,
        Loss::Unanswered,
        millis(1_000),
    );
    for ms in [900, 1_100, 1_300] {
        losses.record_unreachable(upstreams[0], "engines", "v1", millis(ms));
    }
    assert_eq!(losses.take_attributed(millis(2_000)).len(), 1);
}
