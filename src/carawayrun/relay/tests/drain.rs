use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use proptest::prelude::*;
use test_case::test_case;
use tokio::time::{Instant, advance, sleep_until};

use crate::relay::drain::{Drain, Phase, Phases, retry_after};
use crate::relay::members::Members;
use crate::relay::metrics::{DrainEnd, Metrics};
use crate::relay::request_log::RequestOutcome;
use crate::relay::service_time::ServiceTime;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// A grace period that was shorter than the drain's own times left no time for answers.
#[test_case(1; "a millisecond")]
#[test_case(500; "short")]
#[test_case(1_000; "of a second")]
#[test_case(2_000; "of two seconds")]
#[test_case(8_000; "usual")]
#[test_case(60_000; "long")]
#[tokio::test(start_paused = true)]
async fn drain_ends_within_grace(grace: u64) {
    let begun = Instant::now();
    let drain = Drain::begin(millis(grace));
    assert!(begun <= drain.close_by());
    assert!(drain.close_by() <= drain.answer_by);
    assert!(drain.answer_by <= drain.end);
    assert!(drain.end <= begun + millis(grace));
    // A cut before the last sixth is not excused: it came at 0.775 s of a grace of 1 s.
    assert!(drain.answer_by >= begun + millis(grace) * 5 / 6);
}

#[tokio::test(start_paused = true)]
async fn request_that_can_not_end_is_taken() {
    let drain = Drain::begin(millis(8_000));
    assert!(drain.has_time_for(millis(7_600)));
    assert!(!drain.has_time_for(millis(7_601)));
    advance(millis(7_300)).await;
    assert!(drain.has_time_for(millis(300)));
    assert!(!drain.has_time_for(millis(301)));
}

proptest! {
    // A stream that was read 3 s and more after the signal was taken since most of its route
    // end in time, and cut in the middle of its answer.
    #[test]
    fn request_taken_late_is_cut(
        grace in 1_u64..60_000,
        signal in 0_u64..300,
        sent in 0_u64..60_000,
        expected in 0_u64..30_000,
        limit in 1_u64..30_000,
        took in 0_u64..30_000,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        let (taken, left) = runtime.block_on(async {
            let signalled = Instant::now();
            advance(millis(signal)).await;
            let drain = Drain::begin(millis(grace));
            sleep_until(signalled + millis(sent)).await;
            let expected = millis(expected.min(limit));
            let taken = drain.can_take(expected, millis(limit));
            // What is left of the grace period after the answer, if it gets its time.
            let ended = Instant::now() + millis(took.min(limit));
            let killed = signalled + millis(grace);
            (taken, (drain.answer_by.min(killed)).checked_duration_since(ended))
        });
        prop_assert!(!taken || sent <= 3_000 || left.is_some());
    }
}

fn relay(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7010))
}

// All relays stopped at once, and clients came back within 0.15 s to be refused again.
#[test]
fn clients_return_before_a_relay_serves() {
    let (own, stops_in) = (relay(1), millis(5_000));
    let mut members = Members::default();
    let wait = |members: &Members, now| members.time_to_serve(own, stops_in, millis(now));
    // Nothing is known of others: the relay itself starts again.
    assert_eq!(wait(&members, 0), millis(6_000));
    members.record_report(relay(2), Some(millis(1_000)), millis(100));
    members.record_report(relay(3), Some(millis(3_000)), millis(100));
    assert_eq!(wait(&members, 600), millis(1_500));
    // It should have started again by now, though it was not heard since.
    assert_eq!(wait(&members, 2_100), Duration::ZERO);
    members.record_report(relay(3), Some(millis(3_000)), millis(2_200));
    members.record_report(relay(2), Some(millis(4_000)), millis(2_200));
    assert_eq!(wait(&members, 2_300), millis(3_900));
    // Its reports may be lost, and it serves.
    members.record_listed(&[relay(4)], millis(2_300));
    assert_eq!(wait(&members, 2_300), Duration::ZERO);
}

#[test]
fn refused_clients_return_together() {
    assert_eq!(retry_after(Duration::ZERO, 0.0), millis(50));
    assert_eq!(retry_after(Duration::ZERO, 1.0), millis(150));
    assert_eq!(retry_after(millis(2_000), 0.0), millis(2_000));
    assert_eq!(retry_after(millis(2_000), 1.0), millis(3_000));
}

// A connection that was just accepted is no idle one: its client's request is on its way.
#[tokio::test(start_paused = true)]
async fn new_connection_is_closed_as_idle() {
    let drain = Drain::begin(millis(8_000));
    let begun = Instant::now();
    assert_eq!(Phase::Serving.close_idle_at(true), None);
    let draining = Phase::Draining(drain);
    assert_eq!(draining.close_idle_at(true), Some(begun + millis(2_500)));
    assert_eq!(draining.close_idle_at(false), None);
    advance(millis(3_200)).await;
    assert!(drain.is_over());
    let closing = Phase::Closing(drain, Instant::now());
    assert_eq!(closing.close_idle_at(true), Some(Instant::now()));
    let until = closing.close_idle_at(false);
    assert_eq!(until, Some(Instant::now() + millis(150)));
}

// A request that was under way when the drain began is bound by its end, too.
#[tokio::test(start_paused = true)]
async fn answers_are_due_in_a_drain_that_begins_later() {
    let phases = std::rc::Rc::new(Phases::default());
    let began = Instant::now();
    let due = async {
        phases.answer_due().await;
        began.elapsed()
    };
    let drain = async {
        tokio::time::sleep(millis(1_000)).await;
        phases.begin_drain(Drain::begin(millis(8_000)));
    };
    let (due, ()) = tokio::join!(due, drain);
    assert!((millis(8_600)..millis(8_610)).contains(&due), "{due:?}");
}

proptest! {
    // What is refused and what is cut follows from this estimate.
    #[test]
    fn expected_time_covers_steady_answers(ms in 1_u64..20_000, spread in 0_u64..100) {
        let mut time = ServiceTime::new(millis(ms));
        for number in 0..200 {
            let off = ms * spread / 1_000 * u64::from(number % 2 == 0);
            time.record(millis(ms + off));
        }
        let longest = millis(ms + ms * spread / 1_000);
        prop_assert!(time.expected(false) + millis(1) >= longest);
        prop_assert!(time.expected(true) <= time.expected(false));
        prop_assert!(time.expected(false) <= longest * 2);
    }
}

// Streams that ended at the last moment were counted nowhere: `cut` was zero.
#[test_case(RequestOutcome::Interrupted, 504, DrainEnd::Cut; "cut")]
#[test_case(RequestOutcome::Refused, 503, DrainEnd::Refused; "refused")]
#[test_case(RequestOutcome::Refused, 504, DrainEnd::Failed; "failed")]
#[test_case(RequestOutcome::Answered, 200, DrainEnd::Answered; "answered")]
#[test_case(RequestOutcome::ClientDisconnected, 200, DrainEnd::ClientDisconnected; "client gone")]
fn cut_streams_are_not_counted(outcome: RequestOutcome, status: u16, end: DrainEnd) {
    let metrics = Metrics::default();
    let status = StatusCode::from_u16(status).expect("it is a status");
    metrics.record_drained(DrainEnd::new(outcome, status));
    assert_eq!(metrics.drained(end), 1);
}
