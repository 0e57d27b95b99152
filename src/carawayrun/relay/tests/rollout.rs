use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::rollout::{Comparison, Order, Outcomes, Phase, begin, due, share};

fn order() -> Order {
    Order {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        limit: Duration::from_secs(20),
        version: 7,
    }
}

fn outcomes(answered: f64, failed: f64, slow: f64) -> Outcomes {
    Outcomes {
        answered,
        failed,
        slow,
    }
}

fn seen(new: Outcomes) -> Comparison {
    Comparison {
        old: outcomes(400.0, 8.0, 4.0),
        new,
    }
}

#[test_case(Phase::Canary, 5, None; "tried in the first half")]
#[test_case(Phase::Canary, 12, Some(Phase::Spread); "spread past the half")]
#[test_case(Phase::Spread, 12, None; "streams on the old version may end")]
#[test_case(Phase::Spread, 18, Some(Phase::Complete); "complete in time")]
#[test_case(Phase::Canary, 19, Some(Phase::Spread); "a late holder does not skip the spread")]
#[test_case(Phase::Complete, 30, None; "nothing after the end")]
#[test_case(Phase::Reverted, 30, None; "nothing after a revert")]
fn a_good_version_moves_on_by_time(phase: Phase, after_s: u64, expected: Option<Phase>) {
    let start = Duration::from_secs(100);
    let mut row = begin(&order(), start);
    row.phase = phase;
    let good = seen(outcomes(60.0, 1.0, 0.0));
    let now = start + Duration::from_secs(after_s);
    assert_eq!(due(&order(), &row, &good, now), expected);
}

#[test_case(outcomes(40.0, 22.0, 0.0); "failing half of its requests")]
#[test_case(outcomes(40.0, 0.0, 24.0); "several times slower on half of them")]
fn a_bad_version_is_reverted_in_either_phase(new: Outcomes) {
    let start = Duration::from_secs(100);
    let mut row = begin(&order(), start);
    for phase in [Phase::Canary, Phase::Spread] {
        row.phase = phase;
        assert_eq!(
            due(&order(), &row, &seen(new), start),
            Some(Phase::Reverted)
        );
    }
}

#[test]
fn a_few_failures_revert_nothing() {
    let row = begin(&order(), Duration::ZERO);
    let new = seen(outcomes(10.0, 2.0, 1.0));
    assert_eq!(due(&order(), &row, &new, Duration::from_secs(1)), None);
}

#[test]
fn the_new_version_takes_a_part_of_the_allowed_exposure() {
    assert!(share(Phase::Canary, 0.15) < 0.15);
    assert!((share(Phase::Spread, 0.15) - 1.0).abs() < f64::EPSILON);
    assert!(share(Phase::Reverted, 0.15).abs() < f64::EPSILON);
}
