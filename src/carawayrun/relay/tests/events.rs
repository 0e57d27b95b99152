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
