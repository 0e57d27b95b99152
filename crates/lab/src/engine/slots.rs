//! Batch slots, assigned by priority.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::oneshot;

/// Limits concurrent requests; others wait by priority, then by arrival.
#[derive(Debug)]
pub(crate) struct Slots {
    free: Cell<usize>,
    next_order: Cell<u64>,
    waiting: RefCell<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    priority: u8,
    order: u64,
    grant: oneshot::Sender<Slot>,
}

/// Slot in use; passed to the next waiter or released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Rc<Slots>,
}

impl Slots {
    pub(crate) fn new(count: usize) -> Rc<Self> {
        Rc::new(Self {
            free: Cell::new(count),
            next_order: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Waits for a slot; a lower `priority` number is served first.
    pub(crate) async fn take(self: &Rc<Self>, priority: u8) -> Slot {
        if self.free.get() > 0 {
            self.free.set(self.free.get() - 1);
            return self.new_slot();
        }
        let (grant, granted) = oneshot::channel();
        let order = self.next_order.replace(self.next_order.get() + 1);
        self.waiting.borrow_mut().push(Waiter {
            priority,
            order,
            grant,
        });
        granted
            .await
            .expect("a waiter gets its slot before it is dropped")
    }

    /// Returns the number of waiting requests.
    pub(crate) fn queued(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting
            .iter()
            .filter(|waiter| !waiter.grant.is_closed())
            .count()
    }

    fn new_slot(self: &Rc<Self>) -> Slot {
        Slot {
            slots: Rc::clone(self),
        }
    }

    fn pop_first_waiter(&self) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|waiter| !waiter.grant.is_closed());
        let first = (0..waiting.len())
            .min_by_key(|&index| (waiting[index].priority, waiting[index].order))?;
        Some(waiting.swap_remove(first))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.slots.pop_first_waiter();
        match next {
            Some(waiter) => drop(waiter.grant.send(self.slots.new_slot())),
            None => self.slots.free.set(self.slots.free.get() + 1),
        }
    }
}
