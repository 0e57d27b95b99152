use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::sessions::{Sessions, VersionInput, uses_new_version};
use crate::relay::view::RolloutView;

const GAP: Duration = Duration::from_secs(5);

fn rollout(share: f64) -> RolloutView {
    RolloutView {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        share,
        withdrawn: Vec::new(),
        started_at: Duration::from_secs(100),
    }
}

fn input(hash_point: f64, pinned: Option<&str>, now_s: u64) -> VersionInput<'_> {
    VersionInput {
        hash_point,
        has_session: true,
        pinned,
        is_peer_pinned: false,
        now: Duration::from_secs(now_s),
        gap: GAP,
    }
}

// Seen on mwlsa-lathe, mix day of seed 368863926483: sessions under way when a
// roll-out began were moved to the new version.
#[test_case(0.01, Some("v1"), 101, false; "a session under way stays on the old version")]
#[test_case(0.01, Some("v1"), 108, false; "it stays for as long as it goes on")]
#[test_case(0.01, None, 101, false; "one that is not known may be under way elsewhere")]
#[test_case(0.01, None, 106, true; "one that begins later may go to the new version")]
#[test_case(0.90, None, 106, false; "most stay on the old version")]
#[test_case(0.90, Some("v2"), 106, true; "one on the new version stays there")]
fn while_it_is_tried(hash_point: f64, pinned: Option<&str>, now_s: u64, expected: bool) {
    assert_eq!(
        uses_new_version(&rollout(0.075), &input(hash_point, pinned, now_s)),
        expected
    );
}

#[test]
fn a_request_without_a_session_may_go_at_once() {
    let mut input = input(0.01, None, 100);
    input.has_session = false;
    assert!(uses_new_version(&rollout(0.075), &input));
}

#[test]
fn all_move_once_it_is_good_and_none_once_it_is_bad() {
    assert!(uses_new_version(
        &rollout(1.0),
        &input(0.9, Some("v1"), 101)
    ));
    assert!(!uses_new_version(
        &rollout(0.0),
        &input(0.01, Some("v2"), 101)
    ));
}

#[test]
fn a_session_is_forgotten_after_its_pause() {
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v1");
    sessions.pin("engines", "s", &version, 0.5, Duration::from_secs(1));
    assert_eq!(
        sessions.pinned_version("engines", "s", Duration::from_secs(6)),
        Some(&version)
    );
    assert_eq!(
        sessions.pinned_version("engines", "s", Duration::from_secs(12)),
        None
    );
    assert_eq!(
        sessions.pinned_version("other", "s", Duration::from_secs(2)),
        None
    );
}

#[test]
fn sessions_that_ended_do_not_pile_up() {
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v1");
    for n in 0..20_000_u64 {
        let session = format!("s{n}");
        sessions.pin(
            "engines",
            &session,
            &version,
            0.5,
            Duration::from_millis(n * 10),
        );
    }
    assert!(sessions.len() < 10_000, "{} sessions", sessions.len());
}

// Seen on luzcena-ne, quiet-1: a session's requests come in at several gateways.
#[test]
fn a_session_that_another_gateway_has_stays_on_the_old_version() {
    let now = Duration::from_secs(106);
    let version = CompactString::from("v1");
    let mut here = Sessions::new(GAP);
    let mut there = Sessions::new(GAP);
    there.pin("engines", "s", &version, 0.01, now);
    there.pin("engines", "t", &version, 0.9, now);
    let pinned = there.pinned_sessions("v2", now);
    assert_eq!(
        pinned.len(),
        1,
        "only those that a canary would take are told"
    );
    here.record_peer_pins(&pinned, now);
    let mut input = input(0.01, None, 106);
    assert!(uses_new_version(&rollout(0.075), &input));
    input.is_peer_pinned = here.is_peer_pinned("engines", "s", now);
    assert!(!uses_new_version(&rollout(0.075), &input));
    assert!(!here.is_peer_pinned("engines", "s", now + GAP * 3));
}

#[test]
fn sessions_on_the_new_version_are_not_kept_from_it() {
    let now = Duration::from_secs(106);
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v2");
    sessions.pin("engines", "s", &version, 0.01, now);
    assert!(sessions.pinned_sessions("v2", now).is_empty());
}
