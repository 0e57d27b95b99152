//! Memory of the traffic thread's connections.

use std::rc::Rc;

use super::Traffic;
use crate::relay::memory::{HolderKey, MemoryFull, MemoryUse};

/// Memory held for one request or answer; returned when dropped.
pub(in crate::relay) struct MemoryHold {
    traffic: Rc<Traffic>,
    key: HolderKey,
}

impl MemoryHold {
    pub(in crate::relay) fn open(traffic: &Rc<Traffic>, purpose: MemoryUse) -> Self {
        let key = traffic.memory.borrow_mut().open(purpose, traffic.now());
        Self {
            traffic: Rc::clone(traffic),
            key,
        }
    }

    /// Raises what is held to `bytes`, at the expense of requests without progress.
    pub(in crate::relay) fn reserve(&self, bytes: usize) -> Result<(), MemoryFull> {
        let traffic = &self.traffic;
        let mut account = traffic.memory.borrow_mut();
        let evicted = account.reserve(self.key, bytes, traffic.now())?;
        traffic.metrics.held_bytes.set(account.held() as i64);
        if evicted > 0 {
            traffic.memory_changed.notify_waiters();
        }
        Ok(())
    }

    /// As [`Self::reserve`], and waits until it fits.
    pub(in crate::relay) async fn reserve_in_turn(&self, bytes: usize) {
        loop {
            let changed = self.traffic.memory_changed.notified();
            if self.reserve(bytes).is_ok() {
                return;
            }
            changed.await;
        }
    }

    /// Records that the client of the answer has taken what there was.
    pub(in crate::relay) fn record_delivery(&self) {
        let now = self.traffic.now();
        self.traffic
            .memory
            .borrow_mut()
            .record_delivery(self.key, now);
    }

    /// Lowers what is held to `bytes`.
    pub(in crate::relay) fn release(&self, bytes: usize) {
        let mut account = self.traffic.memory.borrow_mut();
        account.release(self.key, bytes);
        self.traffic.metrics.held_bytes.set(account.held() as i64);
        self.traffic.memory_changed.notify_waiters();
    }

    /// Records the length that the client announced.
    pub(in crate::relay) fn announce(&self, length: usize) {
        self.traffic.memory.borrow_mut().announce(self.key, length);
    }

    /// Records that the request was read whole.
    pub(in crate::relay) fn finish_reading(&self) {
        self.traffic.memory.borrow_mut().finish_reading(self.key);
    }

    /// Returns an error once the request has given way to others.
    pub(in crate::relay) fn check(&self) -> Result<(), MemoryFull> {
        let is_holder = self.traffic.memory.borrow().contains(self.key);
        is_holder.then_some(()).ok_or(MemoryFull)
    }

    /// Completes once the request must give way to others.
    pub(in crate::relay) async fn evicted(&self) {
        loop {
            let changed = self.traffic.memory_changed.notified();
            if self.check().is_err() {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let mut account = self.traffic.memory.borrow_mut();
        account.close(self.key);
        self.traffic.metrics.held_bytes.set(account.held() as i64);
        self.traffic.memory_changed.notify_waiters();
    }
}
