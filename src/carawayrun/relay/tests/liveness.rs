use std::time::Duration;

use test_case::test_case;

use crate::relay::liveness::{Liveness, SendState, SilenceDetector};

const STEP: u64 = 500;

// Checks the states of successive steps; the last verdict counts.
fn judge(states: &[SendState]) -> Liveness {
    let mut detector = SilenceDetector::default();
    let verdicts = states.iter().zip(0..).map(|(state, step)| {
        detector.observe(
            state,
            Duration::from_mins(1) + Duration::from_millis(STEP * step),
        )
    });
    verdicts.last().expect("there are states")
}

// The peer's last answer was so many milliseconds ago.
fn state(unacknowledged: u32, probes: u8, unsent: u32, answered_ms: u64) -> SendState {
    SendState {
        unacknowledged,
        probes,
        unsent,
        since_answer: Duration::from_millis(answered_ms),
    }
}

#[test_case(&[state(0, 0, 0, 30_000)] => Liveness::Acknowledged; "idle")]
// An old answer says nothing of bytes that were just written.
#[test_case(&[state(3, 0, 0, 30_000)] => Liveness::Outstanding; "just written")]
#[test_case(&[state(3, 0, 0, 100), state(3, 0, 0, 600), state(3, 0, 0, 1_100)] => Liveness::Outstanding; "not yet silent")]
#[test_case(&[state(3, 0, 0, 100), state(3, 0, 0, 600), state(3, 0, 0, 1_100), state(3, 0, 0, 1_600)] => Liveness::Silent; "unacknowledged")]
#[test_case(&[state(3, 0, 0, 100), state(3, 0, 0, 600), state(3, 0, 0, 20), state(3, 0, 0, 520)] => Liveness::Outstanding; "acknowledged in between")]
#[test_case(&[state(0, 0, 9_000, 100), state(0, 0, 9_000, 600), state(0, 0, 9_000, 1_100), state(0, 0, 9_000, 1_600)] => Liveness::Outstanding; "closed window, each probe answered")]
#[test_case(&[state(0, 1, 9_000, 600), state(0, 1, 9_000, 1_100), state(0, 2, 9_000, 1_600), state(0, 2, 9_000, 2_100)] => Liveness::Silent; "closed window, no probe answered")]
#[test_case(&[state(0, 1, 9_000, 600), state(0, 0, 9_000, 100), state(0, 1, 9_000, 600), state(0, 1, 9_000, 1_100)] => Liveness::Outstanding; "closed window, a probe answered late")]
fn silence_is_told_from_slow_reading(states: &[SendState]) -> Liveness {
    judge(states)
}
