//! Relays before upstreams that say in their answers that they are leaving, as processes.

use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::platform::{API_KEY, PlatformWorld, config};

const RELAYS: usize = 2;

/// `drain_ms` of the platform.
const DRAIN_MS: u64 = 2_000;

const PAUSE: Duration = Duration::from_millis(20);

// The registration never said so: requests went there until the upstream was gone.
#[test_case("app", "/read/a", json!({"serverLeaving": true}); "plain answer")]
#[test_case("llm", "/stream/plan", json!({"serverLeaving": true}); "stream")]
#[test_case("app", "/read/a", json!({"serverLeaving": true, "rest": "0"}); "refusal")]
#[actix_rt::test]
async fn upstream_used_after_it_said_that_it_leaves(
    service: &'static str,
    path: &'static str,
    faults: Value,
) {
    let mut world = PlatformWorld::start_relays("departing", RELAYS).await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    let arrivals = world.arrivals_path().to_string_lossy().into_owned();
    for number in 0..4 {
        let id = format!("{service}-{number}");
        let more = ["--arrivals", &arrivals];
        world.runner(&id, service, &more).await;
    }
    world.until_ready().await;
    for relay in 0..RELAYS {
        world.until_used(relay, 4).await;
    }
    let leaving = format!("{service}-0");
    world.faults(&world.runner_url(0), &faults).await;
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < Duration::from_secs(6) {
        for relay in 0..RELAYS {
            let id = format!("{relay} {number}");
            let request = world.request_at(relay, Method::POST, path, &id);
            let reply = world.send(request, "").await;
            assert!(reply.status.is_success(), "{id}: {}", reply.status);
        }
        number += 1;
        actix_rt::time::sleep(PAUSE).await;
    }
    for relay in 0..RELAYS {
        let prefix = format!("{relay} ");
        let arrivals = world.arrivals();
        let own = arrivals
            .iter()
            .filter(|other| other.id.starts_with(&prefix));
        let there = own.filter(|other| other.runner == leaving && other.is_leaving);
        let times: Vec<u64> = there.map(|arrival| arrival.at_ms).collect();
        let late = times.iter().filter(|at| **at > times[0] + DRAIN_MS);
        assert_eq!(late.count(), 0, "relay {relay}, of {}", times.len());
    }
}
