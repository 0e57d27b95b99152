use std::time::Duration;

use test_case::test_case;

use crate::relay::budget::{RetryBudget, RetryCause};

const WINDOW: Duration = Duration::from_secs(10);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

// All attempts fail during a burst: retries stay within the ratio.
#[test]
fn retries_stay_within_ratio_during_burst() {
    let mut budget = RetryBudget::new(0.9, 0.0, WINDOW);
    let mut retries = 0;
    for step in 0..1_000 {
        let now = secs(f64::from(step) * 0.005);
        budget.record_first_send(now);
        while budget.take_retry(now, RetryCause::Failure) {
            retries += 1;
        }
    }
    assert!(retries <= 900, "{retries} retries of 1000 requests");
    assert!(retries >= 600, "{retries} retries of 1000 requests");
}

#[test]
fn expired_window_allows_no_retries() {
    let mut budget = RetryBudget::new(0.9, 0.0, WINDOW);
    for _ in 0..100 {
        budget.record_first_send(secs(0.0));
    }
    assert!(budget.take_retry(secs(9.0), RetryCause::Failure));
    assert!(!budget.take_retry(secs(10.6), RetryCause::Failure));
}

// All gateways together stay within the slack, however many there are.
#[test_case(1)]
#[test_case(6)]
#[test_case(27)]
fn idle_gateways_share_slack(gateways: usize) {
    let granted = |_| {
        let mut budget = RetryBudget::new(0.9, 60.0, WINDOW);
        budget.record_gateways(Some(gateways));
        let tried = (0..100).filter(|_| budget.take_retry(secs(1.0), RetryCause::Failure));
        tried.count()
    };
    let sum: usize = (0..gateways).map(granted).sum();
    assert!((1..=60).contains(&sum), "{sum} retries");
}

// All processes were started at once and had not read who else runs.
#[test]
fn starting_gateways_exceed_slack() {
    let granted = |_| {
        let mut budget = RetryBudget::new(0.9, 60.0, WINDOW);
        let tried = (0..100).filter(|_| budget.take_retry(secs(1.0), RetryCause::Failure));
        tried.count()
    };
    let sum: usize = (0..410).map(granted).sum();
    assert!(sum <= 60, "{sum} retries");
}

#[test]
fn disconnected_gateway_keeps_its_part_of_slack() {
    let mut budget = RetryBudget::new(0.9, 60.0, WINDOW);
    budget.record_gateways(Some(30));
    budget.record_gateways(Some(1));
    budget.record_gateways(None);
    let granted = (0..100).filter(|_| budget.take_retry(secs(1.0), RetryCause::Failure));
    assert_eq!(granted.count(), 1);
}

// Cascades must not use up the retries of failed requests.
#[test]
fn cascades_leave_retries_for_failures() {
    let mut budget = RetryBudget::new(1.0, 0.0, WINDOW);
    for _ in 0..100 {
        budget.record_first_send(secs(0.0));
    }
    while budget.take_retry(secs(0.0), RetryCause::Cascade) {}
    assert!(budget.take_retry(secs(0.0), RetryCause::Failure));
}

// A sound attempt was given up where the budget had a part of a retry left.
#[test]
fn part_of_a_retry_counts_as_one() {
    let mut budget = RetryBudget::new(0.9, 0.0, WINDOW);
    for step in 0..100 {
        let now = secs(f64::from(step) * 0.05);
        budget.record_first_send(now);
        let has_retry = budget.has_retry(now, RetryCause::Failure);
        let taken = budget.take_retry(now, RetryCause::Failure);
        assert_eq!(has_retry, taken, "after {step}");
    }
}
