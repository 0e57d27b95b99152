//! Slots, early refusal and evictions, on a paused clock.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep};

use crate::peer::message::Priority;
use crate::traffic::Code;
use crate::traffic::agent::admission::{Admission, Permit};
use crate::traffic::agent::refusal::Refusal;

const LONG: Duration = Duration::from_mins(1);

type Entered = actix_rt::task::JoinHandle<Result<Permit, Refusal>>;

fn enter(admission: &Rc<Admission>, priority: Priority, limit: Duration) -> Entered {
    let admission = Rc::clone(admission);
    actix_rt::spawn(async move { admission.enter(priority, Instant::now() + limit).await })
}

async fn code(entered: Entered) -> Code {
    entered.await.unwrap().unwrap_err().code
}

async fn settle() {
    sleep(Duration::from_millis(1)).await;
}

// Slots whose runs take a second each, as far as admission has seen.
async fn busy(queue_limit: usize) -> (Rc<Admission>, Permit) {
    let admission = Admission::new(queue_limit);
    admission.set_slots(1);
    for _ in 0..50 {
        let permit = enter(&admission, Priority::Normal, LONG).await;
        sleep(Duration::from_secs(1)).await;
        drop(permit.unwrap().unwrap());
    }
    let permit = enter(&admission, Priority::Normal, LONG).await;
    (admission, permit.unwrap().unwrap())
}

#[actix_rt::test]
async fn a_run_that_would_not_end_in_time_is_refused_at_once() {
    tokio::time::pause();
    let (admission, _permit) = busy(8).await;
    let before = Instant::now();
    let refused = enter(
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
async fn a_free_slot_goes_to_the_person_who_waits() {
    tokio::time::pause();
    let (admission, permit) = busy(8).await;
    let batch = enter(&admission, Priority::Batch, LONG);
    settle().await;
    let person = enter(&admission, Priority::Interactive, LONG);
    settle().await;
    drop(permit);
    let permit = person.await.unwrap().unwrap();
    assert!(!batch.is_finished());
    drop(permit);
    drop(batch.await.unwrap().unwrap());
    assert_eq!(admission.counts().running, 0);
}

#[actix_rt::test]
async fn a_full_queue_refuses_batch_for_a_person_but_not_the_reverse() {
    tokio::time::pause();
    let (admission, _permit) = busy(1).await;
    let batch = enter(&admission, Priority::Batch, LONG);
    settle().await;
    let person = enter(&admission, Priority::Interactive, LONG);
    settle().await;
    assert_eq!(code(batch).await, Code::Overloaded);
    let late = enter(&admission, Priority::Batch, LONG);
    assert_eq!(code(late).await, Code::Overloaded);
    assert!(!person.is_finished());
}

#[actix_rt::test]
async fn who_leaves_the_queue_takes_no_slot() {
    tokio::time::pause();
    let (admission, permit) = busy(8).await;
    let gone = enter(&admission, Priority::Interactive, LONG);
    settle().await;
    gone.abort();
    settle().await;
    assert_eq!(admission.counts().queued, 0);
    drop(permit);
    assert_eq!(admission.counts().running, 0);
}

#[actix_rt::test]
async fn the_deadline_ends_the_wait() {
    tokio::time::pause();
    let (admission, _permit) = busy(8).await;
    let waiting = enter(&admission, Priority::Normal, Duration::from_millis(2_500));
    assert_eq!(code(waiting).await, Code::DeadlineExpired);
    assert_eq!(admission.counts().queued, 0);
}

#[actix_rt::test]
async fn while_people_call_a_slot_is_free_for_the_next_one() {
    tokio::time::pause();
    let admission = Admission::new(8);
    admission.set_slots(4);
    let person = enter(&admission, Priority::Interactive, LONG).await;
    let batch: Vec<Entered> = (0..5)
        .map(|_| enter(&admission, Priority::Batch, LONG))
        .collect();
    settle().await;
    assert_eq!(admission.counts().running, 3);
    let next = enter(&admission, Priority::Interactive, LONG).await;
    assert_eq!(
        admission.counts().running,
        4,
        "the next person has a slot at once"
    );
    drop(person.unwrap().unwrap());
    drop(next.unwrap().unwrap());
    settle().await;
    assert_eq!(admission.counts().running, 3, "one slot is kept");

    sleep(Duration::from_secs(10)).await;
    admission.set_slots(4);
    assert_eq!(admission.counts().running, 4, "nobody called for a while");
    drop(batch);
}
