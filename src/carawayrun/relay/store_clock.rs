//! The store's clock, as seen from this host.

use std::time::Duration;

/// How far the store's clock is ahead of the boot clock.
///
/// An answer is older at its arrival than when the store wrote its time into
/// it, so each answer gives a lower bound of the difference; the greatest one
/// came with the fastest answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    offset_ms: Option<i64>,
}

impl StoreClock {
    /// An answer of the store's time `store` arrived at `boot` on the boot clock.
    pub fn observe(&mut self, store: Duration, boot: Duration) {
        let offset = store.as_millis() as i64 - boot.as_millis() as i64;
        self.offset_ms = Some(self.offset_ms.map_or(offset, |known| known.max(offset)));
    }

    /// The store's time now; none before the first answer.
    pub fn now(&self, boot: Duration) -> Option<Duration> {
        Some(millis(boot.as_millis() as i64 + self.offset_ms?))
    }

    /// When the store's time was `store`, on the boot clock.
    pub fn boot_time(&self, store: Duration) -> Option<Duration> {
        Some(millis(store.as_millis() as i64 - self.offset_ms?))
    }
}

fn millis(value: i64) -> Duration {
    Duration::from_millis(u64::try_from(value).unwrap_or(0))
}
