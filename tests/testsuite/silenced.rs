//! Relays on the users' platform whose open connections to the store go silent
//! for good, without a reset, while new ones work.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use serde_json::json;
use test_case::test_case;

use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::{Passing, Relay};

/// Time after its acknowledgement within which a configuration is in force:
/// `config_apply_ms` of the platform.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Time after its acknowledgement within which a leaving upstream gets no more
/// requests: `drain_ms` of the platform.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Time that a request to a relay may take beside a busy machine.
const REQUEST_SLACK: Duration = Duration::from_millis(100);

/// Time after which a call on new connections is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Shortest pause after a failed call.
const SHORTEST_PAUSE: Duration = Duration::from_millis(125);

const RELAYS: usize = 3;

async fn world(name: &str) -> (PlatformWorld, Relay) {
    let (mut world, hop) = PlatformWorld::start_behind_hop(name).await;
    for _ in 1..RELAYS {
        world.start_relay();
    }
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("app-1", "app", &[]).await;
    world.runner("app-2", "app", &[]).await;
    world.until_ready().await;
    // By now the relays have read each other's addresses.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    (world, hop)
}

async fn status_with_key(world: &PlatformWorld, relay: usize, key: &str) -> StatusCode {
    let request = world
        .request_at(relay, Method::GET, "/read/a", "req")
        .insert_header(("authorization", format!("Token {key}")));
    world.send(request, "").await.status
}

// The feed call of the reader was under way, those of the others were not: each
// waited for its whole limit, and paused as if the store were down.
#[test_case(0; "as the connections fall silent")]
#[test_case(450; "within the wait of a feed call")]
#[test_case(1_000; "after the limit of the first call")]
#[actix_rt::test]
async fn configuration_late_over_silent_connections(delay_ms: u64) {
    let (world, hop) = world("silent-config").await;
    // Changes a moment before, so that all relays have connections that were used.
    world.put("op", "config", &config(6, &[API_KEY])).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    for round in 0..3 {
        hop.silence();
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        let key = format!("key-{round}");
        let written = config(10 + round, &[API_KEY, &key]);
        world.put("op", "config", &written).await;
        let acknowledged = Instant::now();
        for relay in 0..RELAYS {
            while status_with_key(&world, relay, &key).await != StatusCode::OK {
                let late = acknowledged.elapsed();
                assert!(late < APPLY_LIMIT, "relay {relay}, round {round}, {late:?}");
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

#[actix_rt::test]
async fn leaving_upstream_used_over_silent_connections() {
    let (world, hop) = world("silent-leaving").await;
    hop.silence();
    let mut row = world.registration("app", 11);
    row["state"] = json!("draining");
    row["sequence"] = json!(2);
    world.put("servers", "app-2", &row).await;
    actix_rt::time::sleep(DRAIN_LIMIT + REQUEST_SLACK).await;
    let before = world.run_count(1).await;
    for number in 0..20 {
        for relay in 0..RELAYS {
            let id = format!("late-{relay}-{number}");
            let request = world.request_at(relay, Method::GET, "/read/a", &id);
            assert_eq!(world.send(request, "").await.status, StatusCode::OK);
        }
    }
    assert_eq!(world.run_count(1).await, before);
}

// A call on connections that had answered is repeated once; a store that is away is
// then asked as rarely as before.
#[actix_rt::test]
async fn store_that_is_away_gets_no_more_calls() {
    let (world, hop) = world("silent-store").await;
    hop.pass(Passing::Silent);
    let before = hop.accepted();
    let span = Duration::from_secs(6);
    actix_rt::time::sleep(span).await;
    let opened = hop.accepted() - before;
    // One connection a failed call, and one for its repetition at first. Each relay
    // follows two tables and lists the relays.
    let calls = span
        .div_duration_f64(ANSWER_TIMEOUT + SHORTEST_PAUSE)
        .ceil()
        + 1.0;
    let allowed = (RELAYS * (2 * calls as usize + 2)) as u64;
    assert!(opened <= allowed, "{opened} of {allowed}");
    drop(world);
}

// The view that excludes the version was published after the write of its row,
// which waited for the store.
#[actix_rt::test]
async fn withdrawn_version_used_while_store_is_silent() {
    let (mut world, hop) = PlatformWorld::start_behind_hop("silent-withdrawal").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("llm-1", "llm", &[]).await;
    let order = json!({"service": "llm", "to": "v2", "duration_s": 60});
    world.put("op", "rollout/llm", &order).await;
    world.until_logged("roll-out phase written").await;
    let host = world.unregistered_runner("llm-2", &[]).await;
    let mut row = world.registration("llm", host);
    row["version"] = json!("v2");
    world.put("servers", "llm-2", &row).await;
    world.until_known(2).await;

    let stream = async |id: &str| {
        let request = world.request(Method::GET, "/stream/plan", id);
        world.send(request, "").await;
    };
    let fails = json!({"badVersion": "small"});
    world.faults(&world.runner_url(1), &fails).await;
    hop.pass(Passing::Silent);
    let mut sent = 0;
    while !world.has_logged("new version withdrawn") {
        assert!(sent < 2_000, "the bad version is not withdrawn");
        stream(&format!("before-{sent}")).await;
        sent += 1;
    }
    for number in 0..100 {
        stream(&format!("after-{number}")).await;
    }
    let exposed = world.run_ids(1).await;
    let wrong = exposed.iter().filter(|id| id.starts_with("after-"));
    assert_eq!(wrong.collect::<Vec<_>>(), Vec::<&String>::new());
}
