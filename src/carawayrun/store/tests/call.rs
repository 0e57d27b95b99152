use std::future::pending;
use std::time::Duration;

use test_case::test_case;
use tokio::time::{Instant, sleep};

use crate::store::call::LinkUse;

const LIMIT: Duration = Duration::from_millis(300);

/// Waits for an answer that never comes, beside a large one that ends after `used_ms`;
/// returns when it was given up, in milliseconds.
async fn wait_beside(used_ms: u64) -> u128 {
    let link = LinkUse::default();
    let begun = Instant::now();
    let using = async {
        while begun.elapsed().as_millis() < u128::from(used_ms) {
            sleep(Duration::from_millis(100)).await;
            link.record_use();
        }
        pending::<()>().await;
    };
    tokio::select! {
        () = using => unreachable!("it never ends"),
        answer = link.wait(begun, LIMIT, pending::<()>()) => assert_eq!(answer, None),
    }
    begun.elapsed().as_millis()
}

// Registrations weren't read while a large configuration took the link for itself.
#[test_case(0, 300; "nothing")]
#[test_case(1_000, 1_300; "large answer")]
#[test_case(60_000, 5_300; "answers without an end")]
#[tokio::test(start_paused = true)]
async fn silence_beside_large_answer_is_excused(used_ms: u64, given_up_ms: u128) {
    let waited = wait_beside(used_ms).await;
    // The clock of a paused runtime has steps of one millisecond.
    assert!(waited.abs_diff(given_up_ms) <= 1, "{waited} ms");
}
