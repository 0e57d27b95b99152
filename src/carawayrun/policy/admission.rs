//! Admission by class: which requests an upstream may start or queue.

use crate::resource::TaskClass;

/// Share of the slots that normal requests leave free.
const NORMAL_RESERVE: f64 = 0.25;
/// Share of the slots that batch requests leave free.
const BATCH_RESERVE: f64 = 0.375;
/// Queue length for interactive requests, per slot.
const INTERACTIVE_QUEUE_PER_SLOT: u32 = 1;
/// Queue length for normal requests, per slot.
const NORMAL_QUEUE_PER_SLOT: u32 = 2;
/// Queue length for batch requests, per slot.
const BATCH_QUEUE_PER_SLOT: u32 = 4;

/// Whether a request of a class may start while `running` others occupy slots.
///
/// Some slots are reserved for the classes above it, so that a request that a
/// person waits for seldom has to queue. An idle upstream starts any class.
pub fn can_start(class: TaskClass, running: u32, slots: u32) -> bool {
    let reserve = match class {
        TaskClass::Interactive => 0.0,
        TaskClass::Normal => NORMAL_RESERVE,
        TaskClass::Batch => BATCH_RESERVE,
    };
    let reserved = (f64::from(slots) * reserve).ceil() as u32;
    running < slots.saturating_sub(reserved).max(1)
}

/// Largest number of requests of a class in the queue of one upstream; further
/// ones are refused.
pub fn queue_limit(class: TaskClass, slots: u32) -> u32 {
    let per_slot = match class {
        TaskClass::Interactive => INTERACTIVE_QUEUE_PER_SLOT,
        TaskClass::Normal => NORMAL_QUEUE_PER_SLOT,
        TaskClass::Batch => BATCH_QUEUE_PER_SLOT,
    };
    slots.max(1) * per_slot
}
