//! Memory of the traffic thread's connections.

use std::rc::Rc;

use tokio::sync::Notify;

use super::Traffic;
use crate::relay::memory::{HolderKey, MemoryFull, MemoryUse};

/// Memory held for one request or answer; returned when dropped.
pub(in crate::relay) struct MemoryHold {
    traffic: Rc<Traffic>,
    key: HolderKey,
    /// Notified once the holder gives way.
    evicted: Rc<Notify>,
}

impl MemoryHold {
    pub(in crate::relay) fn open(traffic: &Rc<Traffic>, purpose: MemoryUse) -> Self {
        let key = traffic.memory.borrow_mut().open(purpose, traffic.now());
        let evicted = Rc::new(Notify::new());
        let mut signals = traffic.evictions.borrow_mut();
        signals.insert(key, Rc::clone(&evicted));
        Self {
            traffic: Rc::clone(traffic),
            key,
            evicted,
        }
    }

    /// Changes what its connection and its head cost, at the expense of requests without
    /// progress.
    pub(in crate::relay) fn reserve_base(&self, base: usize) -> Result<(), MemoryFull> {
        let traffic = &self.traffic;
        let mut account = traffic.memory.borrow_mut();
        let reserved = account.reserve_base(self.key, base, traffic.now());
        drop(account);
        reserved.map(|_| traffic.memory_reserved())
    }

    /// Raises what is held to `bytes`, at the expense of requests without progress.
    pub(in crate::relay) fn reserve(&self, bytes: usize) -> Result<(), MemoryFull> {
        let traffic = &self.traffic;
        let mut account = traffic.memory.borrow_mut();
        let reserved = account.reserve(self.key, bytes, traffic.now());
        drop(account);
        reserved.map(|_| traffic.memory_reserved())
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

    /// Records that the first byte of the request has come.
    pub(in crate::relay) fn begin_reading(&self) {
        let now = self.traffic.now();
        self.traffic
            .memory
            .borrow_mut()
            .begin_reading(self.key, now);
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
        while self.check().is_ok() {
            self.evicted.notified().await;
        }
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let mut account = self.traffic.memory.borrow_mut();
        account.close(self.key);
        self.traffic.evictions.borrow_mut().remove(self.key);
        self.traffic.metrics.held_bytes.set(account.held() as i64);
        self.traffic.memory_changed.notify_waiters();
    }
}

impl Traffic {
    /// Has the client that is longest silent within a request, or before one, give way.
    pub(in crate::relay) fn evict_silent(&self) {
        self.memory.borrow_mut().evict_silent(self.now());
        self.memory_reserved();
    }

    // Tells the holders that gave way, and updates the metric.
    fn memory_reserved(&self) {
        let mut account = self.memory.borrow_mut();
        self.metrics.held_bytes.set(account.held() as i64);
        let evicted = account.take_evicted();
        drop(account);
        if evicted.is_empty() {
            return;
        }
        let signals = self.evictions.borrow();
        for signal in evicted.iter().filter_map(|key| signals.get(*key)) {
            signal.notify_one();
        }
        self.memory_changed.notify_waiters();
    }
}
