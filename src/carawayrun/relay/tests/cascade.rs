use compact_str::CompactString;
use test_case::test_case;

use crate::relay::cascade::{Doubt, first, next};

fn models() -> Vec<CompactString> {
    ["small", "middle", "large"]
        .map(CompactString::from)
        .to_vec()
}

fn doubt(confidence: f64, is_timely: bool) -> Doubt {
    Doubt {
        confidence: Some(confidence),
        is_timely,
    }
}

#[test]
fn the_smallest_begins() {
    assert_eq!(first(&models()).unwrap(), "small");
    assert_eq!(first(&[]), None);
}

#[test_case("small", 30.0, true, Some("large"); "an answer that is probably wrong")]
#[test_case("small", 80.0, true, None; "an answer that is probably right")]
#[test_case("large", 10.0, true, None; "there is nothing better")]
#[test_case("small", 50.0, true, Some("large"); "a doubtful one while there is time")]
#[test_case("small", 50.0, false, None; "a doubtful one in hand under a burst")]
#[test_case("small", 20.0, false, Some("large"); "a wrong one also under a burst")]
fn what_follows(model: &str, confidence: f64, is_timely: bool, expected: Option<&str>) {
    let models = models();
    let next = next(&models, model, doubt(confidence, is_timely));
    assert_eq!(next.map(CompactString::as_str), expected);
}

#[test]
fn an_answer_without_an_opinion_stands() {
    let doubt = Doubt {
        confidence: None,
        is_timely: true,
    };
    assert_eq!(next(&models(), "small", doubt), None);
}
