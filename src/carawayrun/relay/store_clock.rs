//! Estimate of the store's clock.

use std::time::Duration;

/// Offset between the store's clock and the boot clock.
///
/// A response arrives after the store has written its time into it, so each
/// response gives a lower bound of the offset; the greatest bound comes from the
/// fastest response.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    offset_ms: Option<i64>,
}

impl StoreClock {
    /// Records a response with the store's time `store` that arrived at `boot` on
    /// the boot clock.
    pub fn observe(&mut self, store: Duration, boot: Duration) {
        let offset = store.as_millis() as i64 - boot.as_millis() as i64;
        self.offset_ms = Some(self.offset_ms.map_or(offset, |known| known.max(offset)));
    }

    /// Returns the store's current time; `None` before the first response.
    pub fn now(&self, boot: Duration) -> Option<Duration> {
        Some(millis(boot.as_millis() as i64 + self.offset_ms?))
    }

    /// Converts the store's time `store` to the boot clock; `None` before the first
    /// response.
    pub fn boot_time(&self, store: Duration) -> Option<Duration> {
        Some(millis(store.as_millis() as i64 - self.offset_ms?))
    }
}

fn millis(value: i64) -> Duration {
    Duration::from_millis(u64::try_from(value).unwrap_or(0))
}
