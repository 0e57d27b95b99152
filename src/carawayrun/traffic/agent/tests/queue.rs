//! Interactive runs go first, and no priority starves.

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
fn interactive_runs_go_before_normal_and_batch_runs() {
    let mut queue = Queue::default();
    push(&mut queue, "batch", Priority::Batch, 0);
    push(&mut queue, "normal", Priority::Normal, 1);
    push(&mut queue, "first interactive", Priority::Interactive, 2);
    push(&mut queue, "second interactive", Priority::Interactive, 2);
    let order = ["first interactive", "second interactive", "normal", "batch"];
    assert_eq!(drain(&mut queue), order);
}

#[test]
fn batch_run_goes_before_interactive_run_after_its_delay() {
    let mut queue = Queue::default();
    push(&mut queue, "batch", Priority::Batch, 0);
    push(
        &mut queue,
        "early interactive",
        Priority::Interactive,
        19_000,
    );
    push(
        &mut queue,
        "late interactive",
        Priority::Interactive,
        21_000,
    );
    assert_eq!(
        drain(&mut queue),
        ["early interactive", "batch", "late interactive"]
    );
}

#[test]
fn pop_behind_takes_the_last_run_only_if_it_is_behind_the_rank() {
    let mut queue = Queue::default();
    push(&mut queue, "interactive", Priority::Interactive, 0);
    push(&mut queue, "batch", Priority::Batch, 0);
    let interactive = queue.next_rank(Priority::Interactive, Millis(5));
    assert_eq!(queue.pop_behind(interactive), Some("batch"));
    assert_eq!(queue.pop_behind(interactive), None);
}
