//! A process that was paused takes what it reads for old.

use std::time::Duration;

use tokio::time::{advance, pause};

use crate::traffic::agent::pulse::{BEAT, Pulse};

#[actix_rt::test]
async fn a_steady_pulse_makes_nothing_late() {
    pause();
    let pulse = Pulse::new();
    for _ in 0..100 {
        advance(BEAT).await;
        pulse.beat();
    }
    assert_eq!(pulse.lateness(), Duration::ZERO);
}

#[actix_rt::test]
async fn what_is_read_after_a_pause_is_as_old_as_the_pause() {
    pause();
    let pulse = Pulse::new();
    advance(Duration::from_secs(3)).await;
    assert_eq!(
        pulse.lateness(),
        Duration::from_secs(3),
        "before the next beat"
    );
    pulse.beat();
    advance(BEAT).await;
    pulse.beat();
    assert_eq!(
        pulse.lateness(),
        Duration::from_secs(3),
        "after the next beat"
    );
    advance(Duration::from_millis(400)).await;
    pulse.beat();
    advance(Duration::from_millis(450)).await;
    pulse.beat();
    advance(Duration::from_millis(450)).await;
    assert_eq!(pulse.lateness(), Duration::ZERO, "long after");
}
