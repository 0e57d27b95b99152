//! Relays on the users' platform whose store comes back from a copy, as separate
//! processes. Versions of rows go back and are given out again, also below the
//! version up to which a relay has read.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::support::platform::{API_KEY, PlatformWorld, config};

/// Time after the return of the store within which a configuration is in force:
/// `contact_ms` and `config_apply_ms` of the platform.
const APPLY_LIMIT: Duration = Duration::from_secs(3 + 2);

/// Time after the return of the store within which a withdrawal is written again:
/// `contact_ms` and `rollback_ms` of the platform.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(3 + 5);

/// Time within which an upstream that wrote its registration again is used: the interval
/// of the reader, a report and a read of each other relay.
const USE_LIMIT: Duration = Duration::from_secs(2);

/// Longest wait of a relay's feed call for configuration and registrations.
const FEED_WAIT: Duration = Duration::from_millis(600);

const RELAYS: usize = 2;

async fn world(name: &str) -> PlatformWorld {
    let mut world = PlatformWorld::start(name).await;
    world.start_relay();
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("app-1", "app", &[]).await;
    world.runner("llm-1", "llm", &[]).await;
    world.until_ready().await;
    world
}

/// Writes a configuration that a copy of the store will lack; returns the version of
/// the copy and the one up to which all relays have read then.
async fn read_past_copy(world: &PlatformWorld) -> (u64, u64) {
    let copied = world.put("other", "row", &json!(0)).await;
    world.pass_version(copied + 10).await;
    let cursor = world.put("op", "config", &config(6, &[API_KEY])).await;
    for relay in 0..RELAYS {
        world.until_relay_logged(relay, "config=6").await;
    }
    (copied, cursor)
}

async fn set_down(world: &PlatformWorld, down: bool) {
    let store = world.store_url("");
    world.faults(&store, &json!({"down": down})).await;
}

// Stops the store and replaces its rows. No call is left that began before: its
// answer would say that the version is gone.
async fn restore(world: &PlatformWorld, version: u64) {
    set_down(world, true).await;
    actix_rt::time::sleep(FEED_WAIT * 2).await;
    world
        .post_store(&format!("/restore?version={version}"))
        .await;
}

fn order(service: &str) -> Value {
    json!({"service": service, "to": "v2", "duration_s": 60})
}

/// Sends `count` requests to each relay.
async fn send_to_all(world: &PlatformWorld, path: &str, round: &str, count: usize) {
    for number in 0..count {
        for relay in 0..RELAYS {
            let id = format!("{round}-{relay}-{number}");
            let request = world.request_at(relay, Method::GET, path, &id);
            world.send(request, "").await;
        }
    }
}

async fn status(world: &PlatformWorld, service: &str) -> Option<String> {
    let row = world.row("status", &format!("rollout/{service}")).await?;
    row["state"].as_str().map(String::from)
}

