use test_case::test_case;

use crate::relay::events::EventBuffer;

#[test]
fn only_complete_events_are_returned() {
    let mut buffer = EventBuffer::default();
    assert_eq!(buffer.push(b"id: 1\nda"), None);
    assert_eq!(
        buffer.push(b"ta: a\n\nid: 2\ndata").as_deref(),
        Some(b"id: 1\ndata: a\n\n".as_slice())
    );
    assert!(buffer.is_within_event());
    assert_eq!(buffer.last_id(), Some("1"));
    assert_eq!(buffer.event_count(), 1);
}

#[test]
fn bytes_without_event_are_kept_without_limit() {
    let mut buffer = EventBuffer::default();
    let junk = vec![b'x'; 512 * 1024];
    buffer.push(&junk);
    assert!(!buffer.is_oversized());
    buffer.push(&junk);
    buffer.push(&junk);
    assert!(buffer.is_oversized());
    buffer.discard_partial();
    assert!(!buffer.is_oversized());
}

#[test]
fn event_boundary_may_span_chunks() {
    let mut buffer = EventBuffer::default();
    assert_eq!(buffer.push(b"id: 1\r\n\r"), None);
    assert!(buffer.push(b"\n").is_some());
    assert!(!buffer.is_within_event());
}

#[test]
fn several_events_are_returned_together() {
    let mut buffer = EventBuffer::default();
    let whole = buffer.push(b"id: 1\n\nid: 2\n\nid: 3\n").unwrap();
    assert_eq!(&*whole, b"id: 1\n\nid: 2\n\n");
    assert_eq!(buffer.last_id(), Some("2"));
    assert_eq!(buffer.event_count(), 2);
}

#[test]
fn incomplete_event_is_discarded_before_resume() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 1\n\nid: 2\ndata: brok");
    buffer.discard_partial();
    let whole = buffer.push(b"id: 2\ndata: whole\n\n").unwrap();
    assert_eq!(&*whole, b"id: 2\ndata: whole\n\n");
}

// Comments and blank lines were returned as events, so that a stream of nothing else was
// never resumed.
#[test_case(b": on\n\n"; "comments")]
#[test_case(b"\n\n"; "blank lines")]
#[test_case(b"\r\n\r\n"; "blank lines with returns")]
#[test_case(b"event: ping\n\n"; "events without data")]
fn lines_without_event_count_as_progress(lines: &[u8]) {
    let mut buffer = EventBuffer::default();
    for _ in 0..100 {
        assert_eq!(buffer.push(lines), None);
    }
    assert_eq!(buffer.event_count(), 0);
    assert!(!buffer.is_within_event());
    let expected = [lines.repeat(100).as_slice(), b"data: a\n\n"].concat();
    assert_eq!(buffer.push(b"data: a\n\n").as_deref(), Some(&*expected));
    assert_eq!(buffer.event_count(), 1);
}

#[test]
fn comments_after_last_event_are_returned_at_the_end() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"data: a\n\n: bye\n");
    assert!(!buffer.is_within_event());
    assert_eq!(&*buffer.take_rest(), b": bye\n");
    assert_eq!(&*buffer.take_rest(), b"");
}

#[test]
fn endless_comments_are_kept_without_limit() {
    let mut buffer = EventBuffer::default();
    let comments = b": on\n\n".repeat(128 * 1024);
    buffer.push(&comments);
    assert!(!buffer.is_oversized());
    buffer.push(&comments);
    assert!(buffer.is_oversized());
}

// Each push searched all bytes of a long line.
#[test]
fn long_line_in_small_pieces_is_searched_once() {
    let mut buffer = EventBuffer::default();
    for _ in 0..1024 * 1024 {
        assert_eq!(buffer.push(b"x"), None);
    }
    let whole = buffer.push(b"\ndata: a\n\n").unwrap();
    assert_eq!(whole.len(), 1024 * 1024 + 10);
}

// A part that began again, or that was no part of the stream, was joined to it.
#[test_case(b"id: 3\ndata: c\n\n", true; "next event")]
#[test_case(b": on\n\nid: 3\ndata: c\n\n", true; "next event after a comment")]
#[test_case(b"version: 2\nid: 3\ndata: c\n\n", true; "next event with a field of its own")]
#[test_case(b"id: 1\ndata: a\n\n", false; "first event")]
#[test_case(b"id: 2\ndata: b\n\n", false; "last event")]
#[test_case(b"data: c\n\n", false; "event without an id")]
#[test_case(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n", false; "head of an answer")]
#[test_case(b"no upstream\n\n", false; "text of an error")]
fn part_that_does_not_go_on_is_joined(part: &[u8], expected: bool) {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    assert!(buffer.is_resumable());
    buffer.discard_partial();
    assert_eq!(buffer.push(part).is_some(), expected);
    assert_eq!(buffer.is_broken(), !expected);
    assert_eq!(buffer.last_id(), Some(if expected { "3" } else { "2" }));
}

// The same within the part of one upstream.
#[test_case(b"data: c\n\n", true; "event without an id")]
#[test_case(b"id: 2\ndata: b\n\n", false; "last event")]
#[test_case(b"HTTP/1.1 200 OK\r\nserver: a\r\n\r\n", false; "head of an answer")]
fn foreign_bytes_are_taken_for_event(part: &[u8], expected: bool) {
    let mut buffer = EventBuffer::default();
    let whole = [b"id: 2\ndata: b\n\n", part].concat();
    let returned = buffer.push(&whole).unwrap();
    assert_eq!(returned.len() == whole.len(), expected);
    assert_eq!(buffer.is_broken(), !expected);
}

// Events without ids came twice after a resume.
#[test_case(b"data: a\n\n", false; "no ids")]
#[test_case(b"id: 1\ndata: a\n\ndata: b\n\n", false; "no id at last")]
#[test_case(b"data: a\n\nid: 1\ndata: b\n\n", true; "id at last")]
#[test_case(b"id: 1\nda", true; "no event")]
fn stream_is_resumed_without_knowing_where(events: &[u8], expected: bool) {
    let mut buffer = EventBuffer::default();
    buffer.push(events);
    assert_eq!(buffer.is_resumable(), expected);
}

#[test]
fn stream_that_client_resumes_goes_on_after_its_event() {
    let mut buffer = EventBuffer::new(Some("2"));
    assert_eq!(buffer.push(b"id: 1\ndata: a\n\n"), None);
    assert!(buffer.is_broken());
    buffer.discard_partial();
    assert_eq!(buffer.last_id(), Some("2"));
    assert!(buffer.push(b"id: 3\ndata: c\n\n").is_some());
}
