//! Admission control of the upstream: slots, a bounded queue and early refusal.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::queue::{Queue, Rank};
use super::refusal::Refusal;
use crate::control::Millis;
use crate::peer::message::Priority;
use crate::traffic::Code;

/// Smoothing factor of the moving average of service times.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// One in this many slots is reserved for interactive runs.
const RESERVED_SLOT_DIVISOR: u32 = 4;

/// Time after the arrival of an interactive run in which slots stay reserved.
const RESERVATION_TIME: Millis = Millis(10_000);

/// Minimum retry delay of an overload refusal, in milliseconds.
const MIN_OVERLOAD_RETRY_MS: u32 = 50;

type GrantSender = oneshot::Sender<Result<Permit, Refusal>>;

/// Slots of the upstream and the queue of runs that wait for one.
#[derive(Debug)]
pub(crate) struct AdmissionControl {
    created: Instant,
    queue_limit: usize,
    inner: RefCell<Inner>,
}

#[derive(Debug)]
struct Inner {
    slots: u32,
    used_slots: u32,
    // Arrival of the last interactive run.
    last_interactive: Option<Millis>,
    queue: Queue<GrantSender>,
    // Moving average of the time that a run holds its slot, in milliseconds.
    mean_service_ms: f64,
}

/// Holds one slot. Dropping it releases the slot and includes the time for which
/// it was held in the mean service time.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Rc<AdmissionControl>,
    acquired: Instant,
}

/// Counts for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AdmissionCounts {
    pub(crate) used_slots: u32,
    pub(crate) queued: u32,
    pub(crate) slots: u32,
    /// Expected wait of a new run of normal priority, in milliseconds; zero
    /// while any slot is free, even a reserved one.
    pub(crate) wait_ms: u32,
}

impl AdmissionControl {
    /// Creates admission control without slots, with a queue of at most
    /// `queue_limit` runs.
    pub(crate) fn new(queue_limit: usize) -> Rc<Self> {
        Rc::new(Self {
            created: Instant::now(),
            queue_limit,
            inner: RefCell::new(Inner {
                slots: 0,
                used_slots: 0,
                last_interactive: None,
                queue: Queue::default(),
                mean_service_ms: 0.0,
            }),
        })
    }

    /// Sets the number of slots, and grants those that have become free or
    /// are no longer reserved.
    pub(crate) fn set_slots(self: &Rc<Self>, slots: u32) {
        self.inner.borrow_mut().slots = slots;
        self.grant_slots();
    }

