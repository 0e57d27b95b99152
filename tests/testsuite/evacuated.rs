//! Relays before a data centre that is ordered out of service, as processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use awc::http::{Method, StatusCode};
use serde_json::json;
use test_case::test_case;

use crate::support::platform::{API_KEY, PlatformWorld, config, send_aside};

const RELAYS: usize = 3;

/// `evacuate_ms` of the platform.
const EVACUATE_MS: u64 = 5_000;

const PAUSE: Duration = Duration::from_millis(10);

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is past 1970").as_millis() as u64
}

/// Relays before four runners of a service, the first two in data centre `b`.
async fn start(name: &str, service: &str, more: &[&str]) -> PlatformWorld {
    let mut world = PlatformWorld::start_store(name).await;
    world.add_bound("evacuate_ms", EVACUATE_MS);
    for _ in 0..RELAYS {
        world.start_relay();
    }
    world.put("op", "config", &config(5, &[API_KEY])).await;
    let arrivals = world.arrivals_path().to_string_lossy().into_owned();
    for number in 0..4 {
        let id = format!("{service}-{number}");
        let mut args = vec!["--arrivals", arrivals.as_str()];
        args.extend(more);
        let host = world.unregistered_runner(&id, &args).await;
        let mut row = world.registration(service, host);
        row["zone"] = json!(if number < 2 { "b" } else { "c" });
        world.put("servers", &id, &row).await;
    }
    for relay in 0..RELAYS {
        world.until_used(relay, 4).await;
    }
    world.until_ready().await;
    world
}

