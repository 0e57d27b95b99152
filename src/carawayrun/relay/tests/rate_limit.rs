use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use test_case::test_case;

use crate::relay::members::Members;
use crate::relay::rate_limit::{LimitNotice, RateLimiter, RateShare, rank};

/// Window over which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7340))
}

fn shares(limit: f64, upstream: &str, gateways: usize) -> Vec<RateShare> {
    let all: Vec<SocketAddr> = (0..gateways).map(addr).collect();
    let share = |own: &SocketAddr| {
        let others = all.iter().filter(|other| *other != own);
        RateShare::new(limit, rank(upstream, *own, others), gateways)
    };
    all.iter().map(share).collect()
}

fn notice(limit: Option<f64>, ms: u64) -> LimitNotice {
    LimitNotice {
        limit,
        at: millis(ms),
        is_own: true,
    }
}

/// Requests that one gateway sends in a window if it always has some, after it sent
/// none for long.
fn sent_in_window(limit: f64, share: RateShare) -> usize {
    let mut limiter = RateLimiter::default();
    limiter.record(notice(Some(limit), 0));
    let begin = Duration::from_hours(1);
    let mut sent = 0;
    let mut now = begin;
    while now < begin + WINDOW {
        while limiter.has_token(share, now) {
            limiter.take_token(share, now);
            sent += 1;
        }
        now += millis(10);
    }
    sent
}

proptest! {
    // Six gateways that each kept to the limit would send six times as much.
    #[test]
    fn sum_of_gateways_exceeds_limit(limit in 0.0_f64..40.0, gateways in 1_usize..430) {
        let all = shares(limit, "i-41e52bc8a6", gateways);
        let sent: usize = all.iter().map(|share| sent_in_window(limit, *share)).sum();
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        prop_assert!(sent as f64 <= allowed, "{sent} of {allowed}");
    }

    #[test]
    fn shares_add_up_to_the_limit(limit in 0.2_f64..40.0, gateways in 1_usize..430) {
        let all = shares(limit, "i-87eac6fe57", gateways);
        let rate: f64 = all.iter().map(|share| share.rate).sum();
        prop_assert!((rate - limit).abs() < 1e-6, "{rate}");
    }
}

#[test_case(1.0, 6, 6; "all gateways of a small deployment")]
#[test_case(1.0, 27, 6; "as many as may send at once")]
#[test_case(20.0, 27, 25; "more at a higher limit")]
fn number_of_gateways_with_a_share(limit: f64, gateways: usize, expected: usize) {
    let all = shares(limit, "i-1", gateways);
    let senders = all.iter().filter(|share| share.burst >= 1.0);
    assert_eq!(senders.count(), expected);
}

#[test]
fn different_upstreams_have_different_senders() {
    let senders = |upstream: &str| -> Vec<bool> {
        let all = shares(1.0, upstream, 27);
        all.iter().map(|share| share.rate > 0.0).collect()
    };
    assert_ne!(senders("i-1"), senders("i-2"));
}

#[test]
fn gateway_that_knows_no_others_sends_nothing() {
    let members = Members::default();
    let share = members.rate_share(addr(0), "i-1", 5.0);
    assert_eq!(share, RateShare::default());
}

// A gateway that is cut off still counts the others.
#[test]
fn silent_gateways_keep_their_shares() {
    let mut members = Members::default();
    members.record_listed(&[addr(0), addr(1), addr(2)], millis(0));
    members.record_report(addr(3), None, millis(1_000));
    members.expire(millis(60_000));
    let share = members.rate_share(addr(0), "i-1", 4.0);
    assert_eq!(share, RateShare::new(4.0, 0, 4));
    members.expire(millis(95_000));
    let alone = members.rate_share(addr(0), "i-1", 4.0);
    assert_eq!(alone, RateShare::new(4.0, 0, 1));
}

#[test]
fn reports_go_to_recent_senders_and_listed_gateways() {
    let mut members = Members::default();
    members.record_report(addr(2), None, millis(0));
    members.record_report(addr(3), None, millis(5_000));
    members.record_listed(&[addr(0), addr(1)], millis(5_000));
    let listed = [addr(0), addr(1)];
    let targets = members.report_targets(&listed, addr(0), millis(9_000));
    assert_eq!(targets, [addr(2), addr(3), addr(1)]);
    let targets = members.report_targets(&listed, addr(0), millis(10_000));
    assert_eq!(targets, [addr(3), addr(1)]);
}

#[test]
fn older_notice_is_ignored() {
    let mut limiter = RateLimiter::default();
    assert!(limiter.record(notice(Some(2.0), 100)));
    assert!(!limiter.record(notice(None, 50)));
    assert_eq!(limiter.limit(), Some(2.0));
    assert!(limiter.record(notice(None, 150)));
    assert_eq!(limiter.ended_at(), Some(millis(150)));
    // Later answers without a limit do not end it again.
    assert!(!limiter.record(notice(None, 900)));
    assert_eq!(limiter.ended_at(), Some(millis(150)));
}

#[test]
fn time_to_token_follows_the_share() {
    let share = RateShare {
        rate: 0.5,
        burst: 1.0,
    };
    let mut limiter = RateLimiter::default();
    limiter.record(notice(Some(3.0), 0));
    assert_eq!(
        limiter.time_to_token(share, millis(0)),
        Some(Duration::ZERO)
    );
    limiter.take_token(share, millis(0));
    assert!(!limiter.has_token(share, millis(1_000)));
    assert_eq!(
        limiter.time_to_token(share, millis(1_000)),
        Some(millis(1_000))
    );
    assert!(limiter.has_token(share, millis(2_000)));
    let none = RateShare::default();
    assert_eq!(limiter.time_to_token(none, millis(9_000)), None);
}
