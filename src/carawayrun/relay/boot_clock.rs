//! Monotonic clock that includes the time in which the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the boot of the host. Unlike the runtime's clock it includes
/// suspended time, so confirmations from before a suspension count as old.
pub(crate) fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec as u32)
}
