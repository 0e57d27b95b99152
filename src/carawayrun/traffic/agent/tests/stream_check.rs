//! Only events that belong to the answer and are in order are forwarded.

use bytes::Bytes;
use test_case::test_case;

use crate::traffic::agent::sse::{SseEvent, SseReader};
use crate::traffic::agent::stream_check::{AcceptedEvent, StreamCheck, StreamError};
use crate::traffic::agent::usage::Tokens;

fn chunk(number: u64, id: &str) -> SseEvent {
    event(Some(number), &format!(r#"{{"id":"{id}","choices":[]}}"#))
}

fn usage(number: u64) -> SseEvent {
    let usage =
        r#"{"prompt_tokens":3,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":1}}"#;
    event(
        Some(number),
        &format!(r#"{{"id":"r.1","choices":[],"usage":{usage}}}"#),
    )
}

fn done() -> SseEvent {
    event(None, "[DONE]")
}

fn event(number: Option<u64>, data: &str) -> SseEvent {
    SseEvent {
        number,
        data: Bytes::copy_from_slice(data.as_bytes()),
    }
}

#[test]
fn complete_answer_is_accepted_with_its_usage() {
    let mut check = StreamCheck::new("r.1");
    for event in [chunk(0, "r.1"), chunk(1, "r.1"), usage(2)] {
        let data = event.data.clone();
        assert_eq!(check.accept(&event), Ok(AcceptedEvent::Chunk(data)));
    }
    assert_eq!(check.accept(&done()), Ok(AcceptedEvent::Done));
    let tokens = Tokens {
        prompt: 3,
        cached: 1,
        completion: 2,
    };
    assert_eq!(check.tokens(), tokens);
}

#[test_case(&chunk(1, "r.2"); "wrong request")]
#[test_case(&chunk(1, "r.11"); "wrong request with a longer id")]
#[test_case(&chunk(2, "r.1"); "out of order")]
#[test_case(&event(None, r#"{"id":"r.1"}"#); "without a number")]
#[test_case(&event(Some(1), r#"{"choices":[]}"#); "without an id")]
#[test_case(&event(Some(1), "{\"id\":\"r"); "truncated JSON")]
#[test_case(&done(); "end marker before the usage")]
fn invalid_event_is_rejected_and_the_stream_can_go_on(wrong: &SseEvent) {
    let mut check = StreamCheck::new("r.1");
    check.accept(&chunk(0, "r.1")).unwrap();
    check.accept(wrong).unwrap_err();
    assert_eq!(
        check.last_number(),
        Some(0),
        "the answer can be resumed behind event 0"
    );
    let next = chunk(1, "r.1");
    assert_eq!(
        check.accept(&next),
        Ok(AcceptedEvent::Chunk(next.data.clone()))
    );
}

#[test]
fn duplicate_event_is_forwarded_once() {
    let mut check = StreamCheck::new("r.1");
    check.accept(&chunk(0, "r.1")).unwrap();
    check.accept(&chunk(1, "r.1")).unwrap();
    assert_eq!(check.accept(&chunk(1, "r.1")), Ok(AcceptedEvent::Duplicate));
    assert_eq!(check.accept(&chunk(0, "r.1")), Ok(AcceptedEvent::Duplicate));
    let error = check.accept(&chunk(0, "r.2")).unwrap_err();
    assert!(
        matches!(error, StreamError::WrongRequest { .. }),
        "{error:?}"
    );
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in small parts")]
#[test_case(4096; "at once")]
fn reader_returns_the_same_events_for_any_split_of_the_bytes(size: usize) {
    let text = "id: 0\ndata: one\n\n: a comment\n\nid:1\r\ndata:two\r\ndata: lines\r\n\r\ndata: [DONE]\n\ndata: torn";
    let mut reader = SseReader::default();
    let mut events = Vec::new();
    for part in text.as_bytes().chunks(size) {
        reader.push(part).unwrap();
        events.extend(std::iter::from_fn(|| reader.next()));
    }
    let expected = [
        event(Some(0), "one"),
        event(Some(1), "two\nlines"),
        event(None, "[DONE]"),
    ];
    assert_eq!(events, expected);
}
