use std::time::Duration;

use test_case::test_case;

use crate::relay::usual_time::UsualTime;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn usual(samples: usize, ms: u64) -> UsualTime {
    let mut usual = UsualTime::default();
    for _ in 0..samples {
        usual.record(millis(ms), 2_000);
    }
    usual
}

#[test]
fn nothing_is_late_before_enough_answers() {
    assert_eq!(usual(7, 100).late_after(2_000), None);
}

#[test_case(2_000, 150; "same prompt")]
#[test_case(6_000, 300; "longer prompt")]
fn late_time_grows_with_prompt(tokens: u32, expected_ms: u64) {
    let late_after = usual(8, 100).late_after(tokens).unwrap();
    assert_eq!(late_after.as_millis() as u64, expected_ms);
}

#[test]
fn short_answers_are_not_late_by_scheduling_delay() {
    let late_after = usual(20, 4).late_after(2_000).unwrap();
    assert_eq!(late_after.as_millis(), 9);
}

#[test]
fn usual_time_follows_recent_answers() {
    let mut usual = usual(64, 100);
    for _ in 0..40 {
        usual.record(millis(300), 2_000);
    }
    assert_eq!(usual.late_after(2_000).unwrap().as_millis(), 450);
}