    /// Waits for a slot.
    ///
    /// Refuses at once if the queue is full and no run behind this one can be
    /// evicted, or if the run is not expected to end before the deadline.
    pub(crate) async fn acquire_slot(
        self: &Rc<Self>,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let (rank, granted) = match self.acquire_or_enqueue(priority, deadline)? {
            Acquisition::Granted(permit) => return Ok(permit),
            Acquisition::Waiting(rank, granted) => (rank, granted),
        };
        let _queued = QueuedGuard {
            admission: self,
            rank,
        };
        match timeout_at(deadline, granted).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Refusal::new(Code::Draining, "the queue was closed")),
            Err(_) => {
                let message = "the deadline passed in the queue";
                Err(Refusal::new(Code::DeadlineExpired, message))
            }
        }
    }

    pub(crate) fn counts(&self) -> AdmissionCounts {
        let mut inner = self.inner.borrow_mut();
        let rank = inner.queue.next_rank(Priority::Normal, self.now());
        AdmissionCounts {
            used_slots: inner.used_slots,
            queued: inner.queue.len() as u32,
            slots: inner.slots,
            wait_ms: inner.expected_wait_ms(rank),
        }
    }

    fn acquire_or_enqueue(
        self: &Rc<Self>,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Acquisition, Refusal> {
        let mut inner = self.inner.borrow_mut();
        let is_interactive = priority == Priority::Interactive;
        if is_interactive {
            inner.last_interactive = Some(self.now());
        }
        // Runs of other priorities may wait while a reserved slot is free; only
        // an interactive run may take it past them.
        if (is_interactive || inner.queue.len() == 0) && inner.has_slot_for(priority, self.now()) {
            inner.used_slots += 1;
            return Ok(Acquisition::Granted(self.new_permit()));
        }
        let rank = inner.queue.next_rank(priority, self.now());
        let wait_ms = inner.expected_wait_ms(rank);
        let remaining = deadline.saturating_duration_since(Instant::now());
        // A run that its deadline would interrupt only takes a slot from
        // others.
        let needed = Duration::from_millis(u64::from(wait_ms) + inner.mean_service_ms as u64);
        if needed > remaining {
            return Err(overload_refusal(wait_ms));
        }
        let evicted = if inner.queue.len() >= self.queue_limit {
            Some(
                inner
                    .queue
                    .pop_behind(rank)
                    .ok_or_else(|| overload_refusal(wait_ms))?,
            )
        } else {
            None
        };
        let (grant, granted) = oneshot::channel();
        inner.queue.push(rank, priority, grant);
        drop(inner);
        if let Some(evicted) = evicted {
            drop(evicted.send(Err(overload_refusal(wait_ms))));
        }
        Ok(Acquisition::Waiting(rank, granted))
    }

    // Grants free slots to waiting runs.
    fn grant_slots(self: &Rc<Self>) {
        while let Some(grant) = self.next_waiter() {
            // If the receiver is gone, the permit is dropped and its slot
            // released.
            drop(grant.send(Ok(self.new_permit())));
        }
    }

    fn next_waiter(&self) -> Option<GrantSender> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let grant = if inner.has_slot_for(Priority::Batch, now) {
            inner.queue.pop()?
        } else if inner.has_slot_for(Priority::Interactive, now) {
            inner.queue.pop_interactive()?
        } else {
            return None;
        };
        inner.used_slots += 1;
        Some(grant)
    }

    fn new_permit(self: &Rc<Self>) -> Permit {
        Permit {
            admission: Rc::clone(self),
            acquired: Instant::now(),
        }
    }

    // Returns the time since the admission control was created.
    fn now(&self) -> Millis {
        Millis(self.created.elapsed().as_millis() as u64)
    }
}

impl Inner {
    // For a while after each interactive run, some slots stay reserved, so that
    // the next interactive run doesn't wait for the end of a batch run.
    fn has_slot_for(&self, priority: Priority, now: Millis) -> bool {
        let is_reserved = self
            .last_interactive
            .is_some_and(|last| now.since(last) < RESERVATION_TIME);
        let reserved = if is_reserved && priority != Priority::Interactive {
            self.slots / RESERVED_SLOT_DIVISOR
        } else {
            0
        };
        self.used_slots < self.slots - reserved
    }

    fn release(&mut self, service_ms: f64) {
        self.used_slots -= 1;
        self.mean_service_ms += (service_ms - self.mean_service_ms) * SERVICE_TIME_SMOOTHING;
    }

    // Returns zero while any slot is free, even a reserved one; otherwise every
    // run ahead of `rank` must get a slot first.
    fn expected_wait_ms(&self, rank: Rank) -> u32 {
        if self.used_slots < self.slots {
            return 0;
        }
        let rounds = (self.queue.count_ahead(rank) + 1) as f64 / f64::from(self.slots.max(1));
        (rounds * self.mean_service_ms) as u32
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_ms = self.acquired.elapsed().as_secs_f64() * 1000.0;
        self.admission.inner.borrow_mut().release(service_ms);
        self.admission.grant_slots();
    }
}

enum Acquisition {
    Granted(Permit),
    Waiting(Rank, oneshot::Receiver<Result<Permit, Refusal>>),
}

// Removes the run from the queue when dropped.
struct QueuedGuard<'a> {
    admission: &'a AdmissionControl,
    rank: Rank,
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        drop(self.admission.inner.borrow_mut().queue.remove(self.rank));
    }
}

fn overload_refusal(wait_ms: u32) -> Refusal {
    let message = format!("the expected wait is {wait_ms} ms");
    Refusal::new(Code::Overloaded, message).retry_after(wait_ms.max(MIN_OVERLOAD_RETRY_MS))
}
