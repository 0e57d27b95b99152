use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::budget::{Cause, RepeatBudget};
use crate::relay::cascade::{Doubt, Outlook, Prospect, Timing, first, next};

fn models() -> Vec<CompactString> {
    ["small", "middle", "large"]
        .map(CompactString::from)
        .to_vec()
}

fn doubt(confidence: f64, timing: Timing) -> Doubt {
    Doubt {
        confidence: Some(confidence),
        largest: Prospect { timing, wait: 0.1 },
    }
}

#[test_case(1.0, Timing::Early, 0.0, "small"; "while there are repeats")]
#[test_case(0.0, Timing::Early, 0.99, "large"; "when no repeat is left")]
#[test_case(0.1, Timing::Early, 0.4, "large"; "for a share of the requests when repeats are scarce")]
#[test_case(0.1, Timing::Early, 0.6, "small"; "for the others when repeats are scarce")]
#[test_case(0.0, Timing::Timely, 0.0, "small"; "when engines have work waiting")]
#[test_case(0.0, Timing::Late, 0.0, "small"; "when the largest would be late")]
fn what_begins(headroom: f64, timing: Timing, random: f64, expected: &str) {
    let outlook = Outlook {
        headroom,
        timing,
        random,
    };
    assert_eq!(first(&models(), outlook).unwrap(), expected);
    assert_eq!(first(&[], outlook), None);
}

// Half of the answers are doubtful, and a third of the requests has lost its
// upstream: without a share that begins with the largest model, one answer in
// five would be a doubtful one that had to stand.
#[test]
fn few_doubtful_answers_stand_when_failures_use_up_the_repeats() {
    let mut budget = RepeatBudget::new(0.9, 94.0, Duration::from_secs(10));
    let models = models();
    let mut stood = 0;
    for step in 0..9_000_u32 {
        let now = Duration::from_millis(10) * step;
        let outlook = Outlook {
            headroom: budget.headroom(now, Cause::Cascade),
            timing: Timing::Early,
            // A sequence that fills 0..1 evenly.
            random: (f64::from(step) * 0.618_033_988_749).fract(),
        };
        let model = first(&models, outlook).unwrap();
        budget.first(now);
        if step % 3 == 0 {
            budget.repeat(now, Cause::Failure);
        }
        if model == "small" && step % 2 == 0 && !budget.repeat(now, Cause::Cascade) {
            stood += 1;
        }
    }
    assert!(stood < 9_000 / 50, "{stood} doubtful answers stood");
}

#[test_case("small", 30.0, Timing::Timely, Some("large"); "an answer that is probably wrong")]
#[test_case("small", 80.0, Timing::Timely, None; "an answer that is probably right")]
#[test_case("large", 10.0, Timing::Timely, None; "there is nothing better")]
#[test_case("small", 50.0, Timing::Timely, Some("large"); "a doubtful one while there is time")]
#[test_case("small", 50.0, Timing::Late, None; "a doubtful one in hand under a burst")]
#[test_case("small", 20.0, Timing::Late, Some("large"); "a wrong one also under a burst")]
#[test_case("small", 20.0, Timing::Hopeless, None; "any answer before none")]
fn what_follows(model: &str, confidence: f64, timing: Timing, expected: Option<&str>) {
    let models = models();
    let next = next(&models, model, doubt(confidence, timing));
    assert_eq!(next.map(CompactString::as_str), expected);
}

// A quarter of the engines is gone, the load is as before, and queues grow: the
// least urgent requests passed their deadlines unread (mwlsa-lathe-grown,
// trouble-2) while larger models read long prompts again.
#[test_case(0.2, 55.0, true; "no queue to speak of")]
#[test_case(0.5, 55.0, false; "a doubtful answer, some queue")]
#[test_case(0.5, 30.0, true; "a wrong answer, some queue")]
#[test_case(0.9, 30.0, false; "a wrong answer, a long queue")]
#[test_case(1.0, 0.0, false; "any answer, and the most urgent would be late")]
fn the_longer_the_queue_the_fewer_cascades(wait: f64, confidence: f64, expected: bool) {
    let doubt = Doubt {
        confidence: Some(confidence),
        largest: Prospect {
            timing: Timing::Timely,
            wait,
        },
    };
    assert_eq!(next(&models(), "small", doubt).is_some(), expected);
}

// A burst of short requests with five seconds each and an objective of 1.5 s.
#[test_case(700, Timing::Early)]
#[test_case(1_400, Timing::Timely)]
#[test_case(2_400, Timing::Late)]
#[test_case(2_600, Timing::Hopeless)]
fn timing_of_an_answer(first_ms: u64, expected: Timing) {
    let (objective, limit) = (Duration::from_millis(1_500), Duration::from_secs(5));
    let timing = Timing::of(Duration::from_millis(first_ms), objective, limit);
    assert_eq!(timing, expected);
}

#[test]
fn an_answer_without_an_opinion_stands() {
    let doubt = Doubt {
        confidence: None,
        largest: Prospect {
            timing: Timing::Timely,
            wait: 0.0,
        },
    };
    assert_eq!(next(&models(), "small", doubt), None);
}
