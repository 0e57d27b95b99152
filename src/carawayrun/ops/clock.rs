//! Times that people read.

use compact_str::{CompactString, format_compact};
use jiff::Timestamp;

/// The time now by the wall clock, RFC 3339 with milliseconds.
pub(super) fn now_rfc3339() -> CompactString {
    format_compact!("{:.3}", Timestamp::now())
}
