use std::time::Duration;

use crate::relay::outage::{Gap, OutageDetector};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// An upstream left, and was kept as if its registration had lapsed.
#[test]
fn silence_without_failed_call_is_no_outage() {
    let mut outages = OutageDetector::default();
    assert_eq!(outages.record_confirmed(millis(17_660)), None);
    let gap = outages.record_confirmed(millis(21_070));
    assert_eq!(gap, Some(Gap::Silence(millis(3_410))));
}

#[test]
fn failed_call_in_gap_shows_outage() {
    let mut outages = OutageDetector::default();
    outages.record_confirmed(millis(10_000));
    outages.record_failure(millis(11_200));
    outages.record_failure(millis(13_100));
    let gap = outages.record_confirmed(millis(14_000));
    assert_eq!(gap, Some(Gap::Outage(millis(4_000))));
}

#[test]
fn failed_call_before_gap_shows_no_outage() {
    let mut outages = OutageDetector::default();
    outages.record_confirmed(millis(10_000));
    outages.record_failure(millis(11_200));
    assert_eq!(outages.record_confirmed(millis(12_000)), None);
    let gap = outages.record_confirmed(millis(16_000));
    assert_eq!(gap, Some(Gap::Silence(millis(4_000))));
}

// A report may be overtaken by a later one.
#[test]
fn older_confirmation_begins_no_gap() {
    let mut outages = OutageDetector::default();
    outages.record_confirmed(millis(10_000));
    assert_eq!(outages.record_confirmed(millis(8_000)), None);
    assert_eq!(outages.record_confirmed(millis(11_000)), None);
    assert_eq!(outages.confirmed_at(), Some(millis(11_000)));
}
