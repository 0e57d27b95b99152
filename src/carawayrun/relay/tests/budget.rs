use std::time::Duration;

use test_case::test_case;

use crate::relay::budget::{RetryBudget, RetryCause};

const WINDOW: Duration = Duration::from_secs(10);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

// Upstreams fail everything under a burst: repeats stay within the share.
#[test]
fn repeats_stay_within_their_share_of_a_burst() {
    let mut budget = RetryBudget::new(0.9, 0.0, WINDOW);
    let mut retries = 0;
    for step in 0..1_000 {
        let now = at(f64::from(step) * 0.005);
        budget.record_first_send(now);
        while budget.take_retry(now, RetryCause::Failure) {
            retries += 1;
        }
    }
    assert!(retries <= 900, "{retries} retries of 1000 requests");
    assert!(retries >= 600, "{retries} retries of 1000 requests");
}

#[test]
fn a_window_that_is_over_gives_nothing() {
    let mut budget = RetryBudget::new(0.9, 0.0, WINDOW);
    for _ in 0..100 {
        budget.record_first_send(at(0.0));
    }
    assert!(budget.take_retry(at(9.0), RetryCause::Failure));
    assert!(!budget.take_retry(at(10.6), RetryCause::Failure));
}

// However many gateways there are, together they stay within the slack.
#[test_case(1)]
#[test_case(6)]
#[test_case(27)]
fn gateways_without_requests_share_the_slack(gateways: usize) {
    let granted = |_| {
        let mut budget = RetryBudget::new(0.9, 60.0, WINDOW);
        budget.record_gateways(gateways);
        let tried = (0..100).filter(|_| budget.take_retry(at(1.0), RetryCause::Failure));
        tried.count()
    };
    let sum: usize = (0..gateways).map(granted).sum();
    assert!((1..=60).contains(&sum), "{sum} retries");
}

#[test]
fn a_gateway_that_lost_sight_of_the_others_keeps_to_its_part() {
    let mut budget = RetryBudget::new(0.9, 60.0, WINDOW);
    budget.record_gateways(30);
    budget.record_gateways(1);
    let granted = (0..100).filter(|_| budget.take_retry(at(1.0), RetryCause::Failure));
    assert_eq!(granted.count(), 1);
}

// Doubtful answers must not leave failed requests without a second try.
#[test]
fn cascades_leave_a_part_to_failures() {
    let mut budget = RetryBudget::new(1.0, 0.0, WINDOW);
    for _ in 0..100 {
        budget.record_first_send(at(0.0));
    }
    while budget.take_retry(at(0.0), RetryCause::Cascade) {}
    assert!(budget.take_retry(at(0.0), RetryCause::Failure));
}
