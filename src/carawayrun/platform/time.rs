//! Converts times that rows, headers and settings name.

use std::time::Duration;

/// Longest time. Rows may name any number, and sums of longer times overflow.
pub(super) const MAX_TIME: Duration = Duration::from_hours(24);

/// Converts seconds; less than zero counts as zero, more than [`MAX_TIME`] as that.
pub(super) fn from_seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_TIME.as_secs_f64()))
}

/// Converts milliseconds; see [`from_seconds`].
pub(super) fn from_millis(millis: f64) -> Duration {
    from_seconds(millis / 1_000.0)
}
