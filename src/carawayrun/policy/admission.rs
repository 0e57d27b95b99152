//! Which class of work an upstream may start or queue.

use crate::resource::TaskClass;

/// Part of the slots that is kept free of normal work.
const NORMAL_RESERVE: f64 = 0.25;
/// Part of the slots that is kept free of batch work.
const BATCH_RESERVE: f64 = 0.375;
/// Queued interactive requests for each slot.
const INTERACTIVE_QUEUE: u32 = 1;
/// Queued normal requests for each slot.
const NORMAL_QUEUE: u32 = 2;
/// Queued batch requests for each slot.
const BATCH_QUEUE: u32 = 4;

/// True where a request of a class may start beside `running` others.
///
/// Some slots are kept free for the classes above it, so a person's request
/// seldom waits for a slot. An idle upstream starts any class.
pub fn can_start(class: TaskClass, running: u32, slots: u32) -> bool {
    let reserve = match class {
        TaskClass::Interactive => 0.0,
        TaskClass::Normal => NORMAL_RESERVE,
        TaskClass::Batch => BATCH_RESERVE,
    };
    let kept = (f64::from(slots) * reserve).ceil() as u32;
    running < slots.saturating_sub(kept).max(1)
}

/// Most requests of a class that wait before one upstream; more are refused.
pub fn queue_limit(class: TaskClass, slots: u32) -> u32 {
    let length = match class {
        TaskClass::Interactive => INTERACTIVE_QUEUE,
        TaskClass::Normal => NORMAL_QUEUE,
        TaskClass::Batch => BATCH_QUEUE,
    };
    slots.max(1) * length
}
