use std::net::SocketAddr;
use std::time::Duration;

use test_case::test_case;
use tokio::time::{Instant, advance};

use crate::relay::stalls::{Stall, StallMonitor};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test_case(900, 0, None; "short silence")]
#[test_case(1_500, 0, Some(1_500); "long silence")]
#[test_case(1_500, 1_400, None; "host that stood still")]
#[test_case(3_500, 1_400, Some(2_100); "silence on a host that stood still")]
#[tokio::test(start_paused = true)]
async fn silence_of_traffic_thread_is_a_stall(
    silent_ms: u64,
    own_lag_ms: u64,
    expected: Option<u64>,
) {
    let peer: SocketAddr = "10.0.0.7:7000".parse().unwrap();
    let monitor = StallMonitor::default();
    monitor.record_read(peer);
    advance(MS(silent_ms)).await;
    let stall = monitor.stall(Instant::now(), MS(own_lag_ms));
    let expected = expected.map(|silent_ms| Stall {
        silence: MS(silent_ms),
        last_read: Some(peer),
    });
    assert_eq!(stall, expected);
}
