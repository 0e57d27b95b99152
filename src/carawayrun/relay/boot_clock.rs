//! A steady clock that goes on while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the host started. Unlike the runtime's clock it counts the time
/// in which the host stood still, so what was confirmed before is seen as old.
pub(crate) fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec as u32)
}
