//! Messages read after a pause count as delayed by its length.

use std::time::Duration;

use tokio::time::{advance, pause};

use crate::traffic::agent::pause_detector::{PauseDetector, TICK_PERIOD};

#[actix_rt::test]
async fn regular_ticks_give_no_delay() {
    pause();
    let detector = PauseDetector::new();
    for _ in 0..100 {
        advance(TICK_PERIOD).await;
        detector.tick();
    }
    assert_eq!(detector.max_delay(), Duration::ZERO);
}

#[actix_rt::test]
async fn delay_after_a_pause_is_its_length_for_a_second() {
    pause();
    let detector = PauseDetector::new();
    advance(Duration::from_secs(3)).await;
    assert_eq!(
        detector.max_delay(),
        Duration::from_secs(3),
        "before the next tick"
    );
    detector.tick();
    advance(TICK_PERIOD).await;
    detector.tick();
    assert_eq!(
        detector.max_delay(),
        Duration::from_secs(3),
        "after the next tick"
    );
    advance(Duration::from_millis(400)).await;
    detector.tick();
    advance(Duration::from_millis(450)).await;
    detector.tick();
    advance(Duration::from_millis(450)).await;
    assert_eq!(detector.max_delay(), Duration::ZERO, "long after");
}
