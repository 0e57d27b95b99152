//! Wall-clock times as text.

use compact_str::{CompactString, format_compact};
use jiff::Timestamp;

/// Returns the wall-clock time in RFC 3339 format with milliseconds.
pub(super) fn now_rfc3339() -> CompactString {
    format_compact!("{:.3}", Timestamp::now())
}
