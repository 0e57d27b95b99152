//! People who wait go first, and nobody waits forever.

use crate::control::Millis;
use crate::peer::message::Priority;
use crate::traffic::agent::queue::Queue;

fn push(queue: &mut Queue<&'static str>, name: &'static str, priority: Priority, now: u64) {
    let rank = queue.next_rank(priority, Millis(now));
    queue.push(rank, priority, name);
}

fn drain(queue: &mut Queue<&'static str>) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn interactive_runs_go_before_normal_before_batch() {
    let mut queue = Queue::default();
    push(&mut queue, "batch", Priority::Batch, 0);
    push(&mut queue, "normal", Priority::Normal, 1);
    push(&mut queue, "first person", Priority::Interactive, 2);
    push(&mut queue, "second person", Priority::Interactive, 2);
    let order = ["first person", "second person", "normal", "batch"];
    assert_eq!(drain(&mut queue), order);
}

#[test]
fn a_batch_run_that_waited_long_goes_before_a_person() {
    let mut queue = Queue::default();
    push(&mut queue, "batch", Priority::Batch, 0);
    push(&mut queue, "early person", Priority::Interactive, 19_000);
    push(&mut queue, "late person", Priority::Interactive, 21_000);
    assert_eq!(drain(&mut queue), ["early person", "batch", "late person"]);
}

#[test]
fn a_full_queue_gives_up_the_last_for_a_better_one_only() {
    let mut queue = Queue::default();
    push(&mut queue, "person", Priority::Interactive, 0);
    push(&mut queue, "batch", Priority::Batch, 0);
    let interactive = queue.next_rank(Priority::Interactive, Millis(5));
    assert_eq!(queue.pop_behind(interactive), Some("batch"));
    assert_eq!(queue.pop_behind(interactive), None);
}
