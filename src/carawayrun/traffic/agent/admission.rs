//! Admission to the upstream: slots, a bounded queue and refusal early.

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

/// Weight of the newest service time in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// One in this many slots is kept free for interactive runs.
const KEPT_PART: u32 = 4;

/// Time after an interactive run in which slots are kept for the next.
const KEPT_TIME: Millis = Millis(10_000);

/// Shortest advice to come back, in milliseconds.
const MIN_RETRY_MS: u32 = 50;

type Grant = oneshot::Sender<Result<Permit, Refusal>>;

/// Slots and the queue before them.
#[derive(Debug)]
pub(crate) struct Admission {
    started: Instant,
    queue_limit: usize,
    inner: RefCell<Inner>,
}

#[derive(Debug)]
struct Inner {
    slots: u32,
    running: u32,
    // When the last interactive run arrived.
    last_person: Option<Millis>,
    queue: Queue<Grant>,
    // Mean time that a run holds its slot, in milliseconds.
    service_ms: f64,
}

/// A slot in use; free again when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Rc<Admission>,
    taken: Instant,
}

/// Counts for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) slots: u32,
    /// Expected wait of a new normal run, in milliseconds.
    pub(crate) wait_ms: u32,
}

impl Admission {
    /// Admission with no slots yet and room for `queue_limit` waiting runs.
    pub(crate) fn new(queue_limit: usize) -> Rc<Self> {
        Rc::new(Self {
            started: Instant::now(),
            queue_limit,
            inner: RefCell::new(Inner {
                slots: 0,
                running: 0,
                last_person: None,
                queue: Queue::default(),
                service_ms: 0.0,
            }),
        })
    }

    /// Follows the number of slots in the configuration, and gives out slots
    /// that are no longer kept.
    pub(crate) fn set_slots(self: &Rc<Self>, slots: u32) {
        self.inner.borrow_mut().slots = slots;
        self.serve();
    }

    /// Waits for a slot.
    ///
    /// Refuses at once where the queue is full of runs that go first, or where
    /// it is not expected to end before the deadline.
    pub(crate) async fn enter(
        self: &Rc<Self>,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let (rank, granted) = match self.join(priority, deadline)? {
            Joined::Granted(permit) => return Ok(permit),
            Joined::Waiting(rank, granted) => (rank, granted),
        };
        let _place = Place {
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

    pub(crate) fn counts(&self) -> Counts {
        let mut inner = self.inner.borrow_mut();
        let rank = inner.queue.rank(Priority::Normal, self.now());
        Counts {
            running: inner.running,
            queued: inner.queue.len() as u32,
            slots: inner.slots,
            wait_ms: inner.expected_wait(rank),
        }
    }

    fn join(self: &Rc<Self>, priority: Priority, deadline: Instant) -> Result<Joined, Refusal> {
        let mut inner = self.inner.borrow_mut();
        let is_person = priority == Priority::Interactive;
        if is_person {
            inner.last_person = Some(self.now());
        }
        // Whoever waits while there is a slot for a person may not use it.
        if (is_person || inner.queue.len() == 0) && inner.has_slot(priority, self.now()) {
            inner.running += 1;
            return Ok(Joined::Granted(self.permit()));
        }
        let rank = inner.queue.rank(priority, self.now());
        let wait_ms = inner.expected_wait(rank);
        let left = deadline.saturating_duration_since(Instant::now());
        // A run that would be cut by its deadline only takes another's slot.
        let needed = Duration::from_millis(u64::from(wait_ms) + inner.service_ms as u64);
        if needed > left {
            return Err(overloaded(wait_ms));
        }
        let evicted = if inner.queue.len() >= self.queue_limit {
            Some(
                inner
                    .queue
                    .pop_behind(rank)
                    .ok_or_else(|| overloaded(wait_ms))?,
            )
        } else {
            None
        };
        let (grant, granted) = oneshot::channel();
        inner.queue.push(rank, priority, grant);
        drop(inner);
        if let Some(evicted) = evicted {
            drop(evicted.send(Err(overloaded(wait_ms))));
        }
        Ok(Joined::Waiting(rank, granted))
    }

    // Gives free slots to those who wait.
    fn serve(self: &Rc<Self>) {
        while let Some(grant) = self.next_grant() {
            // Where nobody waits any more, the permit comes back and is freed.
            drop(grant.send(Ok(self.permit())));
        }
    }

    fn next_grant(&self) -> Option<Grant> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let grant = if inner.has_slot(Priority::Batch, now) {
            inner.queue.pop()?
        } else if inner.has_slot(Priority::Interactive, now) {
            inner.queue.pop_interactive()?
        } else {
            return None;
        };
        inner.running += 1;
        Some(grant)
    }

    fn permit(self: &Rc<Self>) -> Permit {
        Permit {
            admission: Rc::clone(self),
            taken: Instant::now(),
        }
    }

    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }
}

impl Inner {
    // While people call, some slots are kept free for them: a person who comes
    // next does not wait for the end of a batch run.
    fn has_slot(&self, priority: Priority, now: Millis) -> bool {
        let people = self
            .last_person
            .is_some_and(|last| now.since(last) < KEPT_TIME);
        let kept = if people && priority != Priority::Interactive {
            self.slots / KEPT_PART
        } else {
            0
        };
        self.running < self.slots - kept
    }

    fn free(&mut self, held_ms: f64) {
        self.running -= 1;
        self.service_ms += (held_ms - self.service_ms) * MEAN_WEIGHT;
    }

    // In milliseconds: all that go before must have had a slot.
    fn expected_wait(&self, rank: Rank) -> u32 {
        if self.running < self.slots {
            return 0;
        }
        let turns = (self.queue.ahead(rank) + 1) as f64 / f64::from(self.slots.max(1));
        (turns * self.service_ms) as u32
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held_ms = self.taken.elapsed().as_secs_f64() * 1000.0;
        self.admission.inner.borrow_mut().free(held_ms);
        self.admission.serve();
    }
}

enum Joined {
    Granted(Permit),
    Waiting(Rank, oneshot::Receiver<Result<Permit, Refusal>>),
}

// A place in the queue; given up when dropped.
struct Place<'a> {
    admission: &'a Admission,
    rank: Rank,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        drop(self.admission.inner.borrow_mut().queue.remove(self.rank));
    }
}

fn overloaded(wait_ms: u32) -> Refusal {
    let message = format!("the expected wait is {wait_ms} ms");
    Refusal::new(Code::Overloaded, message).after(wait_ms.max(MIN_RETRY_MS))
}
