use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::budget::{RetryBudget, RetryCause};
use crate::relay::cascade::{
    AnswerEstimate, FirstModelInput, NextModelInput, Timing, choose_first_model, choose_next_model,
};

fn models() -> Vec<CompactString> {
    ["small", "middle", "large"]
        .map(CompactString::from)
        .to_vec()
}

fn input(confidence: f64, timing: Timing) -> NextModelInput {
    NextModelInput {
        confidence: Some(confidence),
        largest: AnswerEstimate {
            timing,
            wait_ratio: 0.1,
        },
    }
}

#[test_case(1.0, Timing::Early, 0.0, "small"; "while there are repeats")]
#[test_case(0.0, Timing::Early, 0.99, "large"; "when no repeat is left")]
#[test_case(0.1, Timing::Early, 0.4, "large"; "for a share of the requests when repeats are scarce")]
#[test_case(0.1, Timing::Early, 0.6, "small"; "for the others when repeats are scarce")]
#[test_case(0.0, Timing::OnTime, 0.0, "small"; "when engines have work waiting")]
#[test_case(0.0, Timing::Late, 0.0, "small"; "when the largest would be late")]
fn what_begins(headroom: f64, timing: Timing, random: f64, expected: &str) {
    let input = FirstModelInput {
        headroom,
        timing,
        random,
    };
    assert_eq!(choose_first_model(&models(), input).unwrap(), expected);
    assert_eq!(choose_first_model(&[], input), None);
}

// Half of the answers are doubtful, and a third of the requests has lost its
// upstream: without a share that begins with the largest model, one answer in
// five would be a doubtful one that had to stand.
#[test]
fn few_doubtful_answers_stand_when_failures_use_up_the_repeats() {
    let mut budget = RetryBudget::new(0.9, 94.0, Duration::from_secs(10));
    let models = models();
    let mut stood = 0;
    for step in 0..9_000_u32 {
        let now = Duration::from_millis(10) * step;
        let input = FirstModelInput {
            headroom: budget.headroom(now, RetryCause::Cascade),
            timing: Timing::Early,
            // A sequence that fills 0..1 evenly.
            random: (f64::from(step) * 0.618_033_988_749).fract(),
        };
        let model = choose_first_model(&models, input).unwrap();
        budget.record_first_send(now);
        if step % 3 == 0 {
            budget.take_retry(now, RetryCause::Failure);
        }
        if model == "small" && step % 2 == 0 && !budget.take_retry(now, RetryCause::Cascade) {
            stood += 1;
        }
    }
    assert!(stood < 9_000 / 50, "{stood} doubtful answers stood");
}

#[test_case("small", 30.0, Timing::OnTime, Some("large"); "an answer that is probably wrong")]
#[test_case("small", 80.0, Timing::OnTime, None; "an answer that is probably right")]
#[test_case("large", 10.0, Timing::OnTime, None; "there is nothing better")]
#[test_case("small", 50.0, Timing::OnTime, Some("large"); "a doubtful one while there is time")]
#[test_case("small", 50.0, Timing::Late, None; "a doubtful one in hand under a burst")]
#[test_case("small", 20.0, Timing::Late, Some("large"); "a wrong one also under a burst")]
#[test_case("small", 20.0, Timing::TooLate, None; "any answer before none")]
fn what_follows(model: &str, confidence: f64, timing: Timing, expected: Option<&str>) {
    let models = models();
    let next = choose_next_model(&models, model, input(confidence, timing));
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
    let input = NextModelInput {
        confidence: Some(confidence),
        largest: AnswerEstimate {
            timing: Timing::OnTime,
            wait_ratio: wait,
        },
    };
    assert_eq!(
        choose_next_model(&models(), "small", input).is_some(),
        expected
    );
}

// A burst of short requests with five seconds each and an objective of 1.5 s.
#[test_case(700, Timing::Early)]
#[test_case(1_400, Timing::OnTime)]
#[test_case(2_400, Timing::Late)]
#[test_case(2_600, Timing::TooLate)]
fn timing_of_an_answer(first_ms: u64, expected: Timing) {
    let (objective, limit) = (Duration::from_millis(1_500), Duration::from_secs(5));
    let timing = Timing::classify(Duration::from_millis(first_ms), objective, limit);
    assert_eq!(timing, expected);
}

#[test]
fn an_answer_without_an_opinion_stands() {
    let input = NextModelInput {
        confidence: None,
        largest: AnswerEstimate {
            timing: Timing::OnTime,
            wait_ratio: 0.0,
        },
    };
    assert_eq!(choose_next_model(&models(), "small", input), None);
}