// The version up to which the relays had read was given out again before they
// reached the store, so their feeds began after the new configuration.
#[actix_rt::test]
async fn configuration_missed_below_cursor_after_restore() {
    let world = world("restored-config").await;
    let (copied, cursor) = read_past_copy(&world).await;
    restore(&world, copied).await;
    let written = config(9, &[API_KEY, "key-two"]);
    let version = world.put("op", "config", &written).await;
    assert!(version < cursor);
    world.pass_version(cursor).await;
    set_down(&world, false).await;
    let back = Instant::now();
    for relay in 0..RELAYS {
        loop {
            let request = world
                .request_at(relay, Method::GET, "/read/a", "req")
                .insert_header(("authorization", "Token key-two"));
            if world.send(request, "").await.status == StatusCode::OK {
                break;
            }
            assert!(back.elapsed() < APPLY_LIMIT, "relay {relay}");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

// A feed that began after an order: the new version counted as any other.
#[actix_rt::test]
async fn new_version_unlimited_by_order_missed_after_restore() {
    let mut world = world("restored-order").await;
    let (copied, cursor) = read_past_copy(&world).await;
    restore(&world, copied).await;
    world.put("op", "config", &config(6, &[API_KEY])).await;
    world.put("op", "rollout/app", &order("app")).await;
    world.pass_version(cursor).await;
    set_down(&world, false).await;
    actix_rt::time::sleep(APPLY_LIMIT).await;
    let host = world.unregistered_runner("app-2", &[]).await;
    let mut row = world.registration("app", host);
    row["version"] = json!("v2");
    world.put("servers", "app-2", &row).await;
    world.until_known(3).await;
    let count = 150;
    send_to_all(&world, "/read/a", "req", count).await;
    let exposed = world.run_count(2).await;
    // `exposure_share` and `exposure_slack` of the platform.
    let allowed = 0.15 * (RELAYS * count) as f64 + 30.0;
    assert!((exposed as f64) <= allowed, "{exposed} of {allowed}");
}

// The operator wrote the order again, and it got another version: it was taken
// for a new order, or was ignored, and the withdrawal was lost with the copy.
#[actix_rt::test]
async fn withdrawn_version_exposed_again_after_restore() {
    let mut world = world("restored-rollback").await;
    let copied = world.put("other", "row", &json!(0)).await;
    world.put("op", "rollout/llm", &order("llm")).await;
    for relay in 0..RELAYS {
        world.until_relay_logged(relay, "roll-out row read").await;
    }
    let host = world.unregistered_runner("llm-2", &[]).await;
    let fails = json!({"badVersion": "small"});
    world.faults(&world.runner_url(2), &fails).await;
    let mut row = world.registration("llm", host);
    row["version"] = json!("v2");
    world.put("servers", "llm-2", &row).await;
    world.until_known(3).await;
    let mut round = 0;
    while status(&world, "llm").await.as_deref() != Some("reverted") {
        round += 1;
        assert!(round < 100, "the bad version is not withdrawn");
        send_to_all(&world, "/stream/plan", &format!("bad-{round}"), 20).await;
    }
    let cursor = world.put("other", "row", &json!(0)).await;

    restore(&world, copied).await;
    world.restart_relay(1);
    world.put("servers", "llm-2", &row).await;
    world.pass_version(cursor).await;
    world.put("op", "rollout/llm", &order("llm")).await;
    set_down(&world, false).await;
    let back = Instant::now();
    world
        .until(async |world| world.is_relay_ready(1).await)
        .await;
    while back.elapsed() < ROLLBACK_LIMIT {
        send_to_all(&world, "/stream/plan", "after", 5).await;
    }
    assert_eq!(status(&world, "llm").await.as_deref(), Some("reverted"));
    send_to_all(&world, "/stream/plan", "late", 100).await;
    let exposed = world.run_ids(2).await;
    // The relay that knew of the withdrawal sends nothing; the other one, which was
    // restarted, stops once it is told.
    let wrong = exposed
        .iter()
        .filter(|id| id.starts_with("after-0-") || id.starts_with("late-"));
    assert_eq!(wrong.collect::<Vec<_>>(), Vec::<&String>::new());
}

// The copy held the registration from before the upstream said that it leaves.
#[actix_rt::test]
async fn leaving_upstream_used_again_after_restore() {
    let mut world = world("restored-leaving").await;
    world.runner("app-2", "app", &[]).await;
    world.until_ready().await;
    let copied = world.put("other", "row", &json!(0)).await;
    let mut row = world.registration("app", 12);
    row["state"] = json!("draining");
    row["sequence"] = json!(2);
    world.put("servers", "app-2", &row).await;
    for relay in 0..RELAYS {
        world.until_relay_logged(relay, "upstream is leaving").await;
    }
    let before = world.run_count(2).await;
    restore(&world, copied).await;
    set_down(&world, false).await;
    for relay in 0..RELAYS {
        world
            .until_relay_logged(relay, "era of the store changed")
            .await;
    }
    send_to_all(&world, "/read/a", "req", 40).await;
    assert_eq!(world.run_count(2).await, before);
}

// The copy held a beat of the removed upstream that one relay had not read.
#[actix_rt::test]
async fn removed_upstream_used_again_after_restore() {
    let mut world = world("restored-removed").await;
    world.runner("app-2", "app", &[]).await;
    for relay in 0..RELAYS {
        world.until_used(relay, 3).await;
    }
    let mut row = world.registration("app", 12);
    for beat in 2..=5 {
        row["sequence"] = json!(beat);
        world.put("servers", "app-2", &row).await;
    }
    actix_rt::time::sleep(FEED_WAIT * 2).await;
    let copied = world.put("other", "row", &json!(0)).await;
    // The removal is read without the beats before it.
    world.post_store("/drop-history").await;
    world.remove("servers", "app-2").await;
    for relay in 0..RELAYS {
        world.until_used(relay, 2).await;
    }
    let before = world.run_count(2).await;
    restore(&world, copied).await;
    world.pass_version(copied + 5).await;
    set_down(&world, false).await;
    for relay in 0..RELAYS {
        world
            .until_relay_logged(relay, "era of the store changed")
            .await;
    }
    actix_rt::time::sleep(FEED_WAIT * 2).await;
    send_to_all(&world, "/read/a", "req", 40).await;
    assert_eq!(world.run_count(2).await, before);
    // Its next beat shows that it is there.
    row["sequence"] = json!(6);
    world.put("servers", "app-2", &row).await;
    let back = Instant::now();
    for relay in 0..RELAYS {
        let id = format!("back-{relay}-");
        while !(world.run_ids(2).await.iter()).any(|run| run.starts_with(&id)) {
            assert!(back.elapsed() < USE_LIMIT, "relay {relay}");
            send_to_all(&world, "/read/a", "back", 5).await;
        }
    }
}
