//! Slots, early refusals and evictions, on a paused clock.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep};

use crate::peer::message::Priority;
use crate::traffic::Code;
use crate::traffic::agent::admission::{AdmissionControl, Permit};
use crate::traffic::agent::refusal::Refusal;

// Not reached in any of these tests.
const LONG_TIMEOUT: Duration = Duration::from_mins(1);

type AcquireTask = actix_rt::task::JoinHandle<Result<Permit, Refusal>>;

fn spawn_acquire(
    admission: &Rc<AdmissionControl>,
    priority: Priority,
    timeout: Duration,
) -> AcquireTask {
    let admission = Rc::clone(admission);
    actix_rt::spawn(async move {
        admission
            .acquire_slot(priority, Instant::now() + timeout)
            .await
    })
}

async fn refusal_code(task: AcquireTask) -> Code {
    task.await.unwrap().unwrap_err().code
}

async fn run_pending_tasks() {
    sleep(Duration::from_millis(1)).await;
}

// One slot in use, with a mean service time of almost one second.
async fn saturated(queue_limit: usize) -> (Rc<AdmissionControl>, Permit) {
    let admission = AdmissionControl::new(queue_limit);
    admission.set_slots(1);
    for _ in 0..50 {
        let permit = spawn_acquire(&admission, Priority::Normal, LONG_TIMEOUT).await;
        sleep(Duration::from_secs(1)).await;
        drop(permit.unwrap().unwrap());
    }
    let permit = spawn_acquire(&admission, Priority::Normal, LONG_TIMEOUT).await;
    (admission, permit.unwrap().unwrap())
}

#[actix_rt::test]
async fn run_that_would_miss_its_deadline_is_refused_at_once() {
    tokio::time::pause();
    let (admission, _permit) = saturated(8).await;
    let before = Instant::now();
    let refused = spawn_acquire(
        &admission,
        Priority::Interactive,
        Duration::from_millis(200),
    );
    let refusal = refused.await.unwrap().unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
    assert!(
        (500..=1_000).contains(&refusal.retry_after_ms),
        "{refusal:?}"
    );
    assert_eq!(before.elapsed(), Duration::ZERO);
}

#[actix_rt::test]
async fn free_slot_goes_to_interactive_run_before_batch_run() {
    tokio::time::pause();
    let (admission, permit) = saturated(8).await;
    let batch = spawn_acquire(&admission, Priority::Batch, LONG_TIMEOUT);
    run_pending_tasks().await;
    let interactive = spawn_acquire(&admission, Priority::Interactive, LONG_TIMEOUT);
    run_pending_tasks().await;
    drop(permit);
    let permit = interactive.await.unwrap().unwrap();
    assert!(!batch.is_finished());
    drop(permit);
    drop(batch.await.unwrap().unwrap());
    assert_eq!(admission.counts().used_slots, 0);
}

#[actix_rt::test]
async fn full_queue_evicts_batch_run_for_interactive_run_only() {
    tokio::time::pause();
    let (admission, _permit) = saturated(1).await;
    let batch = spawn_acquire(&admission, Priority::Batch, LONG_TIMEOUT);
    run_pending_tasks().await;
    let interactive = spawn_acquire(&admission, Priority::Interactive, LONG_TIMEOUT);
    run_pending_tasks().await;
    assert_eq!(refusal_code(batch).await, Code::Overloaded);
    let late = spawn_acquire(&admission, Priority::Batch, LONG_TIMEOUT);
    assert_eq!(refusal_code(late).await, Code::Overloaded);
    assert!(!interactive.is_finished());
}

#[actix_rt::test]
async fn cancelled_run_leaves_the_queue_and_takes_no_slot() {
    tokio::time::pause();
    let (admission, permit) = saturated(8).await;
    let cancelled = spawn_acquire(&admission, Priority::Interactive, LONG_TIMEOUT);
    run_pending_tasks().await;
    cancelled.abort();
    run_pending_tasks().await;
    assert_eq!(admission.counts().queued, 0);
    drop(permit);
    assert_eq!(admission.counts().used_slots, 0);
}

#[actix_rt::test]
async fn wait_ends_at_the_deadline() {
    tokio::time::pause();
    let (admission, _permit) = saturated(8).await;
    let waiting = spawn_acquire(&admission, Priority::Normal, Duration::from_millis(2_500));
    assert_eq!(refusal_code(waiting).await, Code::DeadlineExpired);
    assert_eq!(admission.counts().queued, 0);
}

#[actix_rt::test]
async fn slot_stays_reserved_for_ten_seconds_after_an_interactive_run() {
    tokio::time::pause();
    let admission = AdmissionControl::new(8);
    admission.set_slots(4);
    let interactive = spawn_acquire(&admission, Priority::Interactive, LONG_TIMEOUT).await;
    let batch: Vec<AcquireTask> = (0..5)
        .map(|_| spawn_acquire(&admission, Priority::Batch, LONG_TIMEOUT))
        .collect();
    run_pending_tasks().await;
    assert_eq!(admission.counts().used_slots, 3);
    let next = spawn_acquire(&admission, Priority::Interactive, LONG_TIMEOUT).await;
    assert_eq!(
        admission.counts().used_slots,
        4,
        "the next interactive run gets a slot at once"
    );
    drop(interactive.unwrap().unwrap());
    drop(next.unwrap().unwrap());
    run_pending_tasks().await;
    assert_eq!(admission.counts().used_slots, 3, "one slot is reserved");

    sleep(Duration::from_secs(10)).await;
    admission.set_slots(4);
    assert_eq!(
        admission.counts().used_slots,
        4,
        "the reservation has ended"
    );
    drop(batch);
}
