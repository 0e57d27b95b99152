//! A process that was paused takes what it reads for old.

use std::time::Duration;

use tokio::time::{advance, pause};

use crate::traffic::agent::pause_detector::{PauseDetector, TICK_PERIOD};

#[actix_rt::test]
async fn a_steady_pulse_makes_nothing_late() {
    pause();
    let detector = PauseDetector::new();
    for _ in 0..100 {
        advance(TICK_PERIOD).await;
        detector.tick();
    }
    assert_eq!(detector.max_delay(), Duration::ZERO);
}

#[actix_rt::test]
async fn what_is_read_after_a_pause_is_as_old_as_the_pause() {
    pause();
    let detector = PauseDetector::new();
    advance(Duration::from_secs(3)).await;
    assert_eq!(
        detector.max_delay(),
        Duration::from_secs(3),
        "before the next beat"
    );
    detector.tick();
    advance(TICK_PERIOD).await;
    detector.tick();
    assert_eq!(
        detector.max_delay(),
        Duration::from_secs(3),
        "after the next beat"
    );
    advance(Duration::from_millis(400)).await;
    detector.tick();
    advance(Duration::from_millis(450)).await;
    detector.tick();
    advance(Duration::from_millis(450)).await;
    assert_eq!(detector.max_delay(), Duration::ZERO, "long after");
}
