use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::rollout::OrderId;
use crate::relay::sessions::{Sessions, VersionInput, uses_new_version};
use crate::relay::view::RolloutView;

const GAP: Duration = Duration::from_secs(5);

fn rollout(share: f64) -> RolloutView {
    RolloutView {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        order: OrderId::default(),
        is_open: true,
        share,
        session_share: share,
        moves_sessions: false,
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
        knows_sessions: false,
        now: Duration::from_secs(now_s),
        gap: GAP,
    }
}

// Active sessions were moved to the new version when a roll-out started. Seen
// on mwlsa-lathe, mix day of seed 368863926483.
#[test_case(0.01, Some("v1"), 101, false; "active session stays on the old version")]
#[test_case(0.01, Some("v1"), 108, false; "active session stays after the longest pause")]
#[test_case(0.01, None, 101, false; "unknown session may be active at another gateway")]
#[test_case(0.01, None, 106, true; "later session may use the new version")]
#[test_case(0.90, None, 106, false; "session outside the canary share stays")]
#[test_case(0.90, Some("v2"), 106, true; "session on the new version stays there")]
fn version_during_canary(hash_point: f64, pinned: Option<&str>, now_s: u64, expected: bool) {
    assert_eq!(
        uses_new_version(&rollout(0.075), &input(hash_point, pinned, now_s)),
        expected
    );
}

// The canary of a roll-out of 15 s got no request for the first 8.5 s, the longest
// pause of a session, and all traffic moved without evidence. Seen on
// mwlsa-lathe-grown, day hasty.
#[test]
fn canary_waits_for_longest_pause_though_all_sessions_are_known() {
    let mut input = input(0.01, None, 101);
    input.knows_sessions = true;
    assert!(uses_new_version(&rollout(0.075), &input));
    input.is_peer_pinned = true;
    assert!(!uses_new_version(&rollout(0.075), &input));
}

#[test_case(0.2, Some("v1"), true; "session within the share moves")]
#[test_case(0.2, None, true; "unknown session within the share moves")]
#[test_case(0.4, Some("v1"), false; "session outside the share stays")]
#[test_case(0.4, Some("v2"), true; "session on the new version stays there")]
fn version_during_spread(hash_point: f64, pinned: Option<&str>, expected: bool) {
    let mut rollout = rollout(0.3);
    rollout.moves_sessions = true;
    let mut input = input(hash_point, pinned, 108);
    input.is_peer_pinned = pinned.is_none();
    assert_eq!(uses_new_version(&rollout, &input), expected);
}

#[test]
fn request_without_session_uses_new_version_immediately() {
    let mut input = input(0.01, None, 100);
    input.has_session = false;
    assert!(uses_new_version(&rollout(0.075), &input));
}

#[test]
fn full_share_moves_all_and_zero_share_none() {
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
fn session_pin_expires_after_pause() {
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
fn expired_sessions_are_removed() {
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

// A session's requests arrive at several gateways, and one of them moved the
// session to the new version. Seen on luzcena-ne, quiet-1.
#[test]
fn session_pinned_by_another_gateway_stays_on_old_version() {
    let now = Duration::from_secs(106);
    let version = CompactString::from("v1");
    let mut here = Sessions::new(GAP);
    let mut there = Sessions::new(GAP);
    there.pin("engines", "s", &version, 0.01, now);
    there.pin("engines", "t", &version, 0.9, now);
    let pinned = there.pinned_sessions("v2", 0.075, now);
    assert_eq!(
        pinned.len(),
        1,
        "only sessions within the canary share are reported"
    );
    here.record_peer_pins(&pinned, now);
    let mut input = input(0.01, None, 106);
    assert!(uses_new_version(&rollout(0.075), &input));
    input.is_peer_pinned = here.is_peer_pinned("engines", "s", now);
    assert!(!uses_new_version(&rollout(0.075), &input));
    assert!(!here.is_peer_pinned("engines", "s", now + GAP * 3));
}

#[test]
fn sessions_on_new_version_are_not_reported() {
    let now = Duration::from_secs(106);
    let mut sessions = Sessions::new(GAP);
    let version = CompactString::from("v2");
    sessions.pin("engines", "s", &version, 0.01, now);
    assert!(sessions.pinned_sessions("v2", 0.075, now).is_empty());
}

// The canary's share grows once the rate of requests is known, when gateways have told
// each other only the sessions of its first share.
#[test]
fn session_is_moved_when_canary_grows() {
    let mut rollout = rollout(0.2);
    rollout.session_share = 0.06;
    let later = 200;
    let session = input(0.1, None, later);
    assert!(!uses_new_version(&rollout, &session));
    let request = VersionInput {
        has_session: false,
        ..input(0.1, None, later)
    };
    assert!(uses_new_version(&rollout, &request));
}
