use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::sessions::{Claim, Sessions, takes_new};
use crate::relay::view::RolloutView;

const GAP: Duration = Duration::from_secs(5);

fn rollout(share: f64) -> RolloutView {
    RolloutView {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        share,
        withdrawn: Vec::new(),
        begun_at: Duration::from_secs(100),
    }
}

fn claim(point: f64, pinned: Option<&str>, now_s: u64) -> Claim<'_> {
    Claim {
        point,
        has_session: true,
        pinned,
        is_kept: false,
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
fn while_it_is_tried(point: f64, pinned: Option<&str>, now_s: u64, expected: bool) {
    assert_eq!(
        takes_new(&rollout(0.075), &claim(point, pinned, now_s)),
        expected
    );
}

#[test]
fn a_request_without_a_session_may_go_at_once() {
    let mut claim = claim(0.01, None, 100);
    claim.has_session = false;
    assert!(takes_new(&rollout(0.075), &claim));
}

#[test]
fn all_move_once_it_is_good_and_none_once_it_is_bad() {
    assert!(takes_new(&rollout(1.0), &claim(0.9, Some("v1"), 101)));
    assert!(!takes_new(&rollout(0.0), &claim(0.01, Some("v2"), 101)));
}

#[test]
fn a_session_is_forgotten_after_its_pause() {
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v1");
    sessions.used("engines", "s", &version, 0.5, Duration::from_secs(1));
    assert_eq!(
        sessions.version("engines", "s", Duration::from_secs(6)),
        Some(&version)
    );
    assert_eq!(
        sessions.version("engines", "s", Duration::from_secs(12)),
        None
    );
    assert_eq!(sessions.version("other", "s", Duration::from_secs(2)), None);
}

#[test]
fn sessions_that_ended_do_not_pile_up() {
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v1");
    for n in 0..20_000_u64 {
        let session = format!("s{n}");
        sessions.used(
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
    there.used("engines", "s", &version, 0.01, now);
    there.used("engines", "t", &version, 0.9, now);
    let kept = there.kept("v2", now);
    assert_eq!(
        kept.len(),
        1,
        "only those that a canary would take are told"
    );
    here.keep(&kept, now);
    let mut claim = claim(0.01, None, 106);
    assert!(takes_new(&rollout(0.075), &claim));
    claim.is_kept = here.is_kept("engines", "s", now);
    assert!(!takes_new(&rollout(0.075), &claim));
    assert!(!here.is_kept("engines", "s", now + GAP * 3));
}

#[test]
fn sessions_on_the_new_version_are_not_kept_from_it() {
    let now = Duration::from_secs(106);
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v2");
    sessions.used("engines", "s", &version, 0.01, now);
    assert!(sessions.kept("v2", now).is_empty());
}
