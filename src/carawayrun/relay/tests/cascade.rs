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

#[test_case(1.0, Timing::Early, 0.0, "small"; "while retries are left")]
#[test_case(0.0, Timing::Early, 0.99, "large"; "when no retry is left")]
#[test_case(0.1, Timing::Early, 0.4, "large"; "for a share of the requests when few retries are left")]
#[test_case(0.1, Timing::Early, 0.6, "small"; "for the others when few retries are left")]
#[test_case(0.0, Timing::OnTime, 0.0, "small"; "when engines have a backlog")]
#[test_case(0.0, Timing::Late, 0.0, "small"; "when the largest would be late")]
fn first_model(headroom: f64, timing: Timing, random: f64, expected: &str) {
    let input = FirstModelInput {
        headroom,
        timing,
        random,
    };
    assert_eq!(choose_first_model(&models(), input).unwrap(), expected);
    assert_eq!(choose_first_model(&[], input), None);
}

// Half of the answers have low confidence, and a third of the requests lost their
// upstream. Without a share of requests that begins with the largest model, one
// in five answers would be a low-confidence one that can't be replaced.
#[test]
fn few_low_confidence_answers_are_delivered_when_failures_spend_retry_budget() {
    let mut budget = RetryBudget::new(0.9, 94.0, Duration::from_secs(10));
    let models = models();
    let mut delivered = 0;
    for step in 0..9_000_u32 {
        let now = Duration::from_millis(10) * step;
        let input = FirstModelInput {
            headroom: budget.headroom(now, RetryCause::Cascade),
            timing: Timing::Early,
            // Low-discrepancy sequence over 0..1.
            random: (f64::from(step) * 0.618_033_988_749).fract(),
        };
        let model = choose_first_model(&models, input).unwrap();
        budget.record_first_send(now);
        if step % 3 == 0 {
            budget.take_retry(now, RetryCause::Failure);
        }
        if model == "small" && step % 2 == 0 && !budget.take_retry(now, RetryCause::Cascade) {
            delivered += 1;
        }
    }
    assert!(
        delivered < 9_000 / 50,
        "{delivered} low-confidence answers were delivered"
    );
}

#[test_case("small", 30.0, Timing::OnTime, Some("large"); "probably wrong answer")]
#[test_case("small", 80.0, Timing::OnTime, None; "probably right answer")]
#[test_case("large", 10.0, Timing::OnTime, None; "no larger model")]
#[test_case("small", 50.0, Timing::OnTime, Some("large"); "uncertain answer with enough time")]
#[test_case("small", 50.0, Timing::Late, None; "uncertain answer during a burst")]
#[test_case("small", 20.0, Timing::Late, Some("large"); "wrong answer during a burst")]
#[test_case("small", 20.0, Timing::TooLate, None; "any answer if the larger model is too late")]
fn next_model(model: &str, confidence: f64, timing: Timing, expected: Option<&str>) {
    let models = models();
    let next = choose_next_model(&models, model, input(confidence, timing));
    assert_eq!(next.map(CompactString::as_str), expected);
}

// With a quarter of the engines lost at the same load, queues grew and the least
// urgent requests missed their deadlines in the queue while larger models
// computed long prompts again. Seen on mwlsa-lathe-grown, trouble-2.
#[test_case(0.2, 55.0, true; "short queue")]
#[test_case(0.5, 55.0, false; "uncertain answer, medium queue")]
#[test_case(0.5, 30.0, true; "wrong answer, medium queue")]
#[test_case(0.9, 30.0, false; "wrong answer, long queue")]
#[test_case(1.0, 0.0, false; "any answer if the most urgent requests would be late")]
fn longer_queue_lowers_confidence_threshold(wait_ratio: f64, confidence: f64, expected: bool) {
    let input = NextModelInput {
        confidence: Some(confidence),
        largest: AnswerEstimate {
            timing: Timing::OnTime,
            wait_ratio,
        },
    };
    assert_eq!(
        choose_next_model(&models(), "small", input).is_some(),
        expected
    );
}

// Requests with a time limit of five seconds and an objective of 1.5 seconds.
#[test_case(700, Timing::Early)]
#[test_case(1_400, Timing::OnTime)]
#[test_case(2_400, Timing::Late)]
#[test_case(2_600, Timing::TooLate)]
fn answer_start_is_classified(first_ms: u64, expected: Timing) {
    let (objective, limit) = (Duration::from_millis(1_500), Duration::from_secs(5));
    let timing = Timing::classify(Duration::from_millis(first_ms), objective, limit);
    assert_eq!(timing, expected);
}

#[test]
fn answer_without_confidence_is_delivered() {
    let input = NextModelInput {
        confidence: None,
        largest: AnswerEstimate {
            timing: Timing::OnTime,
            wait_ratio: 0.0,
        },
    };
    assert_eq!(choose_next_model(&models(), "small", input), None);
}
