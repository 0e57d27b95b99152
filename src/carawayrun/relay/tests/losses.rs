use std::time::Duration;

use slotmap::SlotMap;
use test_case::test_case;

use crate::relay::losses::{Loss, Losses};
use crate::relay::view::UpstreamKey;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstreams() -> Vec<UpstreamKey> {
    let mut upstreams = SlotMap::with_key();
    (0..4).map(|_| upstreams.insert(())).collect()
}

// Seen on luzcena-ne-grown, scale-2: a quarter of all upstreams crashed as the
// new version took all traffic, and that good version was withdrawn.
#[test]
fn a_wave_of_crashes_is_not_held_against_a_version() {
    let upstreams = upstreams();
    let mut losses = Losses::default();
    for _ in 0..20 {
        losses.lost("engines", "v2", Loss::OfRequest, at(1_000));
    }
    losses.unreachable(upstreams[0], "engines", "v1", at(1_200));
    losses.unreachable(upstreams[1], "engines", "v1", at(1_900));
    assert!(losses.settle(at(1_999)).is_empty());
    assert!(losses.settle(at(2_000)).is_empty());
    assert!(losses.settle(at(9_000)).is_empty());
}

#[test_case("engines", "v2", 1_200; "its own upstreams went")]
#[test_case("plain", "v1", 1_200; "those of another service went")]
#[test_case("engines", "v1", 3_000; "the others went later")]
fn a_loss_is_held_against_its_version_where(service: &str, version: &str, crashed: u64) {
    let upstreams = upstreams();
    let mut losses = Losses::default();
    losses.lost("engines", "v2", Loss::OfRequest, at(1_000));
    for upstream in &upstreams {
        losses.unreachable(*upstream, service, version, at(crashed));
    }
    assert_eq!(
        losses.settle(at(4_000)),
        [("engines".into(), "v2".into(), Loss::OfRequest)]
    );
}

// One crashed upstream, asked again and again, is not a wave.
#[test]
fn a_single_upstream_excuses_nothing() {
    let upstreams = upstreams();
    let mut losses = Losses::default();
    losses.lost("engines", "v2", Loss::OfRequest, at(1_000));
    for ms in [900, 1_100, 1_300] {
        losses.unreachable(upstreams[0], "engines", "v1", at(ms));
    }
    assert_eq!(losses.settle(at(2_000)).len(), 1);
}