/// Sends requests through some relays for a time; returns their statuses.
async fn send_for(
    world: &PlatformWorld,
    relays: &[usize],
    path: &str,
    time: Duration,
) -> Vec<StatusCode> {
    let until = now_ms() + time.as_millis() as u64;
    let mut statuses = Vec::new();
    while now_ms() < until {
        for relay in relays {
            let id = format!("{relay} {}", now_ms() * 1_000 + statuses.len() as u64);
            let request = world.request_at(*relay, Method::POST, path, &id);
            statuses.push(world.send(request, "").await.status);
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    statuses
}

/// What the command lists of a relay.
fn listed(world: &PlatformWorld, relay: usize) -> String {
    let listed = std::process::Command::new(env!("CARGO_BIN_EXE_carawayrun"))
        .args(["evacuations", &world.metrics_addr(relay)])
        .output()
        .expect("the command runs");
    assert!(listed.status.success(), "{listed:?}");
    String::from_utf8_lossy(&listed.stdout).into_owned()
}

/// Requests that reached data centre `b` in a time, in milliseconds since the Unix epoch.
fn arrivals_there(world: &PlatformWorld, from_ms: u64, to_ms: u64) -> usize {
    let arrivals = world.arrivals();
    let there = arrivals.iter().filter(|arrival| {
        let is_there = arrival.runner.ends_with("-0") || arrival.runner.ends_with("-1");
        is_there && (from_ms..to_ms).contains(&arrival.at_ms)
    });
    there.count()
}

const SECONDS: Duration = Duration::from_secs(1);

#[test_case("app", "/switch/a", "{}"; "plain requests")]
#[test_case("llm", "/stream/plan", "{}"; "streams")]
#[test_case("app", "/read/a", "{broken"; "a broken row")]
#[actix_rt::test]
async fn evacuated_data_centre_gets_requests_after_bound(service: &str, path: &str, order: &str) {
    let world = start("evacuated", service, &[]).await;
    let all = [0, 1, 2];
    let begun = now_ms();
    send_for(&world, &all, path, SECONDS).await;
    assert!(arrivals_there(&world, begun, now_ms()) > 0);
    world.put_bytes("op", "evacuate/b", order.into()).await;
    let ordered = now_ms();
    let statuses = send_for(&world, &all, path, 7 * SECONDS).await;
    let failed = statuses.iter().filter(|status| !status.is_success());
    assert_eq!(failed.count(), 0, "of {}", statuses.len());
    assert_eq!(arrivals_there(&world, ordered + EVACUATE_MS, now_ms()), 0);
    assert!(arrivals_there(&world, ordered, ordered + EVACUATE_MS) > 0);
    for relay in all {
        let listed = listed(&world, relay);
        let row: Vec<&str> = listed
            .lines()
            .nth(1)
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        // All relays hold the order, nothing is sent to its two upstreams and nothing runs there.
        let ["b", _, _, _, "3", "of", "3", "0.00", "2", "0"] = row[..] else {
            panic!("{listed}");
        };
    }
    world.remove("op", "evacuate/b").await;
    for relay in all {
        world
            .until_relay_logged(relay, "data centre taken back into service")
            .await;
    }
    let back = now_ms();
    send_for(&world, &all, path, 2 * SECONDS).await;
    assert!(arrivals_there(&world, back, now_ms()) > 0);
}

// A relay that starts knows no time before the order.
#[actix_rt::test]
async fn relay_started_after_order_uses_evacuated_data_centre() {
    let mut world = start("evacuated-late", "app", &[]).await;
    world.put("op", "evacuate/b", &json!({})).await;
    world.restart_relay(1);
    world
        .until(async |world| world.is_relay_ready(1).await)
        .await;
    let started = now_ms();
    let statuses = send_for(&world, &[1], "/read/a", SECONDS).await;
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    assert_eq!(arrivals_there(&world, started, now_ms()), 0);
}

// An order that a relay reads only after a freeze may be as old as that.
#[actix_rt::test]
async fn relay_frozen_across_order_uses_evacuated_data_centre_after_reading_it() {
    let mut world = start("evacuated-frozen", "app", &[]).await;
    world.relay_at(1).freeze();
    actix_rt::time::sleep(SECONDS).await;
    world.put("op", "evacuate/b", &json!({})).await;
    actix_rt::time::sleep(3 * SECONDS).await;
    world.relay_at(1).wake();
    world
        .until_relay_logged(1, "data centre ordered out of service")
        .await;
    let read = now_ms();
    send_for(&world, &[1], "/read/a", SECONDS).await;
    assert_eq!(arrivals_there(&world, read, now_ms()), 0);
}

// Its last confirmation is from before the cut. The bound is read from changed settings.
#[actix_rt::test]
async fn relay_cut_from_store_uses_evacuated_data_centre_after_reading_order() {
    let (mut world, hop) = PlatformWorld::start_behind_hop("evacuated-cut").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    let arrivals = world.arrivals_path().to_string_lossy().into_owned();
    for (id, zone) in [("app-0", "b"), ("app-2", "c")] {
        let host = world
            .unregistered_runner(id, &["--arrivals", &arrivals])
            .await;
        let mut row = world.registration("app", host);
        row["zone"] = json!(zone);
        world.put("servers", id, &row).await;
    }
    world.until_ready().await;
    let bounds = format!("drain_ms = 2000\nevacuate_ms = {EVACUATE_MS}");
    world.change_settings("drain_ms = 2000", &bounds);
    world.relay().hang_up();
    world.until_logged("settings changed").await;
    hop.cut();
    world.put("op", "evacuate/b", &json!({})).await;
    let cut = now_ms();
    let statuses = send_for(&world, &[0], "/switch/a", 3 * SECONDS).await;
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    assert!(arrivals_there(&world, cut, now_ms()) > 0);
    hop.mend();
    world
        .until_logged("data centre ordered out of service")
        .await;
    let read = now_ms();
    send_for(&world, &[0], "/switch/a", SECONDS).await;
    assert_eq!(arrivals_there(&world, read, now_ms()), 0);
}

#[actix_rt::test]
async fn all_data_centres_ordered_out_leave_requests_waiting() {
    let world = start("evacuated-all", "app", &[]).await;
    for data_centre in ["b", "c", "unknown"] {
        let key = format!("evacuate/{data_centre}");
        world.put("op", &key, &json!({})).await;
    }
    let ordered = now_ms();
    send_for(&world, &[0], "/switch/a", 3 * SECONDS).await;
    let id = "after-all";
    let request = world.request(Method::POST, "/switch/a", id);
    let begun = now_ms();
    let reply = world.send(request, "").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after.is_some());
    assert!(now_ms() - begun < 200, "{} ms", now_ms() - begun);
    assert!(now_ms() < ordered + EVACUATE_MS);
    let arrivals = world.arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != id));
    assert!(world.is_ready().await);
    world.remove("op", "evacuate/c").await;
    world
        .until_logged("data centre taken back into service")
        .await;
    let request = world.request(Method::POST, "/switch/a", "back");
    assert!(world.send(request, "").await.status.is_success());
}

// What runs there when the order comes goes on to its end.
#[actix_rt::test]
async fn request_under_way_is_ended_by_evacuation() {
    let world = start("evacuated-running", "app", &["--work-ms", "5500"]).await;
    for number in 0..8 {
        send_aside(world.request(Method::POST, "/switch/a", &format!("slow-{number}")));
    }
    actix_rt::time::sleep(SECONDS / 2).await;
    assert!(arrivals_there(&world, 0, now_ms()) > 0);
    world.put("op", "evacuate/b", &json!({})).await;
    for number in 0..8 {
        let record = world.request_record(0, &format!("slow-{number}")).await;
        assert!(record.line.contains("answered"), "{}", record.line);
    }
}
