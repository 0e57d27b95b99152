//! Reader of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SseEvent {
    /// Number in the `id` field, if there is one.
    pub(crate) number: Option<u64>,
    /// Lines of the `data` fields, joined by line feeds.
    pub(crate) data: Bytes,
}

/// Maximum length of an event, in bytes. Enforced only on the buffered bytes,
/// which may be twice as many.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error for a push after which the unread bytes and the data of the incomplete
/// event would be longer than twice [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
pub(crate) struct EventTooLong;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct SseReader {
    unread: BytesMut,
    number: Option<u64>,
    data: Option<BytesMut>,
}

impl SseReader {
    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] if too many bytes would be buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        let data = self.data.as_ref().map_or(0, BytesMut::len);
        if self.unread.len() + data + bytes.len() > 2 * MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.unread.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event, if there is one.
    pub(crate) fn next(&mut self) -> Option<SseEvent> {
        while let Some(end) = self.unread.iter().position(|&byte| byte == b'\n') {
            let mut line = self.unread.split_to(end);
            self.unread.advance(1);
            if line.last() == Some(&b'\r') {
                line.truncate(end - 1);
            }
            if line.is_empty() {
                if let Some(event) = self.take_event() {
                    return Some(event);
                }
            } else {
                self.apply_field(&line);
            }
        }
        None
    }

    fn take_event(&mut self) -> Option<SseEvent> {
        let number = self.number.take();
        let data = self.data.take()?;
        Some(SseEvent {
            number,
            data: data.freeze(),
        })
    }

    fn apply_field(&mut self, line: &[u8]) {
        let colon = line.iter().position(|&byte| byte == b':');
        let (name, value) = match colon {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &line[line.len()..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" => {
                self.number = std::str::from_utf8(value)
                    .ok()
                    .and_then(|text| text.parse().ok());
            }
            b"data" => match &mut self.data {
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
                None => self.data = Some(value.into()),
            },
            _ => {}
        }
    }
}
