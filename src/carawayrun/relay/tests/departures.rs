use std::time::Duration;

use proptest::prelude::*;
use test_case::test_case;

use crate::relay::departures::Departures;
use crate::relay::rests::{Incarnation, RESTART_LAG};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation::from_digest(number)
}

// The registration of the same incarnation may lapse and return, for instance from a copy
// of the store.
#[test]
fn departure_outlasts_registration() {
    let mut departures = Departures::default();
    assert!(departures.record(incarnation(1), true, secs(0)));
    assert!(!departures.record(incarnation(1), true, secs(1)));
    departures.expire(|_| false, secs(300));
    assert!(departures.contains(incarnation(1)));
    assert!(!departures.contains(incarnation(2)));
    departures.expire(|_| true, secs(3_600));
    assert!(departures.contains(incarnation(1)));
    departures.expire(|_| false, secs(3_600));
    assert!(!departures.contains(incarnation(1)));
}

// Gateways tell only what they were told themselves, or they would do so without an end.
#[test]
fn only_own_departures_are_reported() {
    let mut departures = Departures::default();
    departures.record(incarnation(1), false, secs(0));
    assert_eq!(departures.reported(secs(1)), []);
    departures.record(incarnation(1), true, secs(2));
    assert_eq!(departures.reported(secs(3)), [incarnation(1)]);
    assert_eq!(departures.reported(secs(30)), []);
    assert!(departures.contains(incarnation(1)));
}

#[test]
fn reports_of_departures_are_bounded() {
    let mut departures = Departures::default();
    for number in 0..500 {
        departures.record(incarnation(number), true, secs(number / 100));
    }
    let reported = departures.reported(secs(5));
    assert_eq!(reported.len(), 16);
    assert!(
        reported.iter().all(|key| key.digest() >= 400),
        "{reported:?}"
    );
}

/// `drain_ms` of the platform.
const DRAIN: Duration = Duration::from_secs(2);

#[test]
fn departure_is_lost_at_restart_that_was_not_known() {
    let mut departures = Departures::default();
    departures.record(incarnation(1), true, secs(0));
    departures.inherit(incarnation(1), incarnation(2), DRAIN, secs(2));
    departures.inherit(incarnation(1), incarnation(3), DRAIN, secs(4));
    assert!(departures.contains(incarnation(2)));
    assert!(!departures.contains(incarnation(3)));
}

// Upstreams that were restarted under their names were never used again, as what they had
// said before held for good and was told on.
#[test]
fn departure_of_earlier_incarnation_holds_without_end() {
    let mut departures = Departures::default();
    departures.record(incarnation(1), true, secs(0));
    departures.inherit(incarnation(1), incarnation(2), DRAIN, secs(2));
    assert_eq!(departures.reported(secs(2)), [incarnation(1)]);
    departures.expire(|_| true, secs(4));
    assert!(departures.contains(incarnation(2)));
    departures.expire(|_| true, secs(5));
    assert!(!departures.contains(incarnation(2)));
}

#[test_case(true; "in an answer")]
#[test_case(false; "in a report")]
fn departure_that_the_new_incarnation_repeats_ends(is_own: bool) {
    let mut departures = Departures::default();
    departures.record(incarnation(1), true, secs(0));
    departures.inherit(incarnation(1), incarnation(2), DRAIN, secs(1));
    assert!(departures.record(incarnation(2), is_own, secs(2)));
    departures.expire(|_| true, secs(60));
    assert!(departures.contains(incarnation(2)));
}

/// What happens to one upstream.
#[derive(Debug, Clone, Copy)]
enum Happening {
    /// The incarnation says that it leaves, in an answer or in a report.
    Leaves(bool),
    /// It starts again, and that is known after a while.
    Restarts(u64),
    Passes(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        any::<bool>().prop_map(Happening::Leaves),
        (0_u64..4_000).prop_map(Happening::Restarts),
        (0_u64..8_000).prop_map(Happening::Passes),
    ]
}

proptest! {
    // In any order of answers, reports and restarts, an upstream that starts again and
    // says nothing is in use at most so long after.
    #[test]
    fn restarted_upstream_is_never_used_again(
        happenings in prop::collection::vec(happening(), 0..40)
    ) {
        let mut departures = Departures::default();
        let (mut now, mut number) = (Duration::ZERO, 1);
        for happening in happenings.into_iter().chain([Happening::Restarts(0)]) {
            match happening {
                Happening::Leaves(is_own) => {
                    departures.record(incarnation(number), is_own, now);
                }
                Happening::Restarts(lag) => {
                    now += Duration::from_millis(lag);
                    departures.inherit(incarnation(number), incarnation(number + 1), DRAIN, now);
                    number += 1;
                }
                Happening::Passes(millis) => now += Duration::from_millis(millis),
            }
            departures.expire(|_| true, now);
        }
        departures.expire(|_| true, now + RESTART_LAG + DRAIN);
        prop_assert!(!departures.contains(incarnation(number)));
    }
}
